//! Headers, reply and status of the protocol between nodes and upstreams.

use std::time::Duration;

use bytes::Bytes;
use mux_model::{
    AvailabilityZone, CallId, RequestId, ServiceName, ShardIndex, SnapshotId, TimePoint,
};
use serde::{Deserialize, Serialize};

/// Names of the HTTP headers between nodes and upstreams.
pub mod header_names {
    /// Request ID of the query; hexadecimal; echoed in the reply.
    pub const REQUEST_ID: &str = "mux-request-id";
    /// Call ID within the query; decimal; echoed in the reply.
    pub const CALL_ID: &str = "mux-call-id";
    /// Name of the service.
    pub const SERVICE: &str = "mux-service";
    /// Snapshot to read; decimal. In a reply: snapshot that was read.
    pub const SNAPSHOT: &str = "mux-snapshot";
    /// In a reply: shard that was read; decimal.
    pub const SHARD: &str = "mux-shard";
    /// Time left for the call, in milliseconds.
    pub const DEADLINE_MS: &str = "mux-deadline-ms";
    /// In an error response: `false` if the request certainly did not run.
    pub const RAN: &str = "mux-ran";
    /// In an error response: the reason, one of `shed`, `draining`, `snapshot_missing`,
    /// `deadline_passed` and `rejected`.
    pub const REASON: &str = "mux-reason";
    /// In an error response: suggested retry delay, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "mux-retry-after-ms";
    /// In a reply: requests in flight at the upstream.
    pub const IN_FLIGHT: &str = "mux-in-flight";
    /// In a reply: `true` if the upstream is draining.
    pub const DRAINING: &str = "mux-draining";
    /// In a reply: newest snapshot that the upstream holds; decimal.
    pub const NEWEST_SNAPSHOT: &str = "mux-newest-snapshot";
}

/// Metadata of a call, sent in the path and the headers of its HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeader {
    /// Request ID of the query.
    pub request: RequestId,
    /// Call ID within the query.
    pub call: CallId,
    /// Name of the service.
    pub service: ServiceName,
    /// Snapshot to read.
    pub snapshot: SnapshotId,
    /// Shard to read.
    pub shard: ShardIndex,
    /// Deadline of the call.
    pub deadline: TimePoint,
}

/// A complete reply whose identity matches the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReply {
    /// Snapshot that was read.
    pub snapshot: SnapshotId,
    /// Shard that was read.
    pub shard: ShardIndex,
    /// Result as JSON text.
    pub body: Bytes,
    /// Requests in flight at the upstream, if reported.
    pub in_flight: Option<u32>,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Newest snapshot that the upstream holds, if reported.
    pub newest_snapshot: Option<SnapshotId>,
    /// Time from the start of the call, before it has a connection, to the end of the reply.
    pub latency: Duration,
}

/// Reply of an upstream's status endpoint; it may be outdated or wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Maximum number of requests that it processes concurrently.
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
    /// Number of shards of the complete snapshot.
    pub shard_count: u32,
    /// Shards of the snapshot that the upstream holds.
    pub shards: Vec<ShardIndex>,
}
