//! Records that upstreams publish about themselves in the registry.

use std::time::Duration;

use mux_model::{AvailabilityZone, InstanceId, ServiceName, UpstreamId};

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// It accepts new requests.
    Serving,
    /// It finishes its current requests and accepts no new ones.
    Draining,
}

/// Registry entry of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Identity of the upstream instance.
    pub instance: InstanceId,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Address on which the instance accepts requests.
    pub upstream: UpstreamId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Number of requests that the instance processes concurrently.
    pub slots: u32,
    /// Whether the instance accepts new requests.
    pub phase: UpstreamPhase,
    /// Remaining warm-up time, during which the instance is slower, from when the entry was read.
    pub warmup_left: Duration,
    /// Start of the process in milliseconds of Unix time; 0 if unknown.
    pub started_ms: u64,
    /// Sequence number of the entry since the start of the process.
    pub sequence: u64,
}

impl UpstreamRecord {
    /// Returns the version of the entry, which increases monotonically also across restarts.
    pub(super) fn version(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
