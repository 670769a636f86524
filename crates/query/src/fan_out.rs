//! Sends one query to every shard of a pinned snapshot and gathers one answer.

mod dispatch;
mod ending;
mod hedging;
mod waiting;

use std::time::Duration;

use mux_model::{CallFailure, CallId, NotRunReason, ShardIndex, TimePoint, Verdict};
use mux_routing::{CallOutcome, ReplicaRouter};

use crate::{
    CallReply, FanOutAction, FanOutPlan, FanOutStopReason,
    call_table::{CallTable, ShardPhase},
    coverage_goal::CoverageGoal,
    fan_out::waiting::WaitingShard,
};

/// The calls of one query, from the first call to the one final result.
///
/// Each slot that it acquires from the router is released exactly once: on the reply, on the
/// failure, or when the call is cancelled. After [`FanOutAction::Finish`] every event is dropped.
#[derive(Debug)]
pub struct FanOut {
    plan: FanOutPlan,
    goal: CoverageGoal,
    table: CallTable,
    waiting: Vec<WaitingShard>,
    next_ask: Option<TimePoint>,
    started_at: TimePoint,
    answered: u32,
    lost: LostShards,
    hedge_delay: Option<Duration>,
    next_hedge: CallId,
    wake_at: Option<TimePoint>,
    verdict: Verdict,
    retry_after: Option<Duration>,
    dropped_replies: u32,
    finished: bool,
}

/// Shards that cannot contribute any more, by cause.
#[derive(Debug, Clone, Copy, Default)]
struct LostShards {
    total: u32,
    snapshot_missing: u32,
    saturated: u32,
}

impl FanOut {
    /// Creates the first fan-out of a query; it has sent nothing.
    pub fn new(plan: FanOutPlan) -> Self {
        Self::with_first_call(plan, CallId(0))
    }

    /// Creates a fan-out whose calls are numbered from `first_call`.
    ///
    /// A query that starts over goes on counting, so that a late reply to an earlier call is not
    /// taken for the reply to a later one.
    pub fn with_first_call(plan: FanOutPlan, first_call: CallId) -> Self {
        let goal = CoverageGoal::new(&plan);
        Self {
            goal,
            table: CallTable::new(first_call, goal.total),
            waiting: Vec::new(),
            next_ask: None,
            started_at: TimePoint::ZERO,
            answered: 0,
            lost: LostShards::default(),
            hedge_delay: None,
            next_hedge: first_call,
            wake_at: None,
            verdict: Verdict::NotRun,
            retry_after: None,
            dropped_replies: 0,
            finished: false,
            plan,
        }
    }

    /// Returns whether the final result was given.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the number of replies that came for a call that had already ended.
    pub fn dropped_replies(&self) -> u32 {
        self.dropped_replies
    }

    /// Calls one replica of every shard.
    ///
    /// Nothing is sent if the replicas that can be reached are too few for the minimum coverage.
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
        if self.plan.idempotent {
            self.hedge_delay = router.hedge_delay(now);
        }
        for shard in self.plan.map.shards() {
            self.reserve(now, router, shard);
        }
        if self.ending(now).is_none() {
            self.send_reserved(actions);
        } else {
            self.withdraw_reserved(now, router);
        }
        self.advance(now, router, actions);
    }

    /// Takes in a complete reply to `call`.
    ///
    /// A reply that names another request, snapshot or shard counts as a failed call. A reply to a
    /// call that has ended is dropped.
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
        if !self.is_expected(state.shard, &reply) {
            return self.on_failure(now, router, call, CallFailure::BadReply, latency, actions);
        }
        let upstream = state.upstream;
        self.table.close(call);
        router.release(now, upstream, CallOutcome::Replied(latency));
        self.verdict = self.verdict.combine(Verdict::MayHaveRun);
        self.answered += 1;
        self.table.shard_mut(reply.shard).phase = ShardPhase::Answered(reply.body);
        self.cancel_shard(now, router, reply.shard, actions);
        if !self.try_finish(now, router, actions) {
            self.reuse_slot(now, router, upstream, actions);
            self.advance(now, router, actions);
        }
    }

    /// Takes in the failure of `call`; dropped if the call has ended.
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
        let shard = state.shard;
        router.release(now, state.upstream, CallOutcome::Failed(failure, latency));
        self.verdict = self.verdict.combine(failure.verdict());
        self.note_failure(shard, failure);
        if self.table.shard(shard).open_calls == 0 {
            self.replace_call(now, router, shard, failure, actions);
        }
        self.advance(now, router, actions);
    }

    /// Does what is due at the time of the latest [`FanOutAction::WakeAt`]; harmless at any time.
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
        self.ask_waiting(now, router, actions);
        self.hedge_due(now, router, actions);
        self.advance(now, router, actions);
    }

    /// Ends the fan-out with [`FanOutStopReason::SnapshotUnavailable`] if upstreams that no longer hold the
    /// snapshot put the coverage target out of reach and the request may be repeated.
    ///
    /// For a query that can start over with another snapshot, known to be complete.
    pub fn stop_if_snapshot_unavailable<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if !self.finished && self.is_target_lost() && self.is_snapshot_to_blame() {
            self.finish(now, router, Err(FanOutStopReason::SnapshotUnavailable), actions);
        }
    }

    /// Ends the fan-out because nobody waits for its answer.
    ///
    /// The result still says whether the request may have run. A request that is not idempotent is
    /// better left to finish, so that a repeat by its caller finds the answer.
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

    fn is_expected(&self, shard: ShardIndex, reply: &CallReply) -> bool {
        reply.request == self.plan.request
            && reply.snapshot == self.plan.map.snapshot()
            && reply.shard == shard
    }

    fn note_failure(&mut self, shard: ShardIndex, failure: CallFailure) {
        let CallFailure::NotRun { reason, retry_after } = failure else {
            return;
        };
        self.table.shard_mut(shard).unrun_calls += 1;
        self.retry_after = self.retry_after.max(retry_after);
        if reason == NotRunReason::SnapshotMissing {
            self.table.shard_mut(shard).snapshot_missing = true;
        }
    }

    fn replace_call<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        failure: CallFailure,
        actions: &mut Vec<FanOutAction>,
    ) {
        if now < self.plan.deadline && self.may_retry(failure) {
            self.ask(now, router, shard, actions);
        } else {
            self.lose(shard);
        }
    }

    /// Every replica rejects a malformed request, so a rejection is never retried.
    fn may_retry(&self, failure: CallFailure) -> bool {
        match failure {
            CallFailure::NotRun { reason: NotRunReason::Rejected, .. } => false,
            CallFailure::NotRun { .. } => true,
            _ => self.plan.idempotent,
        }
    }
}
