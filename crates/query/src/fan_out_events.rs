//! Inputs and outputs of the fan-out state machine.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bytes::Bytes;
use mux_model::{
    CallId, Coverage, RequestId, ShardIndex, SnapshotId, SnapshotMap, TimePoint, Verdict,
};
use mux_routing::CallReservation;

/// Input of a fan-out.
#[derive(Debug, Clone)]
pub struct FanOutPlan {
    /// Identity of the query.
    pub request: RequestId,
    /// The pinned snapshot's shard map.
    pub map: Arc<SnapshotMap>,
    /// Whether a call that may have run may be repeated.
    pub idempotent: bool,
    /// Time from which an answer that meets `coverage_target` is sent without waiting for more
    /// shards.
    pub latency_target: TimePoint,
    /// Time by which the final answer is sent.
    pub deadline: TimePoint,
    /// Share of shards required for an answer at the latency target.
    pub coverage_target: f64,
    /// Share of shards required for any answer.
    pub coverage_minimum: f64,
    /// Maximum number of calls to one shard that may have run; `None`: one for each replica.
    pub max_calls: Option<NonZeroU32>,
    /// Whether the request may crash upstreams: one shard is called first, and the others once it has
    /// answered; there are no hedges, and calls that may have run are not repeated.
    pub is_suspect: bool,
    /// Whether calls of the request may have run before, so that all calls draw on the budget for
    /// retries.
    pub is_repeat: bool,
}

/// A complete reply from an upstream, with the request, snapshot and shard that it states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    /// Query that the reply belongs to.
    pub request: RequestId,
    /// Snapshot that the reply was computed from.
    pub snapshot: SnapshotId,
    /// Shard that the reply covers.
    pub shard: ShardIndex,
    /// Body of the result; the fan-out does not interpret it.
    pub body: Bytes,
}

/// An action for the driver of a fan-out.
#[derive(Debug, Clone, PartialEq)]
pub enum FanOutAction {
    /// Send a call, and report its end by `on_reply` or `on_failure`.
    Send {
        /// Identity of the call.
        call: CallId,
        /// The shard to query and the replica to call.
        reservation: CallReservation,
        /// Time after which the reply is no longer used.
        deadline: TimePoint,
    },
    /// Cancel a call in flight; its end is not reported.
    Cancel(CallId),
    /// Call `on_wake` at this time instead of at the time of an earlier `WakeAt`.
    WakeAt(TimePoint),
    /// The fan-out has ended with this result; no further action follows.
    Finish(FanOutResult),
}

/// The result of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardIndex,
    /// Body of the result; the fan-out does not interpret it.
    pub body: Bytes,
}

/// Reason why a fan-out ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FanOutStopReason {
    /// The minimum coverage can no longer be reached.
    CoverageUnreachable,
    /// The deadline passed before the minimum coverage was reached.
    DeadlinePassed,
    /// Too many shards failed, at least one because an upstream no longer holds the pinned
    /// snapshot; the query may restart on another one.
    SnapshotUnavailable,
    /// The minimum coverage can no longer be reached, in part because replicas are at their limits.
    Saturated,
    /// The caller no longer waits for the answer.
    Abandoned,
}

/// The final result of a fan-out.
#[derive(Debug, Clone, PartialEq)]
pub struct FanOutResult {
    /// What is known about the execution of the query.
    pub verdict: Verdict,
    /// The pinned snapshot.
    pub snapshot: SnapshotId,
    /// Number of results in `shards`, and of shards in the pinned snapshot.
    pub coverage: Coverage,
    /// One result for each shard that replied, in shard order; empty unless the verdict is done.
    pub shards: Vec<ShardResult>,
    /// Reason why there is no answer; `None` if the verdict is done.
    pub stop: Option<FanOutStopReason>,
    /// Delay before the caller should retry; `None` if there is an answer.
    pub retry_after: Option<Duration>,
    /// Number of calls sent, including hedges and retries.
    pub calls: u32,
}
