//! What an upstream says of itself in the registry.

use std::time::Duration;

use mux_model::{AvailabilityZone, InstanceId, ServiceName, UpstreamId};

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// It takes requests.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// One entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Identity of the upstream's run.
    pub instance: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub upstream: UpstreamId,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: UpstreamPhase,
    /// Time for which it is still slow after its start, from when the entry was read.
    pub warmup_left: Duration,
    /// When its process started, in milliseconds of Unix time; 0 if it does not say.
    pub started_ms: u64,
    /// Counts the entries that it has written since its start.
    pub sequence: u64,
}

impl UpstreamRecord {
    /// Returns the order of the entries of one instance, which a restart does not turn back.
    pub(super) fn age_order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
