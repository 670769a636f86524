//! The interface between the query engine and the routing decisions of one service.

use std::{fmt, time::Duration};

use mux_model::{AvailabilityZone, CallFailure, TimePoint, UpstreamId};

/// Settings of one service's routing, already checked.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingPolicy {
    /// Requests that one upstream works on at once; `None`: calls in flight are not limited.
    pub slots_per_upstream: Option<u32>,
    /// Nodes that share each upstream, this one included.
    pub sharing_nodes: u32,
    /// Queries that this node works on at once.
    pub queries_in_flight: u32,
    /// Delay after which a second replica is asked.
    pub hedge: HedgePolicy,
    /// Hedges and retries allowed, as a share of first calls; `None`: no budget.
    pub extra_load_budget: Option<f64>,
    /// Availability zone of this node; nearer replicas are preferred when all else is equal.
    pub availability_zone: AvailabilityZone,
}

/// When a second replica is asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgePolicy {
    /// Never.
    Off,
    /// After a fixed delay.
    Fixed(Duration),
    /// After this quantile, 0 to 1, of the call latency that the node measures.
    Quantile(f64),
}

/// Why a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// The first call to a shard.
    First,
    /// A second call while the first is in flight.
    Hedge,
    /// A call after an earlier one failed.
    Retry,
}

/// Why no replica was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// Every candidate is excluded, draining or down.
    NoReplica,
    /// Every usable candidate is at its limit until about this much later.
    Saturated {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The budget for hedges and retries is empty.
    BudgetExhausted,
    /// Every usable candidate is expected to reply too late to be of use.
    ReplyTooLate,
}

impl fmt::Display for AcquireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoReplica => "no usable upstream",
            Self::Saturated { .. } => "upstreams at their limits",
            Self::BudgetExhausted => "budget for further calls empty",
            Self::ReplyTooLate => "no reply expected in time",
        })
    }
}

/// Says that a query is refused before anything ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryRefusal {
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// How a call ended, for the router's accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A valid reply came after this time.
    Replied(Duration),
    /// The call failed after this time.
    Failed(CallFailure, Duration),
    /// The call was cancelled after this time because its reply was no longer needed.
    Cancelled(Duration),
    /// The slot was given back before anything was sent.
    Withdrawn,
}

/// What an upstream says about itself; a hint that never overrules what the node sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamHint {
    /// Requests in flight there, if it said so.
    pub in_flight: Option<u32>,
    /// Whether it is draining; no new work goes there.
    pub draining: bool,
}

/// Chooses replicas for the calls of one service and accounts for their outcomes.
///
/// Shared by all queries of the service; implementations lock internally and never block for
/// long. Each successful `admit` is matched by one `finish`, each successful `acquire` by one
/// `release`.
pub trait ReplicaRouter: Send + Sync {
    /// Admits a query, or refuses it before anything runs.
    ///
    /// # Errors
    ///
    /// Returns [`QueryRefusal`] with the time to come back.
    fn admit(&self, now: TimePoint) -> Result<(), QueryRefusal>;

    /// Ends an admitted query.
    fn finish(&self, now: TimePoint);

    /// Reserves a slot at one of `candidates` that is not in `excluded`.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no candidate can take the call now.
    fn acquire(
        &self,
        now: TimePoint,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError>;

    /// Returns the slot and records how the call ended.
    fn release(&self, now: TimePoint, upstream: UpstreamId, outcome: CallOutcome);

    /// Returns how long to wait for a reply before a second replica is asked.
    ///
    /// `None`: never.
    fn hedge_delay(&self, now: TimePoint) -> Option<Duration>;

    /// Takes in what an upstream says about itself.
    fn observe(&self, now: TimePoint, upstream: UpstreamId, hint: UpstreamHint);
}
