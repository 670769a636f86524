//! Waiting for slots while the replicas of a shard are at their limits.

use std::time::Duration;

use mux_model::{CallId, ShardIndex, TimePoint, UpstreamId};
use mux_routing::ReplicaRouter;

use crate::{FanOutAction, fan_out::FanOut};

/// Minimum time between two polls for one shard; a freed slot is requested at once.
const MIN_SLOT_POLL_INTERVAL_MS: u64 = 1;
/// Maximum number of polls for one shard while the age of the query doubles; requests for freed
/// slots are not counted.
const MAX_POLLS_PER_AGE_DOUBLING: u32 = 8;

/// A shard that waits for a slot, or for the budget of a hedge.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingShard {
    shard: ShardIndex,
    /// The call to hedge; `None` if no call to the shard is open.
    slow_call: Option<CallId>,
    poll_at: TimePoint,
}

impl FanOut {
    /// Queues `shard`, which has no open call, for a slot, or marks it as failed if no slot can
    /// become free before the deadline.
    pub(super) fn wait_for_slot(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        retry_after: Duration,
    ) {
        self.retry_after = self.retry_after.max(Some(retry_after));
        if !self.add_waiting(now, shard, None, retry_after) {
            self.failed.saturated += 1;
            self.mark_failed(shard);
        }
    }

    /// Schedules another attempt to hedge `slow_call` after `retry_after`, unless the deadline
    /// passes first.
    pub(super) fn wait_for_hedge(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        slow_call: CallId,
        retry_after: Duration,
    ) {
        self.add_waiting(now, shard, Some(slow_call), retry_after);
    }

    /// Requests slots for the waiting shards whose next attempt is due.
    pub(super) fn poll_waiting_shards<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if self.next_poll.is_none_or(|it| now < it) {
            return;
        }
        for idx in (0..self.waiting.len()).rev() {
            if self.waiting[idx].poll_at <= now {
                let waiting = self.waiting.swap_remove(idx);
                self.poll_slot(now, router, waiting, actions);
            }
        }
        self.next_poll = self.waiting.iter().map(|it| it.poll_at).min();
    }

    /// Requests a slot for one waiting shard with a replica at `upstream`, after a slot there was
    /// freed.
    pub(super) fn use_freed_slot<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        upstream: UpstreamId,
        actions: &mut Vec<FanOutAction>,
    ) {
        let map = &self.plan.map;
        let has_replica = |it: &WaitingShard| map.replicas(it.shard).contains(&upstream);
        if let Some(idx) = self.waiting.iter().position(has_replica) {
            let waiting = self.waiting.swap_remove(idx);
            self.poll_slot(now, router, waiting, actions);
        }
    }

    fn poll_slot<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        waiting: WaitingShard,
        actions: &mut Vec<FanOutAction>,
    ) {
        match waiting.slow_call {
            None if self.may_call_waiting(waiting.shard) => {
                self.call_shard(now, router, waiting.shard, actions);
            }
            None => {}
            Some(slow_call) => self.hedge(now, router, slow_call, actions),
        }
    }

    /// Queues a shard and returns `true`; returns `false` if the deadline passes first.
    fn add_waiting(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        slow_call: Option<CallId>,
        retry_after: Duration,
    ) -> bool {
        let poll_at = now + retry_after.max(self.min_poll_interval(now));
        if self.plan.deadline <= poll_at {
            return false;
        }
        self.waiting.push(WaitingShard { shard, slow_call, poll_at });
        self.next_poll = Some(self.next_poll.map_or(poll_at, |it| it.min(poll_at)));
        true
    }

    /// Returns the minimum time between two polls for one shard.
    ///
    /// It grows with the age of the query, so that the number of polls grows only logarithmically.
    fn min_poll_interval(&self, now: TimePoint) -> Duration {
        let interval = now.since(self.started_at) / MAX_POLLS_PER_AGE_DOUBLING;
        interval.max(Duration::from_millis(MIN_SLOT_POLL_INTERVAL_MS))
    }
}
