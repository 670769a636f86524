//! Which calls a fan-out sends, and when.

use std::time::Duration;

use mux_model::{CallId, ShardIndex, TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome, ReplicaRouter};

use crate::{
    FanOutAction,
    call_table::{CallTable, ShardPhase},
    fan_out::{FanOut, WaitingShard},
};

/// Shortest time between two requests for a slot of one shard.
const SLOT_POLL_MS: u64 = 1;
/// Requests for a slot that one shard makes, at most, while the age of the query doubles.
const SLOT_POLLS_PER_AGE: u32 = 8;

impl FanOut {
    pub(super) fn ask<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        actions: &mut Vec<FanOutAction>,
    ) {
        if let Some(call) = self.reserve(now, router, shard) {
            self.send(call, actions);
        }
    }

    /// Reserves a slot at a replica not called before, or notes why there is none.
    pub(super) fn reserve<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
    ) -> Option<CallId> {
        let was_called = self.table.shard(shard).was_called();
        let kind = if was_called { CallKind::Retry } else { CallKind::First };
        match self.acquire(now, router, shard, kind) {
            Ok(upstream) => Some(self.table.open(now, shard, upstream)),
            Err(AcquireError::Saturated { retry_after }) => {
                self.wait_for_slot(now, shard, retry_after);
                None
            }
            Err(AcquireError::NoReplica | AcquireError::BudgetEmpty) => {
                self.lose(shard);
                None
            }
        }
    }

    fn acquire<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let candidates = self.plan.map.replicas(shard);
        let tried = self.table.tried(shard);
        if candidates.len() <= tried.len() {
            return Err(AcquireError::NoReplica);
        }
        router.acquire(now, candidates, tried, kind)
    }

    fn wait_for_slot(&mut self, now: TimePoint, shard: ShardIndex, retry_after: Duration) {
        self.retry_after = self.retry_after.max(Some(retry_after));
        let ask_at = now + retry_after.max(self.shortest_wait(now));
        if self.plan.deadline <= ask_at {
            self.lost.saturated += 1;
            self.lose(shard);
            return;
        }
        self.waiting.push(WaitingShard { shard, ask_at });
        self.next_ask = Some(self.next_ask.map_or(ask_at, |it| it.min(ask_at)));
    }

    /// Grows with the age of the query, so that a shard asks a limited number of times.
    fn shortest_wait(&self, now: TimePoint) -> Duration {
        let share_of_age = now.since(self.started_at) / SLOT_POLLS_PER_AGE;
        share_of_age.max(Duration::from_millis(SLOT_POLL_MS))
    }

    pub(super) fn lose(&mut self, shard: ShardIndex) {
        let state = self.table.shard_mut(shard);
        state.phase = ShardPhase::Lost;
        self.lost.total += 1;
        self.lost.snapshot_missing += u32::from(state.snapshot_missing);
    }

    fn send(&self, call: CallId, actions: &mut Vec<FanOutAction>) {
        let Some(state) = self.table.call(call) else {
            return;
        };
        actions.push(FanOutAction::Send {
            call,
            shard: state.shard,
            upstream: state.upstream,
            deadline: self.plan.deadline,
        });
    }

    pub(super) fn send_reserved(&self, actions: &mut Vec<FanOutAction>) {
        for call in self.table.call_ids() {
            self.send(call, actions);
        }
    }

    pub(super) fn withdraw_reserved<R: ReplicaRouter>(&mut self, now: TimePoint, router: &R) {
        for call in self.table.call_ids() {
            if let Some(state) = self.table.close(call) {
                router.release(now, state.upstream, CallOutcome::Cancelled(Duration::ZERO));
            }
        }
        self.table = CallTable::new(self.next_hedge, self.goal.total);
    }

    /// Asks again for the shards whose waiting time is over.
    pub(super) fn ask_waiting<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if self.next_ask.is_none_or(|it| now < it) {
            return;
        }
        for idx in (0..self.waiting.len()).rev() {
            if self.waiting[idx].ask_at <= now {
                let shard = self.waiting.swap_remove(idx).shard;
                self.ask(now, router, shard, actions);
            }
        }
        self.next_ask = self.waiting.iter().map(|it| it.ask_at).min();
    }

    /// Asks for a slot at `upstream`, which has just freed one, for a shard that waits for it.
    pub(super) fn reuse_slot<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        upstream: UpstreamId,
        actions: &mut Vec<FanOutAction>,
    ) {
        let map = &self.plan.map;
        let is_held = |it: &WaitingShard| map.replicas(it.shard).contains(&upstream);
        if let Some(idx) = self.waiting.iter().position(is_held) {
            let shard = self.waiting.swap_remove(idx).shard;
            self.ask(now, router, shard, actions);
        }
    }

    /// Asks second replicas for the shards whose only call is due for a hedge.
    pub(super) fn hedge_due<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        while let Some(due) = self.next_hedge_time() {
            if now < due {
                return;
            }
            self.hedge(now, router, self.next_hedge, actions);
            self.next_hedge.0 += 1;
        }
    }

    /// Returns when the oldest open call that was not looked at yet is due for a hedge.
    ///
    /// Calls are numbered in the order of their send times, so that one cursor serves all.
    pub(super) fn next_hedge_time(&mut self) -> Option<TimePoint> {
        let delay = self.hedge_delay?;
        while let Some(state) = self.table.call(self.next_hedge) {
            if state.open {
                return Some(state.sent_at + delay);
            }
            self.next_hedge.0 += 1;
        }
        None
    }

    fn hedge<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        slow: CallId,
        actions: &mut Vec<FanOutAction>,
    ) {
        let Some(shard) = self.table.open_call(slow).map(|it| it.shard) else {
            return;
        };
        if 1 < self.table.shard(shard).open_calls {
            return;
        }
        let Ok(upstream) = self.acquire(now, router, shard, CallKind::Hedge) else {
            return;
        };
        let call = self.table.open(now, shard, upstream);
        self.send(call, actions);
    }
}
