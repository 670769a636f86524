//! Records that upstreams publish about themselves in the key-value store.

use std::time::Duration;

use mux_model::{AvailabilityZone, InstanceId, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// Accepts new requests.
    Serving,
    /// Finishes its current requests and accepts no new ones.
    Draining,
}

/// The record of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Start of the process in milliseconds of Unix time; 0 if unknown.
    pub started_ms: u64,
    /// Sequence number of the record since the start of the process.
    pub sequence: u64,
    /// Time for which the instance stays cold, counted from the writing of the record.
    pub warm_up_left: Duration,
}

impl UpstreamRecord {
    /// Returns the version of the record, which also increases across restarts.
    pub(super) fn version(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
