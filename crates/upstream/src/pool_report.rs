//! State and counters of the pool's connections, for metrics and tests.

use mux_model::UpstreamId;

/// Snapshot of the state of the pool.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoolReport {
    /// One entry for each known upstream, in order of address.
    pub upstreams: Vec<UpstreamReport>,
}

/// Snapshot of the connections to one upstream, and counters since the pool first knew it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Maximum number of connections of this node.
    pub limit: u32,
    /// Open connections, including those that close after their current calls.
    pub open: u32,
    /// Calls in flight.
    pub calls_in_flight: u32,
    /// Dials, successful or not.
    pub dials: u64,
    /// Failed dials, and connections that closed before any reply was received.
    pub failed_dials: u64,
    /// Connections aborted because no byte was received for too long.
    pub silent_connections: u64,
}
