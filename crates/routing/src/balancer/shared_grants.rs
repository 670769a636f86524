//! Grants of upstreams' bounds that nodes lend each other.

use mux_model::{TimePoint, UpstreamId};
use mux_sharing::BoundKey;

use super::{ServiceBalancer, balancer_state::BalancerState, tracked_upstream::TrackedUpstream};
use crate::CallKind;

impl ServiceBalancer {
    /// Returns the rate limit that an upstream stated to this node, in requests per second; `None` for
    /// other bounds, which all nodes read from the store.
    pub fn stated_rate(&self, key: &BoundKey) -> Option<f64> {
        let BoundKey::UpstreamRate(instance) = key else {
            return None;
        };
        self.with_instance(instance, |it| it.rate_limit.map(|limit| limit.rate()))?
    }

    /// Records the rate limit of an upstream that another node learnt from a reply; returns whether
    /// this node knew none.
    ///
    /// Answers an upstream whose calls are all made by one node: the others do not know its limit, and
    /// so have no grants that they could lend. A limit that has ended meanwhile ends with the next reply.
    pub fn learn_rate_limit(&self, now: TimePoint, key: &BoundKey, rate: f64) -> bool {
        let BoundKey::UpstreamRate(instance) = key else {
            return false;
        };
        let is_valid = rate.is_finite() && 0.0 <= rate;
        let learnt = self.with_instance(instance, |it| {
            is_valid && it.rate_limit.is_none() && it.on_rate_limit(now, now, Some(rate)).is_some()
        });
        learnt.unwrap_or_default()
    }

    /// Gives up to `wanted` grants of an upstream's bound, which this node does not need, to another
    /// node; returns how many.
    pub fn lend_grants(&self, now: TimePoint, key: &BoundKey, wanted: u32) -> u32 {
        let lent = match key {
            BoundKey::UpstreamRate(instance) => self.with_instance(instance, |it| {
                let share = it.rate_share;
                it.rate_limit.as_mut().map_or(0, |limit| limit.lend(now, share, wanted))
            }),
            BoundKey::WarmUp(instance) => {
                self.with_instance(instance, |it| it.warm_up.lend(now, it.rate_share, wanted))
            }
            BoundKey::Workspace(_) => None,
        };
        lent.unwrap_or_default()
    }

    /// Adds grants of an upstream's bound that other nodes have given up.
    pub fn add_borrowed(&self, now: TimePoint, key: &BoundKey, count: u32) {
        match key {
            BoundKey::UpstreamRate(instance) => {
                _ = self.with_instance(instance, |it| {
                    if let Some(limit) = &mut it.rate_limit {
                        limit.add_borrowed(now, count);
                    }
                })
            }
            BoundKey::WarmUp(instance) => {
                self.with_instance(instance, |it| it.warm_up.add_borrowed(now, count));
            }
            BoundKey::Workspace(_) => {}
        }
    }

    /// Returns whether an upstream has a bound that holds over all nodes.
    pub fn has_shared_bounds(&self, now: TimePoint) -> bool {
        let has_bound = |it: &TrackedUpstream| it.is_rate_limited() || it.warm_up.is_bounded(now);
        self.lock().upstreams.iter().any(|it| it.is_active && has_bound(it))
    }

    /// Returns the number of calls that found no grant since the last time, by bound.
    pub fn take_missing_grants(&self) -> Vec<(BoundKey, u32)> {
        let mut missing = Vec::new();
        for upstream in self.lock().upstreams.iter_mut().filter(|it| it.is_active) {
            let instance = &upstream.instance;
            let of_rate = upstream.rate_limit.as_mut().map_or(0, |it| it.take_missing());
            missing.push((BoundKey::UpstreamRate(instance.clone()), of_rate));
            let of_warm_up = upstream.warm_up.take_missing();
            missing.push((BoundKey::WarmUp(instance.clone()), of_warm_up));
        }
        missing.retain(|(_, count)| 0 < *count);
        missing
    }
}

impl BalancerState {
    /// Records the upstreams that a call passes over because of their bounds. Hedges do not
    /// count: they use only what first calls leave.
    pub(super) fn record_missing_grants(
        &mut self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
    ) {
        if kind == CallKind::Hedge {
            return;
        }
        let drain_limit = self.drain_limit;
        for upstream in self.upstreams.iter_mut().filter(|it| it.is_active) {
            if upstream.time_to_grant(now, kind).is_none() || excluded.contains(&upstream.id) {
                continue;
            }
            let is_usable =
                !upstream.has_left(now, drain_limit) && upstream.quiet_time_left(now).is_none();
            if is_usable {
                upstream.record_missing_grants(now, kind);
            }
        }
    }
}
