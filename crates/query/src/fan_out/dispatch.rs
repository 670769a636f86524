//! How a fan-out sends the first call to a shard and replaces a failed one.

use mux_model::{CallId, ShardIndex, TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome, ReplicaRouter};

use crate::{
    FanOutAction,
    call_table::{CallTable, ShardPhase},
    fan_out::FanOut,
};

impl FanOut {
    /// Calls a replica of `shard`, which has no open call.
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
            Err(
                AcquireError::NoReplica
                | AcquireError::BudgetExhausted
                | AcquireError::ReplyTooLate,
            ) => {
                self.lose(shard);
                None
            }
        }
    }

    /// Reserves a slot at a replica of `shard` not called before.
    pub(super) fn acquire<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let candidates = self.plan.map.replicas(shard);
        if self.plan.max_calls.is_some_and(|it| it.get() <= self.table.run_count(shard)) {
            return Err(AcquireError::NoReplica);
        }
        let tried = self.table.tried(shard);
        if candidates.len() <= tried.len() {
            return Err(AcquireError::NoReplica);
        }
        router.acquire(now, candidates, tried, kind)
    }

    /// Notes that `shard` cannot contribute any more.
    pub(super) fn lose(&mut self, shard: ShardIndex) {
        let state = self.table.shard_mut(shard);
        state.phase = ShardPhase::Lost;
        self.lost.total += 1;
        self.lost.snapshot_missing += u32::from(state.snapshot_missing);
    }

    /// Tells the driver to send a call.
    pub(super) fn send(&self, call: CallId, actions: &mut Vec<FanOutAction>) {
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

    /// Sends the calls that were reserved at the start.
    pub(super) fn send_reserved(&self, actions: &mut Vec<FanOutAction>) {
        for call in self.table.call_ids() {
            self.send(call, actions);
        }
    }

    /// Gives back the slots of calls that were reserved at the start and not sent.
    pub(super) fn withdraw_reserved<R: ReplicaRouter>(&mut self, now: TimePoint, router: &R) {
        for call in self.table.call_ids() {
            if let Some(state) = self.table.close(call) {
                router.release(now, state.upstream, CallOutcome::Withdrawn);
            }
        }
        self.table = CallTable::new(self.next_hedge, self.goal.total);
    }
}
