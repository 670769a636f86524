//! How a fan-out asks another replica for a shard whose call is slow.

use std::time::Duration;

use mux_model::{CallId, TimePoint};
use mux_routing::{AcquireError, CallKind, ReplicaRouter};

use crate::{FanOutAction, fan_out::FanOut};

/// Calls to one shard that are open at once.
const MAX_OPEN_CALLS: u32 = 3;

impl FanOut {
    /// Asks another replica for each shard whose newest call is due for a hedge.
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

    /// Hedges `slow`, which may be a hedge itself, unless its shard has enough open calls.
    ///
    /// In a query of many shards it is likely that a hedge somewhere is slow, too.
    /// A hedge that gets no slot or budget is asked for again: the longer a call is open, the more
    /// a hedge is worth.
    pub(super) fn hedge<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        slow: CallId,
        actions: &mut Vec<FanOutAction>,
    ) {
        let Some(shard) = self.table.open_call(slow).map(|it| it.shard) else {
            return;
        };
        if MAX_OPEN_CALLS <= self.table.shard(shard).open_calls {
            return;
        }
        match self.acquire(now, router, shard, CallKind::Hedge) {
            Ok(upstream) => {
                let call = self.table.open(now, shard, upstream);
                self.send(call, actions);
            }
            Err(AcquireError::Saturated { retry_after }) => {
                self.wait_for_hedge(now, shard, slow, retry_after);
            }
            Err(AcquireError::BudgetExhausted) => {
                let retry_after = self.hedge_delay.unwrap_or(Duration::MAX);
                self.wait_for_hedge(now, shard, slow, retry_after);
            }
            Err(AcquireError::NoReplica | AcquireError::ReplyTooLate) => {}
        }
    }
}
