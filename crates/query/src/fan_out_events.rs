//! Inputs and outputs of the fan-out state machine.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bytes::Bytes;
use mux_model::{
    CallId, Coverage, RequestId, ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId,
    Verdict,
};

/// Everything a fan-out needs to know before it starts.
#[derive(Debug, Clone)]
pub struct FanOutPlan {
    /// Identity of the query.
    pub request: RequestId,
    /// The pinned snapshot's shard map.
    pub map: Arc<SnapshotMap>,
    /// Whether calls may be repeated.
    pub idempotent: bool,
    /// Time by which an answer that meets `coverage_target` is sent.
    pub latency_target: TimePoint,
    /// Time by which the final answer is sent.
    pub deadline: TimePoint,
    /// Share of shards with which an answer is sent at the latency target.
    pub coverage_target: f64,
    /// Share of shards below which no answer is given.
    pub coverage_minimum: f64,
    /// Most calls to one shard that may have run; `None`: one for each replica.
    pub max_calls: Option<NonZeroU32>,
}

/// A complete reply from an upstream, as it named itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    /// Query that the reply says it belongs to.
    pub request: RequestId,
    /// Snapshot that the reply was drawn from.
    pub snapshot: SnapshotId,
    /// Shard that the reply covers.
    pub shard: ShardIndex,
    /// The result as JSON text.
    pub body: Bytes,
}

/// What the driver of a fan-out is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum FanOutAction {
    /// Send a call; report its end by `on_reply` or `on_failure`.
    Send {
        /// Identity of the call.
        call: CallId,
        /// Shard to ask.
        shard: ShardIndex,
        /// Replica to ask.
        upstream: UpstreamId,
        /// Time after which the reply is of no use.
        deadline: TimePoint,
    },
    /// Cancel a call in flight; its end is not reported.
    Cancel(CallId),
    /// Call `on_wake` at this time; replaces an earlier time.
    WakeAt(TimePoint),
    /// Give this final result to the caller; nothing follows.
    Finish(FanOutResult),
}

/// The result of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardIndex,
    /// The result as JSON text.
    pub body: Bytes,
}

/// Why a fan-out ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FanOutStopReason {
    /// The minimum coverage can no longer be reached.
    CoverageUnreachable,
    /// The deadline passed below the minimum coverage.
    DeadlinePassed,
    /// The upstreams no longer hold the pinned snapshot; another may be tried.
    SnapshotUnavailable,
    /// Every usable replica is at its limit.
    Saturated,
    /// The caller has gone.
    Abandoned,
}

/// The end of a fan-out.
#[derive(Debug, Clone, PartialEq)]
pub struct FanOutResult {
    /// What is known about the execution of the query.
    pub verdict: Verdict,
    /// The pinned snapshot.
    pub snapshot: SnapshotId,
    /// Share of the pinned snapshot's shards that `shards` holds.
    pub coverage: Coverage,
    /// One result for each contributing shard, in shard order; empty unless the verdict is done.
    pub shards: Vec<ShardResult>,
    /// Why there is no answer; `None` if the verdict is done.
    pub stop: Option<FanOutStopReason>,
    /// When the caller should come back, if there is no answer.
    pub retry_after: Option<Duration>,
    /// Calls sent, hedges and retries included.
    pub calls: u32,
}
