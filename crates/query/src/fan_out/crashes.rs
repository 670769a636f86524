//! Containment of requests that may crash upstreams.

use std::mem;

use mux_model::{CallFailure, ShardIndex, TimePoint};
use mux_routing::ReplicaRouter;

use crate::{FanOutAction, call_table::ShardPhase, fan_out::FanOut};

impl FanOut {
    /// Starts the fan-out of a request that may crash upstreams: the other shards are held until the
    /// first one that has a replica has answered.
    pub(super) fn start_contained<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        self.canary_limit = now + self.plan.latency_target.since(now) / 2;
        for shard in self.plan.map.shards() {
            if self.containment.canary().is_some() {
                self.held_shards.push(shard);
                continue;
            }
            self.call_shard(now, router, shard, actions);
            if self.is_pending(shard) {
                self.containment.begin_canary(shard);
            }
        }
    }

    /// Calls the shards that were held, unless the canary of the containment may still be answered.
    /// After a crash of a contained request they fail.
    pub(super) fn release_held_shards<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if self.canary_limit <= now {
            self.containment.end_canary();
        }
        if self.containment.canary().is_some_and(|it| self.is_pending(it)) {
            return;
        }
        self.containment.end_canary();
        for shard in mem::take(&mut self.held_shards) {
            let state = self.table.shard(shard);
            if state.was_called() {
                if self.is_pending(shard) && state.open_calls == 0 {
                    self.retry_or_fail(now, router, shard, CallFailure::UpstreamEnded, actions);
                }
            } else if self.containment.is_stopped() {
                self.mark_failed(shard);
            } else {
                self.call_shard(now, router, shard, actions);
            }
        }
    }

    fn is_pending(&self, shard: ShardIndex) -> bool {
        matches!(self.table.shard(shard).phase, ShardPhase::Pending)
    }
}
