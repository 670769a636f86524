//! Notes on upstreams that start or stop draining.

use std::time::Duration;

use mux_model::{FastMap, TimePoint, UpstreamId};
use serde::{Deserialize, Serialize};

const DRAIN_STATES_MAX: usize = 1_024;

/// Says whether an upstream drains; a higher version replaces a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDrainState {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it drains.
    pub draining: bool,
    /// Version of the note.
    pub version: u64,
}

impl UpstreamDrainState {
    /// Returns the order in which notes on one upstream replace one another.
    fn rank(&self) -> (u64, bool) {
        (self.version, self.draining)
    }
}

/// The latest note on each upstream, bounded in number and age.
#[derive(Debug, Default)]
pub(crate) struct DrainStateTable {
    drain_states: FastMap<UpstreamId, (UpstreamDrainState, TimePoint)>,
}

impl DrainStateTable {
    /// Returns the note on `upstream`.
    pub(crate) fn get(&self, upstream: UpstreamId) -> Option<&UpstreamDrainState> {
        self.drain_states.get(&upstream).map(|(drain_state, _)| drain_state)
    }

    /// Returns all notes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamDrainState> {
        self.drain_states.values().map(|(drain_state, _)| drain_state)
    }

    /// Stores `drain_state` if it outranks the known one; returns whether it says anything new.
    pub(crate) fn apply(&mut self, now: TimePoint, drain_state: UpstreamDrainState) -> bool {
        let known = self.get(drain_state.upstream).copied();
        if known.is_some_and(|it| drain_state.rank() <= it.rank()) {
            return false;
        }
        self.drain_states.insert(drain_state.upstream, (drain_state, now));
        self.drop_oldest();
        known.is_none_or(|it| it.draining != drain_state.draining)
    }

    /// Drops notes older than `retention`.
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
