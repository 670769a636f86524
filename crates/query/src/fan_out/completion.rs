//! Completion of a fan-out: when it ends, and its result.

use std::{mem, time::Duration};

use mux_model::{CallId, Coverage, ShardIndex, TimePoint, Verdict};
use mux_routing::{CallOutcome, ReplicaRouter};

use crate::{
    FanOutAction, FanOutResult, FanOutStopReason, ShardResult, call_table::ShardPhase,
    fan_out::FanOut,
};

/// Retry delay if neither an upstream nor the router suggested one.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;
/// Longest retry delay that is passed on to a caller.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

impl FanOut {
    /// Ends the fan-out if it can end now, or else schedules the next wake-up.
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
        let Some(completion) = self.completion(now) else {
            return false;
        };
        self.finish(now, router, completion, actions);
        true
    }

    /// Returns how the fan-out ends now; `None` if it continues.
    pub(super) fn completion(&self, now: TimePoint) -> Option<Result<(), FanOutStopReason>> {
        let thresholds = self.thresholds;
        let has_minimum = thresholds.minimum <= self.answered_shards;
        if thresholds.total <= self.answered_shards + self.failed.total && has_minimum {
            return Some(Ok(()));
        }
        if self.plan.deadline <= now {
            return Some(if has_minimum { Ok(()) } else { Err(FanOutStopReason::DeadlinePassed) });
        }
        if thresholds.total < self.failed.total.saturating_add(thresholds.minimum) {
            return Some(Err(self.unreachable_reason()));
        }
        if self.plan.latency_target <= now && thresholds.target <= self.answered_shards {
            return Some(Ok(()));
        }
        None
    }

    /// Cancels the open calls and emits the final result.
    pub(super) fn finish<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        completion: Result<(), FanOutStopReason>,
        actions: &mut Vec<FanOutAction>,
    ) {
        self.finished = true;
        for call in self.table.call_ids() {
            self.cancel(now, router, call, actions);
        }
        let result = match completion {
            Ok(()) => self.success_result(),
            Err(stop) => self.failure_result(stop),
        };
        actions.push(FanOutAction::Finish(result));
    }

    /// Cancels the open calls to `shard`.
    pub(super) fn cancel_shard<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        actions: &mut Vec<FanOutAction>,
    ) {
        while let Some(call) = self.table.newest_open_call(shard) {
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
        router.release(now, state.reservation, CallOutcome::Cancelled(state.age(now)));
        self.verdict = self.verdict.combine(Verdict::MayHaveRun);
        actions.push(FanOutAction::Cancel(call));
    }

    fn success_result(&mut self) -> FanOutResult {
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

    fn failure_result(&self, stop: FanOutStopReason) -> FanOutResult {
        FanOutResult {
            verdict: self.verdict,
            snapshot: self.plan.map.snapshot(),
            coverage: self.coverage(0),
            shards: Vec::new(),
            stop: Some(stop),
            retry_after: Some(self.bounded_retry_after()),
            calls: self.table.call_count(),
        }
    }

    fn coverage(&self, contributed: usize) -> Coverage {
        let contributed = u32::try_from(contributed).unwrap_or(u32::MAX);
        Coverage { contributed, total: self.thresholds.total }
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

    fn bounded_retry_after(&self) -> Duration {
        let default_delay = Duration::from_millis(DEFAULT_RETRY_AFTER_MS);
        let max_delay = Duration::from_millis(MAX_RETRY_AFTER_MS);
        self.retry_after.unwrap_or(default_delay).min(max_delay)
    }

    /// Returns the reason why the minimum coverage cannot be reached.
    fn unreachable_reason(&self) -> FanOutStopReason {
        if self.can_switch_snapshot() {
            return FanOutStopReason::SnapshotUnavailable;
        }
        if 0 < self.failed.saturated {
            return FanOutStopReason::Saturated;
        }
        FanOutStopReason::CoverageUnreachable
    }

    /// Returns whether shards failed because upstreams no longer hold the snapshot, and the request
    /// may be repeated on another one.
    pub(super) fn can_switch_snapshot(&self) -> bool {
        let may_repeat = self.plan.idempotent || !self.may_have_run();
        0 < self.failed.snapshot_missing && may_repeat
    }

    /// Returns whether the coverage target can no longer be reached.
    pub(super) fn is_target_unreachable(&self) -> bool {
        self.thresholds.total < self.failed.total.saturating_add(self.thresholds.target)
    }

    /// Returns whether the request may have run at any upstream; an open call may have run.
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
        let canary_limit = self.containment.canary().map(|_| self.canary_limit);
        let times = [target, self.next_poll, self.next_hedge_time(), canary_limit];
        times.into_iter().flatten().fold(self.plan.deadline, TimePoint::min)
    }
}
