//! Drain states of upstreams, as disseminated by gossip.

use std::time::Duration;

use mux_model::{FastMap, TimePoint, UpstreamId};
use serde::{Deserialize, Serialize};

const DRAIN_STATES_MAX: usize = 1_024;

/// Drain state of an upstream; a higher version replaces a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDrainState {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Unix time of the change in milliseconds, or the replaced version + 1 if that is higher.
    pub version: u64,
}

impl UpstreamDrainState {
    /// Returns the precedence among the drain states of one upstream; the highest one wins.
    fn rank(&self) -> (u64, bool) {
        (self.version, self.draining)
    }
}

/// Latest drain state of each upstream, limited in number and age.
#[derive(Debug, Default)]
pub(crate) struct DrainStateTable {
    drain_states: FastMap<UpstreamId, (UpstreamDrainState, TimePoint)>,
}

impl DrainStateTable {
    /// Returns the drain state of `upstream`.
    pub(crate) fn get(&self, upstream: UpstreamId) -> Option<&UpstreamDrainState> {
        self.drain_states.get(&upstream).map(|(drain_state, _)| drain_state)
    }

    /// Returns all drain states.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamDrainState> {
        self.drain_states.values().map(|(drain_state, _)| drain_state)
    }

    /// Stores `drain_state` if it takes precedence over the known one; returns whether the upstream
    /// was unknown, or started or stopped draining.
    pub(crate) fn apply(&mut self, now: TimePoint, drain_state: UpstreamDrainState) -> bool {
        let known = self.get(drain_state.upstream).copied();
        if known.is_some_and(|it| drain_state.rank() <= it.rank()) {
            return false;
        }
        self.drain_states.insert(drain_state.upstream, (drain_state, now));
        self.drop_oldest();
        known.is_none_or(|it| it.draining != drain_state.draining)
    }

    /// Removes the drain states received at least `retention` ago.
    pub(crate) fn expire(&mut self, now: TimePoint, retention: Duration) {
        self.drain_states.retain(|_, (_, received_at)| now.since(*received_at) < retention);
    }

    fn drop_oldest(&mut self) {
        if self.drain_states.len() <= DRAIN_STATES_MAX {
            return;
        }
        let oldest = self.drain_states.iter().min_by_key(|(_, (_, received_at))| *received_at);
        let Some(upstream) = oldest.map(|(upstream, _)| *upstream) else {
            return;
        };
        self.drain_states.remove(&upstream);
    }
}
