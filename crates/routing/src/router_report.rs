//! Report of a router's state for status pages and metrics.

use std::time::Duration;

use mux_model::UpstreamId;
use serde::Serialize;

/// Snapshot of the state of one service's router.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouterReport {
    /// The upstreams, sorted by address.
    pub upstreams: Vec<UpstreamReport>,
    /// Queries in flight.
    pub queries_in_flight: u32,
    /// Current maximum number of queries in flight.
    pub query_limit: u32,
    /// Tokens left in the budget; a retry needs one, and a hedge must leave the reserve for
    /// retries. `None`: not limited.
    pub budget_left: Option<f64>,
    /// Current hedge delay; `None`: no hedges.
    pub hedge_delay: Option<Duration>,
    /// Whether the service is overloaded; this suspends hedges and retries if they have a budget.
    pub overloaded: bool,
    /// Event counts since the router was created.
    pub counts: RouterCounts,
}

/// Event counts since a router was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct RouterCounts {
    /// First calls that acquired a slot.
    pub first_calls: u64,
    /// Hedges that acquired a slot.
    pub hedges: u64,
    /// Retries that acquired a slot.
    pub retries: u64,
    /// Hedges and retries refused because the budget was exhausted or the service overloaded.
    pub budget_refusals: u64,
    /// Failed attempts of first calls to acquire a slot because all usable upstreams were at their
    /// limits or paused; a waiting call counts once per attempt.
    pub saturated_calls: u64,
    /// Queries refused before any of their calls was sent.
    pub refused_queries: u64,
}

/// The state of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// Current maximum number of calls in flight from this node; `None`: not limited.
    pub limit: Option<u32>,
    /// Smoothed call latency; zero if unknown.
    pub latency: Duration,
    /// Whether the upstream accepts calls.
    pub condition: UpstreamCondition,
    /// Time since the start of the condition; zero for [`UpstreamCondition::Removed`].
    ///
    /// For [`UpstreamCondition::Serving`], the time since the last readmission, or since process
    /// start without one; ended pauses and drains are ignored.
    pub condition_age: Duration,
}

/// Whether an upstream accepts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamCondition {
    /// Accepts calls.
    Serving,
    /// Gets no calls until the end of a pause, for example after it shed one.
    Paused,
    /// Gets no new calls because it is shutting down.
    Draining,
    /// Gets no calls until the end of its backoff after repeated failures, unless all other
    /// replicas are unavailable.
    Ejected,
    /// A probe call is in flight after repeated failures.
    Probing,
    /// Removed from the service; calls in flight continue.
    Removed,
}
