//! When a fan-out ends, and with what.

use std::{mem, time::Duration};

use mux_model::{CallId, Coverage, ShardIndex, TimePoint, Verdict};
use mux_routing::{CallOutcome, ReplicaRouter};

use crate::{
    FanOutAction, FanOutResult, FanOutStopReason, ShardResult, call_table::ShardPhase,
    fan_out::FanOut,
};

/// Time to come back when no upstream named one.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;
/// Longest time to come back that is passed on to a caller.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

impl FanOut {
    /// Ends the fan-out if it can end now, or else asks to be woken.
    pub(super) fn advance<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if !self.try_finish(now, router, actions) {
            self.schedule_wake(now, actions);
        }
    }

    /// Ends the fan-out if it can end now; returns whether it has ended.
    pub(super) fn try_finish<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) -> bool {
        if self.finished {
            return true;
        }
        let Some(ending) = self.ending(now) else {
            return false;
        };
        self.finish(now, router, ending, actions);
        true
    }

    /// Returns how the fan-out ends now; `None` if it goes on.
    pub(super) fn ending(&self, now: TimePoint) -> Option<Result<(), FanOutStopReason>> {
        let goal = self.goal;
        let has_minimum = goal.minimum <= self.answered;
        if goal.total <= self.answered + self.lost.total && has_minimum {
            return Some(Ok(()));
        }
        if self.plan.deadline <= now {
            return Some(if has_minimum { Ok(()) } else { Err(FanOutStopReason::DeadlinePassed) });
        }
        if goal.total < self.lost.total.saturating_add(goal.minimum) {
            return Some(Err(self.unreachable_cause()));
        }
        if self.plan.latency_target <= now && goal.target <= self.answered {
            return Some(Ok(()));
        }
        None
    }

    /// Cancels what is in flight and gives the final result.
    pub(super) fn finish<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        ending: Result<(), FanOutStopReason>,
        actions: &mut Vec<FanOutAction>,
    ) {
        self.finished = true;
        for call in self.table.call_ids() {
            self.cancel(now, router, call, actions);
        }
        let result = match ending {
            Ok(()) => self.answer(),
            Err(stop) => self.refusal(stop),
        };
        actions.push(FanOutAction::Finish(result));
    }

    /// Cancels the calls to `shard` that are still open.
    pub(super) fn cancel_shard<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        actions: &mut Vec<FanOutAction>,
    ) {
        while let Some(call) = self.table.newest_open(shard) {
            self.cancel(now, router, call, actions);
        }
    }

    fn cancel<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        call: CallId,
        actions: &mut Vec<FanOutAction>,
    ) {
        let Some(state) = self.table.close(call) else {
            return;
        };
        router.release(now, state.upstream, CallOutcome::Cancelled(state.age(now)));
        self.verdict = self.verdict.combine(Verdict::MayHaveRun);
        actions.push(FanOutAction::Cancel(call));
    }

    fn answer(&mut self) -> FanOutResult {
        let shards = self.take_results();
        FanOutResult {
            verdict: Verdict::Done,
            snapshot: self.plan.map.snapshot(),
            coverage: self.coverage(shards.len()),
            shards,
            stop: None,
            retry_after: None,
            calls: self.table.call_count(),
        }
    }

    fn refusal(&self, stop: FanOutStopReason) -> FanOutResult {
        FanOutResult {
            verdict: self.verdict,
            snapshot: self.plan.map.snapshot(),
            coverage: self.coverage(0),
            shards: Vec::new(),
            stop: Some(stop),
            retry_after: Some(self.time_to_come_back()),
            calls: self.table.call_count(),
        }
    }

    fn coverage(&self, contributed: usize) -> Coverage {
        let contributed = u32::try_from(contributed).unwrap_or(u32::MAX);
        Coverage { contributed, total: self.goal.total }
    }

    fn take_results(&mut self) -> Vec<ShardResult> {
        let mut results = Vec::with_capacity(self.table.shards_mut().len());
        for (shard, state) in self.plan.map.shards().zip(self.table.shards_mut()) {
            if let ShardPhase::Answered(body) = &mut state.phase {
                results.push(ShardResult { shard, body: mem::take(body) });
            }
        }
        results
    }

    fn time_to_come_back(&self) -> Duration {
        let shortest = Duration::from_millis(DEFAULT_RETRY_AFTER_MS);
        let longest = Duration::from_millis(MAX_RETRY_AFTER_MS);
        self.retry_after.unwrap_or(shortest).min(longest)
    }

    /// Returns why too few shards are left.
    fn unreachable_cause(&self) -> FanOutStopReason {
        if self.is_snapshot_to_blame() {
            return FanOutStopReason::SnapshotUnavailable;
        }
        if 0 < self.lost.saturated {
            return FanOutStopReason::Saturated;
        }
        FanOutStopReason::CoverageUnreachable
    }

    /// Returns whether another snapshot may help, which also takes that the request may be repeated.
    pub(super) fn is_snapshot_to_blame(&self) -> bool {
        let may_repeat = self.plan.idempotent || !self.may_have_run();
        0 < self.lost.snapshot_missing && may_repeat
    }

    /// Returns whether the coverage target can no longer be reached.
    pub(super) fn is_target_lost(&self) -> bool {
        self.goal.total < self.lost.total.saturating_add(self.goal.target)
    }

    /// Returns whether the request may have run anywhere, open calls included.
    fn may_have_run(&self) -> bool {
        self.verdict != Verdict::NotRun || self.table.has_open_calls()
    }

    fn schedule_wake(&mut self, now: TimePoint, actions: &mut Vec<FanOutAction>) {
        let next = self.next_wake(now);
        if self.wake_at.is_none_or(|it| next < it) {
            self.wake_at = Some(next);
            actions.push(FanOutAction::WakeAt(next));
        }
    }

    fn next_wake(&mut self, now: TimePoint) -> TimePoint {
        let target = Some(self.plan.latency_target).filter(|it| now < *it);
        let times = [target, self.next_ask, self.next_hedge_time()];
        times.into_iter().flatten().fold(self.plan.deadline, TimePoint::min)
    }
}
