//! One call to an upstream, as the adapter sees it.

use std::time::Duration;

use bytes::Bytes;
use mux_model::{
    AvailabilityZone, CallId, RequestId, ServiceName, ShardIndex, SnapshotId, TimePoint,
};
use serde::{Deserialize, Serialize};

/// Names of the HTTP headers between nodes and upstreams.
pub mod header_names {
    /// Identity of the query; hexadecimal; echoed in the reply.
    pub const REQUEST_ID: &str = "mux-request-id";
    /// Identity of the call within the query; decimal; echoed in the reply.
    pub const CALL_ID: &str = "mux-call-id";
    /// Service; text.
    pub const SERVICE: &str = "mux-service";
    /// Snapshot to read; decimal. In a reply: the snapshot that was read.
    pub const SNAPSHOT: &str = "mux-snapshot";
    /// In a reply: the shard that it covers; decimal.
    pub const SHARD: &str = "mux-shard";
    /// Time left for the call, in milliseconds.
    pub const DEADLINE_MS: &str = "mux-deadline-ms";
    /// In a refusal: `false` if the request provably did not run.
    pub const RAN: &str = "mux-ran";
    /// In a refusal: `shed`, `draining`, `snapshot_missing`, `deadline_passed` or `rejected`.
    pub const REASON: &str = "mux-reason";
    /// In a refusal: earliest useful time to come back, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "mux-retry-after-ms";
    /// In a reply: requests in flight at the upstream.
    pub const IN_FLIGHT: &str = "mux-in-flight";
    /// In a reply: `true` if the upstream is draining.
    pub const DRAINING: &str = "mux-draining";
    /// In a reply: newest snapshot that the upstream holds; decimal.
    pub const NEWEST_SNAPSHOT: &str = "mux-newest-snapshot";
}

/// What goes with the body of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeader {
    /// Identity of the query.
    pub request: RequestId,
    /// Identity of the call within the query.
    pub call: CallId,
    /// Service.
    pub service: ServiceName,
    /// Snapshot to read.
    pub snapshot: SnapshotId,
    /// Shard to read.
    pub shard: ShardIndex,
    /// Time after which the reply is of no use.
    pub deadline: TimePoint,
}

/// A complete reply; its identity has been matched to the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReply {
    /// Snapshot that was read.
    pub snapshot: SnapshotId,
    /// Shard that the reply covers.
    pub shard: ShardIndex,
    /// Result as JSON text.
    pub body: Bytes,
    /// Requests in flight at the upstream, if it said so.
    pub in_flight: Option<u32>,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Newest snapshot that the upstream holds, if it said so.
    pub newest_snapshot: Option<SnapshotId>,
    /// Time from send to the end of the reply.
    pub latency: Duration,
}

/// What an upstream's status endpoint says; it can lag or mislead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Snapshots that it can serve.
    pub snapshots: Vec<HeldSnapshot>,
}

/// One snapshot that an upstream can serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Shards that the whole snapshot has.
    pub shard_count: u32,
    /// Shards of it held here.
    pub shards: Vec<ShardIndex>,
}
