//! Sends one query to every shard of a pinned snapshot and collects the results into one answer.

mod completion;
mod crashes;
mod dispatch;
mod hedging;
mod waiting;

use std::time::Duration;

use mux_model::{CallFailure, CallId, NotRunReason, ShardIndex, TimePoint, Verdict};
use mux_routing::{CallOutcome, ReplicaRouter};

use crate::{
    AttemptContainment, CallReply, FanOutAction, FanOutPlan, FanOutStopReason,
    call_table::{CallTable, ShardPhase},
    coverage_thresholds::CoverageThresholds,
    fan_out::waiting::WaitingShard,
};

/// State machine of one fan-out, from its first call to its single final result.
///
/// Each slot acquired from the router is released exactly once: when its call is answered, fails or
/// is cancelled, or at the start if its call is not sent. After [`FanOutAction::Finish`] every
/// event is ignored.
#[derive(Debug)]
pub struct FanOut {
    plan: FanOutPlan,
    thresholds: CoverageThresholds,
    table: CallTable,
    waiting: Vec<WaitingShard>,
    next_poll: Option<TimePoint>,
    started_at: TimePoint,
    answered_shards: u32,
    failed: FailedShards,
    hedge_delay: Option<Duration>,
    /// Oldest call that may still become due for a hedge.
    hedge_cursor: CallId,
    wake_at: Option<TimePoint>,
    verdict: Verdict,
    retry_after: Option<Duration>,
    dropped_replies: u32,
    finished: bool,
    containment: AttemptContainment,
    /// Shards that are called once the canary of the containment has ended.
    held_shards: Vec<ShardIndex>,
    /// When another shard of a suspect request is called although the canary has not replied.
    canary_limit: TimePoint,
    /// Time for which the next canary of a suspect request is waited for.
    canary_wait: Duration,
    /// Time before which a query without any reply sends no further hedge.
    next_lone_hedge: TimePoint,
}

/// Numbers of shards that can no longer return a result, by cause.
#[derive(Debug, Clone, Copy, Default)]
struct FailedShards {
    total: u32,
    snapshot_missing: u32,
    saturated: u32,
}

impl FanOut {
    /// Creates the first fan-out of a query; no call is sent before [`Self::start`].
    pub fn new(plan: FanOutPlan) -> Self {
        Self::with_first_call(plan, CallId(0))
    }

    /// Creates a fan-out whose calls are numbered from `first_call`.
    ///
    /// A restarted query continues the numbering, so that a late reply to an earlier call is not
    /// mistaken for the reply to a later one.
    pub fn with_first_call(plan: FanOutPlan, first_call: CallId) -> Self {
        let thresholds = CoverageThresholds::new(&plan);
        Self {
            thresholds,
            table: CallTable::new(first_call, thresholds.total),
            waiting: Vec::new(),
            next_poll: None,
            started_at: TimePoint::ZERO,
            answered_shards: 0,
            failed: FailedShards::default(),
            hedge_delay: None,
            hedge_cursor: first_call,
            wake_at: None,
            verdict: Verdict::NotRun,
            retry_after: None,
            dropped_replies: 0,
            finished: false,
            containment: AttemptContainment::new(plan.is_suspect),
            held_shards: Vec::new(),
            canary_limit: TimePoint::MAX,
            canary_wait: Duration::ZERO,
            next_lone_hedge: TimePoint::ZERO,
            plan,
        }
    }

    /// Returns whether the final result was emitted.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the number of replies that were dropped because their call had already ended.
    pub fn dropped_replies(&self) -> u32 {
        self.dropped_replies
    }

