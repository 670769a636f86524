//! Sends the first call to a shard and replaces failed calls.

use mux_model::{CallId, ShardIndex, TimePoint};
use mux_routing::{AcquireError, CallKind, CallOutcome, CallReservation, ReplicaRouter};

use crate::{
    FanOutAction,
    call_table::{CallTable, ShardPhase},
    fan_out::FanOut,
};

impl FanOut {
    /// Calls a replica of `shard`, which has no open call.
    pub(super) fn call_shard<R: ReplicaRouter>(
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

    /// Opens a call to `shard` at a replica not called before, without sending it; if no slot is
    /// available, the shard waits or fails.
    pub(super) fn reserve<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
    ) -> Option<CallId> {
        let state = self.table.shard(shard);
        let kind = match (state.was_called(), state.was_reached()) {
            (false, _) if self.plan.is_repeat => CallKind::Retry,
            (false, _) => CallKind::First,
            (true, false) => CallKind::Resend,
            (true, true) => CallKind::Retry,
        };
        match self.acquire(now, router, shard, kind) {
            Ok(reservation) => Some(self.table.open(now, reservation)),
            Err(AcquireError::Saturated { retry_after }) => {
                self.wait_for_slot(now, shard, retry_after);
                None
            }
            Err(
                AcquireError::Quiet { retry_after } | AcquireError::RateLimited { retry_after },
            ) => {
                self.retry_after = self.retry_after.max(Some(retry_after));
                self.mark_failed(shard);
                None
            }
            Err(
                AcquireError::NoReplica
                | AcquireError::BudgetExhausted
                | AcquireError::ReplyTooLate,
            ) => {
                self.mark_failed(shard);
                None
            }
        }
    }

    /// Acquires a slot at a replica of `shard` not called before.
    pub(super) fn acquire<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        kind: CallKind,
    ) -> Result<CallReservation, AcquireError> {
        let candidates = self.plan.map.replicas(shard);
        if self.plan.max_calls.is_some_and(|it| it.get() <= self.table.possible_runs(shard)) {
            return Err(AcquireError::NoReplica);
        }
        let tried_replicas = self.table.tried_replicas(shard);
        if candidates.len() <= tried_replicas.len() {
            return Err(AcquireError::NoReplica);
        }
        router.acquire(now, shard, candidates, tried_replicas, kind)
    }

    /// Records that `shard` can no longer return a result.
    pub(super) fn mark_failed(&mut self, shard: ShardIndex) {
        let state = self.table.shard_mut(shard);
        state.phase = ShardPhase::Failed;
        self.failed.total += 1;
        self.failed.snapshot_missing += u32::from(state.snapshot_missing);
    }

    /// Emits the action that sends a call.
    pub(super) fn send(&self, call: CallId, actions: &mut Vec<FanOutAction>) {
        let Some(state) = self.table.call(call) else {
            return;
        };
        actions.push(FanOutAction::Send {
            call,
            reservation: state.reservation,
            deadline: self.plan.deadline,
        });
    }

    /// Sends the calls for which slots were reserved at the start.
    pub(super) fn send_reserved(&self, actions: &mut Vec<FanOutAction>) {
        for call in self.table.call_ids() {
            self.send(call, actions);
        }
    }

    /// Releases the slots that were reserved at the start for calls that are not sent.
    ///
    /// The hedge cursor is still at the first call, so the new table begins with the same number.
    pub(super) fn release_reserved<R: ReplicaRouter>(&mut self, now: TimePoint, router: &R) {
        for call in self.table.call_ids() {
            if let Some(state) = self.table.close(call) {
                router.release(now, state.reservation, CallOutcome::Withdrawn);
            }
        }
        self.table = CallTable::new(self.hedge_cursor, self.thresholds.total);
    }
}
