//! Hedging of slow calls: another replica of the shard is called.

use mux_model::{CallId, TimePoint};
use mux_routing::{AcquireError, CallKind, ReplicaRouter};

use crate::{FanOutAction, fan_out::FanOut};

/// Maximum number of open calls to one shard.
const MAX_OPEN_CALLS: u32 = 3;
/// Number of shards from which on a query without any reply is hedged at one shard at a time. With
/// fewer shards, all calls may be slow by chance.
const MIN_SHARDS_FOR_LONE_HEDGES: u32 = 4;

impl FanOut {
    /// Hedges each call that is due.
    pub(super) fn hedge_due_calls<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        while let Some(due) = self.next_hedge_time() {
            if now < due {
                return;
            }
            self.hedge(now, router, self.hedge_cursor, actions);
            self.hedge_cursor.0 += 1;
        }
    }

    /// Returns when the oldest open call that the cursor has not passed is due for a hedge.
    ///
    /// Calls are numbered in the order of their send times, so one cursor is enough.
    pub(super) fn next_hedge_time(&mut self) -> Option<TimePoint> {
        let delay = self.hedge_delay?;
        while let Some(state) = self.table.call(self.hedge_cursor) {
            if state.open {
                return Some((state.sent_at + delay).max(self.lone_hedge_limit()));
            }
            self.hedge_cursor.0 += 1;
        }
        None
    }

    /// Returns the time before which no hedge is sent.
    ///
    /// If no shard of many has replied, the request may crash the upstreams that run it, or all of them
    /// are slow; hedges of all shards would double the damage. A silent zone is found by the first
    /// hedge, whose reply allows the others at once.
    fn lone_hedge_limit(&self) -> TimePoint {
        let is_lone =
            self.answered_shards == 0 && MIN_SHARDS_FOR_LONE_HEDGES <= self.thresholds.total;
        if is_lone { self.next_lone_hedge } else { TimePoint::ZERO }
    }

    /// Hedges `slow_call`, which may be a hedge itself, unless its shard has the maximum of open
    /// calls.
    ///
    /// In a query of many shards some hedges are likely to be slow as well. A hedge without a slot
    /// or budget is attempted again, as its benefit grows with the age of the open call.
    pub(super) fn hedge<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        slow_call: CallId,
        actions: &mut Vec<FanOutAction>,
    ) {
        let Some(shard) = self.table.open_call(slow_call).map(|it| it.reservation.shard) else {
            return;
        };
        // Hedges that waited for a slot or the budget are due after a crash as well.
        let Some(delay) = self.hedge_delay else {
            return;
        };
        if MAX_OPEN_CALLS <= self.table.shard(shard).open_calls {
            return;
        }
        let limit = self.lone_hedge_limit();
        if now < limit {
            return self.wait_for_hedge(now, shard, slow_call, limit.since(now));
        }
        match self.acquire(now, router, shard, CallKind::Hedge) {
            Ok(reservation) => {
                let call = self.table.open(now, reservation);
                self.next_lone_hedge = now + delay;
                self.send(call, actions);
            }
            Err(
                AcquireError::Saturated { retry_after } | AcquireError::RateLimited { retry_after },
            ) => {
                self.wait_for_hedge(now, shard, slow_call, retry_after);
            }
            Err(AcquireError::BudgetExhausted) => {
                self.wait_for_hedge(now, shard, slow_call, delay);
            }
            Err(
                AcquireError::NoReplica | AcquireError::ReplyTooLate | AcquireError::Quiet { .. },
            ) => {}
        }
    }
}