    /// Calls one replica of every shard.
    ///
    /// Sends nothing if too few shards have a usable replica for the minimum coverage.
    pub fn start<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if self.try_finish(now, router, actions) {
            return;
        }
        self.started_at = now;
        if self.plan.idempotent && !self.containment.is_contained() {
            self.hedge_delay = router.hedge_delay(now);
        }
        if self.containment.is_contained() {
            self.fail_unreachable_shards(now, router);
            if self.completion(now).is_none() {
                self.start_contained(now, router, actions);
            }
            return self.advance(now, router, actions);
        }
        for shard in self.plan.map.shards() {
            self.reserve(now, router, shard);
        }
        if self.completion(now).is_none() {
            self.send_reserved(actions);
        } else {
            self.release_reserved(now, router);
        }
        self.advance(now, router, actions);
    }

    /// Handles a complete reply to `call`.
    ///
    /// A reply with another request, snapshot or shard counts as a failed call. A reply to a call
    /// that has ended is dropped.
    pub fn on_reply<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        call: CallId,
        reply: CallReply,
        latency: Duration,
        actions: &mut Vec<FanOutAction>,
    ) {
        let Some(state) = self.table.open_call(call) else {
            self.dropped_replies += 1;
            return;
        };
        if !self.matches_call(state.reservation.shard, &reply) {
            return self.on_failure(now, router, call, CallFailure::BadReply, latency, actions);
        }
        let reservation = state.reservation;
        self.table.close(call);
        router.release(now, reservation, CallOutcome::Replied(latency));
        self.verdict = self.verdict.combine(Verdict::MayHaveRun);
        self.answered_shards += 1;
        self.record_survival(reply.shard);
        self.table.shard_mut(reply.shard).phase = ShardPhase::Answered(reply.body);
        self.cancel_shard(now, router, reply.shard, actions);
        if !self.try_finish(now, router, actions) {
            self.release_held_shards(now, router, actions);
            self.use_freed_slot(now, router, reservation.upstream(), actions);
            self.advance(now, router, actions);
        }
    }

    /// Handles the failure of `call`; ignored if the call has ended.
    pub fn on_failure<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        call: CallId,
        failure: CallFailure,
        latency: Duration,
        actions: &mut Vec<FanOutAction>,
    ) {
        let Some(state) = self.table.close(call) else {
            return;
        };
        let (reservation, sent_at) = (state.reservation, state.sent_at);
        let shard = reservation.shard;
        router.release(now, reservation, CallOutcome::Failed(failure, latency));
        self.verdict = self.verdict.combine(failure.verdict());
        self.record_failure(call, shard, failure);
        let reaction = match failure {
            CallFailure::UpstreamEnded => {
                // A hedge would reach a further upstream.
                self.hedge_delay = None;
                self.containment.on_crash(now, shard, sent_at)
            }
            CallFailure::UpstreamError => {
                self.record_survival(shard);
                self.containment.on_further_call(shard)
            }
            _ => self.containment.on_further_call(shard),
        };
        self.replace_call(now, router, shard, failure, reaction, actions);
        self.release_held_shards(now, router, actions);
        self.advance(now, router, actions);
    }

    /// Makes no further call that may have run: the request may crash upstreams.
    pub fn contain(&mut self) {
        self.containment.contain();
        self.hedge_delay = None;
    }

    /// Runs the work scheduled by the latest [`FanOutAction::WakeAt`]; safe to call at any time.
    pub fn on_wake<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        self.wake_at = None;
        if self.try_finish(now, router, actions) {
            return;
        }
        self.release_held_shards(now, router, actions);
        self.poll_waiting_shards(now, router, actions);
        self.hedge_due_calls(now, router, actions);
        self.advance(now, router, actions);
    }

    /// Ends the fan-out with [`FanOutStopReason::SnapshotUnavailable`] if the coverage target is
    /// unreachable, some upstreams no longer hold the snapshot and the request may be repeated.
    ///
    /// For a query that can restart on another snapshot that meets the coverage target.
    pub fn stop_if_snapshot_unavailable<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if !self.finished && self.is_target_unreachable() && self.can_switch_snapshot() {
            self.finish(now, router, Err(FanOutStopReason::SnapshotUnavailable), actions);
        }
    }

    /// Ends the fan-out because its caller no longer waits for the answer.
    ///
    /// The result still states whether the request may have run. A request that is not idempotent
    /// should run to completion instead, so that its caller can retry and get the stored answer.
    pub fn abandon<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if !self.finished {
            self.finish(now, router, Err(FanOutStopReason::Abandoned), actions);
        }
    }

    fn matches_call(&self, shard: ShardIndex, reply: &CallReply) -> bool {
        reply.request == self.plan.request
            && reply.snapshot == self.plan.map.snapshot()
            && reply.shard == shard
    }

    fn record_failure(&mut self, call: CallId, shard: ShardIndex, failure: CallFailure) {
        let CallFailure::NotRun { reason, retry_after } = failure else {
            return;
        };
        let state = self.table.shard_mut(shard);
        state.not_run_calls += 1;
        match reason {
            NotRunReason::NotSent => state.unsent_calls += 1,
            NotRunReason::ConnectionRefused => {
                state.unsent_calls += 1;
                // The other replicas may refuse connections for as long.
                self.table.allow_repeat(call);
            }
            _ => {}
        }
        self.retry_after = self.retry_after.max(retry_after);
        if reason == NotRunReason::SnapshotMissing {
            self.table.shard_mut(shard).snapshot_missing = true;
        }
    }

    fn retry_or_fail<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        failure: CallFailure,
        actions: &mut Vec<FanOutAction>,
    ) {
        if now < self.plan.deadline && self.may_retry(failure) {
            self.call_shard(now, router, shard, actions);
        } else {
            self.mark_failed(shard);
        }
    }

    /// Returns whether another replica may be called after `failure`.
    ///
    /// Every replica rejects a malformed request, so a rejected call is never retried.
    fn may_retry(&self, failure: CallFailure) -> bool {
        match failure {
            CallFailure::NotRun { reason: NotRunReason::Rejected, .. } => false,
            CallFailure::NotRun { .. } => true,
            _ => self.plan.idempotent && !self.containment.is_contained(),
        }
    }
}
