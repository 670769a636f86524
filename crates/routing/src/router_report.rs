//! What a router is doing, for status pages and metrics.

use std::time::Duration;

use mux_model::UpstreamId;
use serde::Serialize;

/// The state of one service's router at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouterReport {
    /// The upstreams in the order of their addresses.
    pub upstreams: Vec<UpstreamReport>,
    /// Queries in flight.
    pub queries_in_flight: u32,
    /// Queries that may be in flight at present.
    pub query_limit: u32,
    /// Hedges and retries that could be sent at once; `None`: not limited.
    pub budget_left: Option<f64>,
    /// Present hedge delay; `None`: no hedges.
    pub hedge_delay: Option<Duration>,
    /// Whether hedges and retries are suspended because the service is overloaded.
    pub overloaded: bool,
    /// What was counted since the router was created.
    pub counts: RouterCounts,
}

/// Events since a router was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct RouterCounts {
    /// First calls to a shard.
    pub first_calls: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Retries sent.
    pub retries: u64,
    /// Hedges and retries refused for want of budget.
    pub budget_refusals: u64,
    /// First calls that were told to wait for a slot.
    pub saturated_calls: u64,
    /// Queries refused before anything ran.
    pub refused_queries: u64,
}

/// The state of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// Calls that may be in flight from this node; `None`: not limited.
    pub limit: Option<u32>,
    /// Smoothed call latency; zero if not known.
    pub latency: Duration,
    /// Whether the upstream takes calls.
    pub condition: UpstreamCondition,
    /// Time since the condition began; since the process started if it never changed.
    pub condition_age: Duration,
}

/// Whether an upstream takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamCondition {
    /// It takes calls.
    Serving,
    /// It asked for a pause.
    Paused,
    /// It takes no new work because it is leaving.
    Draining,
    /// It failed repeatedly and takes no calls for a while.
    Ejected,
    /// It failed repeatedly; a probe call is in flight.
    Probing,
    /// It no longer belongs to the service; calls in flight go on.
    Removed,
}
