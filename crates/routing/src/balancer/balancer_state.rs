//! State of a balancer, and the choice of an upstream.

use std::time::Duration;

use mux_model::{AvailabilityZone, FastSet, TimePoint, UpstreamId};
use mux_sharing::{NodeShares, NodeStanding};
use rand::RngExt;

use super::{
    BalancerReport, LatencyEstimate, PriorityArbiter, RetryBudget, RetryBudgetLimits,
    tracked_upstream::{HealthTier, TrackedUpstream},
};
use crate::{AcquireError, CallKind};

/// Delay before a call retries to reserve a connection when all are in use.
pub(super) const SATURATED_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Largest relative random surcharge on a cost, so that nodes with the same view do not all choose
/// the same upstream.
const COST_JITTER: f64 = 0.1;
/// Maximum connections per upstream slot that one node holds; requests on more would only queue.
const CONNECTIONS_PER_SLOT: u32 = 3;
/// Fraction of an upstream's connection limit that is divided among the nodes; the rest is headroom
/// for nodes that have not discovered each other yet.
const SHARED_CONNECTIONS_FRACTION: f64 = 0.9;
/// Factor by which the expected latency may exceed the limit at an upstream with a free slot. A call
/// there delays no other one, so it is rejected only if it is almost certainly useless.
const FREE_SLOT_ALLOWANCE: f64 = 4.0;

/// What a balancer knows of its service, and the choice of an upstream for a call.
#[derive(Debug)]
pub(super) struct BalancerState {
    pub(super) retry_limits: RetryBudgetLimits,
    pub(super) upstreams: Vec<TrackedUpstream>,
    pub(super) retry_budget: RetryBudget,
    pub(super) arbiter: PriorityArbiter,
    pub(super) connection_limit: Option<u32>,
    pub(super) nodes: u32,
    /// Availability zones that operators have evacuated.
    pub(super) closed_zones: FastSet<AvailabilityZone>,
    /// Time within which calls to an upstream that announced its exit have to end.
    pub(super) drain_limit: Duration,
    pub(super) rate_shares: NodeShares,
    pub(super) dial_us: f64,
    pub(super) report: BalancerReport,
}

impl BalancerState {
    /// Returns the number of nodes among which the slack of the retry budget is divided. A node that is
    /// not advertised uses none of it: many such nodes may be called at once.
    pub(super) fn budget_nodes(&self) -> u32 {
        match self.rate_shares.standing() {
            NodeStanding::Counted | NodeStanding::Hidden => self.nodes,
            NodeStanding::NotAdvertised => u32::MAX,
        }
    }

    pub(super) fn max_connections(&self, upstream: &TrackedUpstream) -> u32 {
        let useful_connections = upstream.slots() * CONNECTIONS_PER_SLOT;
        let useful_connections = useful_connections.min(upstream.assumed_connection_limit());
        let Some(limit) = self.connection_limit else {
            return useful_connections;
        };
        let node_share = f64::from(limit) * SHARED_CONNECTIONS_FRACTION / f64::from(self.nodes);
        // With a share of zero, this node could not use the upstream at all.
        (node_share as u32).clamp(1, useful_connections)
    }

    pub(super) fn reserve(
        &mut self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<UpstreamId, AcquireError> {
        self.record_missing_grants(now, excluded, kind);
        let chosen = match self.choose(now, excluded, kind, estimate, max_latency) {
            Ok(it) => it,
            Err(error) => {
                let is_saturated = matches!(error, AcquireError::Saturated { .. });
                self.report.saturated += u64::from(is_saturated);
                return Err(error);
            }
        };
        let limits = self.retry_limits;
        if kind == CallKind::First {
            self.retry_budget.record_first_call(now, &limits);
            self.report.first_calls += 1;
        } else if kind == CallKind::Resend {
            self.report.resent_calls += 1;
        } else if self.retry_budget.try_extra_call(now, &limits, self.budget_nodes()) {
            self.report.extra_calls += 1;
        } else {
            self.report.budget_refusals += 1;
            return Err(AcquireError::BudgetExhausted);
        }
        let upstream = &mut self.upstreams[chosen];
        self.report.rate_limited_calls += u64::from(upstream.is_rate_limited());
        upstream.start_call(now, kind);
        Ok(upstream.id)
    }

    fn choose(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<usize, AcquireError> {
        let mut rng = rand::rng();
        let mut best: Option<(HealthTier, f64, usize)> = None;
        let mut shortest_refusal: Option<Duration> = None;
        let mut any_saturated = false;
        let mut any_too_late = false;
        let mut shortest_quiet: Option<Duration> = None;
        let mut shortest_rate_wait: Option<Duration> = None;
        let max_latency_us = max_latency.as_secs_f64() * 1e6;
        for (idx, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.is_active || excluded.contains(&upstream.id) {
                continue;
            }
            if upstream.has_left(now, self.drain_limit) {
                continue;
            }
            if let Some(time_left) = upstream.quiet_time_left(now) {
                shortest_quiet = Some(shortest_quiet.map_or(time_left, |it| it.min(time_left)));
                continue;
            }
            if let Some(wait) = upstream.time_to_grant(now, kind) {
                shortest_rate_wait = Some(shortest_rate_wait.map_or(wait, |it| it.min(wait)));
                continue;
            }
            if upstream.is_in_dial_backoff(now) && !upstream.has_free_connection() {
                // Connections in use will become free; new ones cannot be opened during the
                // backoff.
                any_saturated |= upstream.has_connection();
                continue;
            }
            if let Some(wait) = upstream.refusal_time_left(now) {
                shortest_refusal = Some(shortest_refusal.map_or(wait, |it| it.min(wait)));
                continue;
            }
            if self.max_connections(upstream) <= upstream.in_flight() {
                any_saturated = true;
                continue;
            }
            let limit_us = match upstream.has_free_slot(now) {
                true => max_latency_us * FREE_SLOT_ALLOWANCE,
                false => max_latency_us,
            };
            if limit_us < upstream.expected_latency_us(now, estimate) {
                any_too_late = true;
                continue;
            }
            let health_tier = upstream.health_tier(now, estimate);
            let jitter = 1.0 + COST_JITTER * rng.random::<f64>();
            let cost = upstream.cost(now, estimate, self.dial_us) * jitter;
            let is_better = best.is_none_or(|it| (health_tier, cost) < (it.0, it.1));
            if is_better {
                best = Some((health_tier, cost, idx));
            }
        }
        let saturated = AcquireError::Saturated { retry_after: SATURATED_RETRY_DELAY };
        match best {
            // A hedge to a stalled or suspect upstream would only waste retry budget.
            Some((health_tier, ..))
                if kind == CallKind::Hedge && HealthTier::Healthy < health_tier =>
            {
                Err(saturated)
            }
            Some((.., idx)) => Ok(idx),
            // The call can't be answered in time, and waiting would only delay it further.
            None if any_too_late && kind.is_first_arrival() => Err(AcquireError::ReplyTooLate),
            // One of the connections in use becomes free sooner than a refusing upstream accepts a
            // new one.
            None if any_saturated || any_too_late => Err(saturated),
            None if let Some(retry_after) = shortest_refusal => {
                Err(AcquireError::Saturated { retry_after })
            }
            None => Err(match (shortest_rate_wait, shortest_quiet) {
                (Some(wait), quiet) if quiet.is_none_or(|it| wait <= it) => {
                    AcquireError::RateLimited { retry_after: wait }
                }
                (_, Some(retry_after)) => AcquireError::Quiet { retry_after },
                _ => AcquireError::NoReplica,
            }),
        }
    }
}
