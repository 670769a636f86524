//! How a fan-out waits for slots while the replicas of a shard are at their limits.

use std::time::Duration;

use mux_model::{CallId, ShardIndex, TimePoint, UpstreamId};
use mux_routing::ReplicaRouter;

use crate::{FanOutAction, fan_out::FanOut};

/// Shortest time between two requests for a slot of one shard.
const SLOT_POLL_MS: u64 = 1;
/// Requests for a slot that one shard makes, at most, while the age of the query doubles.
const SLOT_POLLS_PER_AGE: u32 = 8;

/// A shard that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingShard {
    shard: ShardIndex,
    /// The call that is to be hedged; `None` if no call to the shard is open.
    slow: Option<CallId>,
    ask_at: TimePoint,
}

impl FanOut {
    /// Notes that `shard` has no open call and no slot, or gives it up if none can come in time.
    pub(super) fn wait_for_slot(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        retry_after: Duration,
    ) {
        self.retry_after = self.retry_after.max(Some(retry_after));
        if !self.wait(now, shard, None, retry_after) {
            self.lost.saturated += 1;
            self.lose(shard);
        }
    }

    /// Notes that a hedge of `slow` is asked for again after `retry_after`.
    pub(super) fn wait_for_hedge(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        slow: CallId,
        retry_after: Duration,
    ) {
        self.wait(now, shard, Some(slow), retry_after);
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
                let waiting = self.waiting.swap_remove(idx);
                self.ask_again(now, router, waiting, actions);
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
            let waiting = self.waiting.swap_remove(idx);
            self.ask_again(now, router, waiting, actions);
        }
    }

    fn ask_again<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        waiting: WaitingShard,
        actions: &mut Vec<FanOutAction>,
    ) {
        match waiting.slow {
            None => self.ask(now, router, waiting.shard, actions),
            Some(slow) => self.hedge(now, router, slow, actions),
        }
    }

    /// Returns whether the shard waits; `false` if the deadline passes first.
    fn wait(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        slow: Option<CallId>,
        retry_after: Duration,
    ) -> bool {
        let ask_at = now + retry_after.max(self.shortest_wait(now));
        if self.plan.deadline <= ask_at {
            return false;
        }
        self.waiting.push(WaitingShard { shard, slow, ask_at });
        self.next_ask = Some(self.next_ask.map_or(ask_at, |it| it.min(ask_at)));
        true
    }

    /// Grows with the age of the query, so that a shard asks a limited number of times.
    fn shortest_wait(&self, now: TimePoint) -> Duration {
        let share_of_age = now.since(self.started_at) / SLOT_POLLS_PER_AGE;
        share_of_age.max(Duration::from_millis(SLOT_POLL_MS))
    }
}
