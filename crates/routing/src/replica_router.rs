//! Interface through which the query engine obtains routing decisions.

use std::{fmt, time::Duration};

use mux_model::{AvailabilityZone, CallFailure, ShardIndex, TimePoint, UpstreamId};

use crate::CallReservation;

/// Routing settings of one service at this node.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingPolicy {
    /// Requests that one upstream processes concurrently; `None`: calls in flight are not limited.
    pub slots_per_upstream: Option<u32>,
    /// Number of nodes that share each upstream, including this one.
    pub sharing_nodes: u32,
    /// Maximum number of queries in flight at this node.
    pub queries_in_flight: u32,
    /// Delay after which a hedge is sent to another replica.
    pub hedge: HedgePolicy,
    /// Maximum ratio of hedges and retries to first calls; `None`: not limited.
    pub extra_load_budget: Option<f64>,
    /// Availability zone of this node; among otherwise equal replicas, those in it are preferred.
    pub availability_zone: AvailabilityZone,
}

/// When a hedge is sent to another replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgePolicy {
    /// No hedges.
    Off,
    /// After a fixed delay.
    Fixed(Duration),
    /// After about this quantile (0 to 1) of the call latency measured by this node; later if the
    /// extra-load budget does not suffice for it.
    Quantile(f64),
}

/// Purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// The first call to a shard.
    First,
    /// A call to another replica while an earlier call to the shard is in flight.
    Hedge,
    /// A call after an earlier one failed.
    Retry,
    /// A call that replaces only calls that were never sent, so that it is the first one to reach an
    /// upstream.
    Resend,
}

impl CallKind {
    /// Returns whether the call is the first one of its query to reach an upstream of the shard.
    pub fn is_first_arrival(self) -> bool {
        matches!(self, Self::First | Self::Resend)
    }
}

/// Reason why no slot at a replica was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// Every candidate is excluded, removed, draining, in a dial backoff, waiting too long for the
    /// reply to its probe call or, for a hedge, ejected.
    NoReplica,
    /// Every usable candidate is at its limit or paused, or the call has to wait for another
    /// reason: it yields to more urgent calls, lost the selected slots to concurrent calls, is a
    /// hedge whose best upstream is stalled or suspect, or is a hedge or retry whose reply is
    /// expected too late.
    Saturated {
        /// Suggested delay before the next attempt.
        retry_after: Duration,
    },
    /// The budget for hedges and retries is exhausted, or overload suspends them.
    BudgetExhausted,
    /// No candidate can accept the first call now, and at least one was rejected because its
    /// expected latency exceeds the limit for this call.
    ReplyTooLate,
    /// Every candidate that is not excluded, removed or leaving asked this node to send nothing for
    /// a while.
    Quiet {
        /// Time until the first of them accepts calls again.
        retry_after: Duration,
    },
    /// Every candidate that is not excluded, removed or leaving states a rate limit or is cold, and this
    /// node has used its share of what it takes; some may want no calls at all for a longer time.
    RateLimited {
        /// Time until the first of them allows a call of this node.
        retry_after: Duration,
    },
}

impl fmt::Display for AcquireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoReplica => "no upstream available",
            Self::Saturated { .. } => "the call has to wait for an upstream",
            Self::BudgetExhausted => {
                "hedge or retry not allowed: budget exhausted or service overloaded"
            }
            Self::ReplyTooLate => "reply expected too late",
            Self::Quiet { .. } => "upstreams asked for no calls for a while",
            Self::RateLimited { .. } => {
                "share of the upstreams' rate limits or warm-up bounds used up"
            }
        })
    }
}

/// Refusal of a query before any of its calls was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryRefusal {
    /// Suggested delay before the caller retries the query.
    pub retry_after: Duration,
}

/// How a call ended, as reported to the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A valid reply was received after this time.
    Replied(Duration),
    /// The call failed after this time.
    Failed(CallFailure, Duration),
    /// The call was cancelled after this time because its reply was no longer needed.
    Cancelled(Duration),
    /// The slot was released before the request was sent.
    Withdrawn,
}

/// Status reported by an upstream, which affects whether and how often it is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamHint {
    /// Requests in flight at the upstream, if reported.
    pub in_flight: Option<u32>,
    /// Whether the upstream is draining and should get no new calls.
    pub draining: bool,
}

/// Selects replicas for calls and records their outcomes.
///
/// A [`ServiceRouter`](crate::ServiceRouter) is shared by all queries of one service, a
/// [`QueryRouter`](crate::balancer::QueryRouter) serves one query. Implementations lock internally
/// and never block for long. Each successful `admit` is matched by one `finish`, each successful
/// `acquire` by one `release`.
pub trait ReplicaRouter: Send + Sync {
    /// Admits a query, or refuses it before any of its calls is sent.
    ///
    /// # Errors
    ///
    /// Returns [`QueryRefusal`] with a suggested retry delay.
    fn admit(&self, now: TimePoint) -> Result<(), QueryRefusal>;

    /// Records the end of an admitted query.
    fn finish(&self, now: TimePoint);

    /// Reserves a slot at one of the `candidates` of `shard` that is not in `excluded`.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no candidate can accept the call now.
    fn acquire(
        &self,
        now: TimePoint,
        shard: ShardIndex,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<CallReservation, AcquireError>;

    /// Returns whether any of the `candidates` of `shard` can accept a first call, at once or after a
    /// wait; reserves nothing.
    fn has_replica(&self, now: TimePoint, shard: ShardIndex, candidates: &[UpstreamId]) -> bool;

    /// Releases the slot and records the outcome of the call.
    fn release(&self, now: TimePoint, reservation: CallReservation, outcome: CallOutcome);

    /// Returns how long to wait for a reply before a hedge is sent to another replica.
    ///
    /// `None`: no hedges.
    fn hedge_delay(&self, now: TimePoint) -> Option<Duration>;
}
