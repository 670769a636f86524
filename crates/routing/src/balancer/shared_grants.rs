//! Grants of upstreams' bounds that nodes lend each other.

use mux_model::{TimePoint, UpstreamId};
use mux_sharing::BoundKey;

use super::{ServiceBalancer, balancer_state::BalancerState};
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
        let BoundKey::UpstreamRate(instance) = key else {
            return 0;
        };
        let lent = self.with_instance(instance, |it| {
            let share = it.rate_share;
            it.rate_limit.as_mut().map_or(0, |limit| limit.lend(now, share, wanted))
        });
        lent.unwrap_or_default()
    }

    /// Adds grants of an upstream's bound that other nodes have given up.
    pub fn add_borrowed(&self, now: TimePoint, key: &BoundKey, count: u32) {
        let BoundKey::UpstreamRate(instance) = key else {
            return;
        };
        self.with_instance(instance, |it| {
            if let Some(limit) = &mut it.rate_limit {
                limit.add_borrowed(now, count);
            }
        });
    }

    /// Returns whether an upstream has a bound that holds over all nodes.
    pub fn has_shared_bounds(&self) -> bool {
        self.lock().upstreams.iter().any(|it| it.is_active && it.is_rate_limited())
    }

    /// Returns the number of calls that found no grant since the last time, by bound.
    pub fn take_missing_grants(&self) -> Vec<(BoundKey, u32)> {
        let mut missing = Vec::new();
        for upstream in self.lock().upstreams.iter_mut().filter(|it| it.is_active) {
            let count = upstream.rate_limit.as_mut().map_or(0, |it| it.take_missing());
            if 0 < count {
                missing.push((BoundKey::UpstreamRate(upstream.instance.clone()), count));
            }
        }
        missing
    }
}

impl BalancerState {
    /// Records the upstreams that a call passes over because of their rate limits. Hedges do not
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
            if is_usable && let Some(limit) = &mut upstream.rate_limit {
                limit.on_missing();
            }
        }
    }
}
