//! State of a balancer, and the choice of an upstream.

use std::time::Duration;

use mux_model::{TimePoint, UpstreamId};
use mux_sharing::{NodeShares, NodeStanding};

use super::{
    BalancerReport, LatencyEstimate, PriorityArbiter, RetryBudget, RetryBudgetLimits, WarmUpRule,
    tracked_upstream::TrackedUpstream, zone_return::ZoneStates,
};
use crate::{AcquireError, CallKind, UpstreamSlot};

/// Delay before a call retries to reserve a connection when all are in use.
pub(super) const SATURATED_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Maximum connections per upstream slot that one node holds; requests on more would only queue.
const CONNECTIONS_PER_SLOT: u32 = 3;
/// Fraction of an upstream's connection limit that is divided among the nodes; the rest is headroom
/// for nodes that have not discovered each other yet.
const SHARED_CONNECTIONS_FRACTION: f64 = 0.9;

/// What a balancer knows of its service, and the choice of an upstream for a call.
#[derive(Debug)]
pub(super) struct BalancerState {
    pub(super) retry_limits: RetryBudgetLimits,
    pub(super) upstreams: Vec<TrackedUpstream>,
    /// Number of the upstream that is added next.
    pub(super) next_entry: u64,
    /// Number of the next call.
    pub(super) next_call: u64,
    pub(super) retry_budget: RetryBudget,
    pub(super) arbiter: PriorityArbiter,
    pub(super) connection_limit: Option<u32>,
    pub(super) nodes: u32,
    pub(super) zones: ZoneStates,
    /// The bound on calls to cold upstreams; `None` if they are not bounded.
    pub(super) warm_up_rule: Option<WarmUpRule>,
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
        let useful_connections = upstream.slots().saturating_mul(CONNECTIONS_PER_SLOT);
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
    ) -> Result<UpstreamSlot, AcquireError> {
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
        self.report.cold_calls += u64::from(upstream.warm_up.is_bounded(now));
        let call = self.next_call;
        self.next_call += 1;
        upstream.start_call(now, kind, call);
        Ok(UpstreamSlot { upstream: upstream.id, entry: upstream.entry, call })
    }
}
