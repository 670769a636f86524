//! What the pool says about its connections, for metrics and tests.

use mux_model::UpstreamId;

/// The state of the whole pool at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoolReport {
    /// One entry for each known upstream, in order of address.
    pub upstreams: Vec<UpstreamReport>,
}

/// The connections to one upstream at one moment, and counts since it became known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Connections that this node may hold.
    pub limit: u32,
    /// Connections that are open, those that only finish their calls included.
    pub open: u32,
    /// Calls in flight.
    pub calls_in_flight: u32,
    /// Connections that were opened or tried.
    pub dials: u64,
    /// Dials that failed, and connections that ended before any reply came.
    pub failed_dials: u64,
    /// Connections retired because they made no progress.
    pub silent_connections: u64,
}
