//! Containment of requests that may crash upstreams.

use std::mem;

use mux_model::{CallFailure, CallId, ShardIndex, TimePoint};
use mux_routing::ReplicaRouter;

use crate::{CrashReaction, FanOutAction, call_table::ShardPhase, fan_out::FanOut};

impl FanOut {
    /// Returns whether the end of the upstream's process during `call` counts as evidence against the
    /// request; to be asked before the failure is handled.
    pub fn is_evidence(&self, call: CallId) -> bool {
        self.table.open_call(call).is_some_and(|it| self.containment.is_evidence(it.sent_at))
    }

    /// Returns whether the end of the upstream's process during `call` is a strong sign that the request
    /// crashes upstreams; to be asked before the failure is handled.
    pub fn is_strong_sign(&self, call: CallId) -> bool {
        let call = self.table.open_call(call);
        call.is_some_and(|it| self.containment.is_strong_sign(it.reservation.shard, it.sent_at))
    }

    /// Marks the shards without a usable replica as failed, so that a request that may crash upstreams
    /// reaches none if it cannot be answered in any case.
    pub(super) fn fail_unreachable_shards<R: ReplicaRouter>(&mut self, now: TimePoint, router: &R) {
        let map = &self.plan.map;
        let is_unreachable = |it: &ShardIndex| !router.has_replica(now, *it, map.replicas(*it));
        let unreachable: Vec<ShardIndex> = map.shards().filter(is_unreachable).collect();
        for shard in unreachable {
            self.mark_failed(shard);
        }
    }

    /// Starts the fan-out of a request that may crash upstreams: the other shards are held until the
    /// first one that has a replica has answered.
    pub(super) fn start_contained<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        self.held_shards = self.plan.map.shards().collect();
        self.canary_wait = self.plan.latency_target.since(now) / 2;
        self.call_next_canary(now, router, actions);
    }

    /// Handles that `shard` needs another call after `failure`: it is called now, held, or fails.
    pub(super) fn replace_call<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        failure: CallFailure,
        reaction: CrashReaction,
        actions: &mut Vec<FanOutAction>,
    ) {
        let has_open_call = 0 < self.table.shard(shard).open_calls;
        match reaction {
            CrashReaction::Hold => self.held_shards.push(shard),
            _ if has_open_call => {}
            CrashReaction::Retry => self.retry_or_fail(now, router, shard, failure, actions),
            CrashReaction::Stop => self.mark_failed(shard),
        }
    }

    /// Holds a shard that waited for a slot, or lets it fail, if there was a crash meanwhile; returns
    /// whether it may be called now.
    pub(super) fn may_call_waiting(&mut self, shard: ShardIndex) -> bool {
        let reaction = self.containment.on_further_call(shard);
        match reaction {
            CrashReaction::Hold => self.held_shards.push(shard),
            CrashReaction::Stop => self.mark_failed(shard),
            CrashReaction::Retry => {}
        }
        reaction == CrashReaction::Retry
    }

    /// Records the reply of a shard: a canary that answers clears the others.
    pub(super) fn record_survival(&mut self, shard: ShardIndex) {
        let is_canary = self.containment.canary() == Some(shard);
        // All calls of a suspect request are canaries until the first reply.
        if is_canary || self.containment.is_contained() {
            self.containment.end_canary();
        }
    }

    /// Calls the shards that were held once a canary was answered. If the canary cannot be answered or
    /// was waited for long enough, one further shard is called. After the attempt was stopped, held
    /// shards fail.
    pub(super) fn release_held_shards<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        if self.containment.is_stopped() || self.containment.is_cleared() {
            for shard in mem::take(&mut self.held_shards) {
                self.call_held(now, router, shard, actions);
            }
            return;
        }
        let is_overdue = self.canary_limit <= now;
        if is_overdue || !self.containment.canary().is_some_and(|it| self.is_pending(it)) {
            self.containment.drop_canary();
            self.call_next_canary(now, router, actions);
        }
    }

    /// Calls the first of the held shards that can be called.
    ///
    /// A suspect request waits for each canary twice as long as for the one before, so that calls that
    /// crash their upstreams late reach few of them, and a canary without a reply does not keep a
    /// harmless request from being answered.
    fn call_next_canary<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        actions: &mut Vec<FanOutAction>,
    ) {
        self.canary_limit = TimePoint::MAX;
        while !self.held_shards.is_empty() {
            let shard = self.held_shards.remove(0);
            self.call_held(now, router, shard, actions);
            if self.is_pending(shard) {
                self.containment.begin_canary(shard);
                if self.containment.is_contained() {
                    self.canary_limit = now + self.canary_wait;
                    self.canary_wait = self.canary_wait.saturating_mul(2);
                }
                return;
            }
        }
    }

    fn call_held<R: ReplicaRouter>(
        &mut self,
        now: TimePoint,
        router: &R,
        shard: ShardIndex,
        actions: &mut Vec<FanOutAction>,
    ) {
        let state = self.table.shard(shard);
        if !self.is_pending(shard) || 0 < state.open_calls {
            return;
        }
        if self.containment.is_stopped() {
            self.mark_failed(shard);
        } else if state.was_called() {
            self.retry_or_fail(now, router, shard, CallFailure::UpstreamEnded, actions);
        } else {
            self.call_shard(now, router, shard, actions);
        }
    }

    fn is_pending(&self, shard: ShardIndex) -> bool {
        matches!(self.table.shard(shard).phase, ShardPhase::Pending)
    }
}
