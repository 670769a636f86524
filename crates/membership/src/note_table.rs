//! Notes on upstreams that start or stop draining.

use std::time::Duration;

use mux_model::{FastMap, TimePoint, UpstreamId};
use serde::{Deserialize, Serialize};

const NOTES_MAX: usize = 1_024;

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
pub(crate) struct NoteTable {
    notes: FastMap<UpstreamId, (UpstreamDrainState, TimePoint)>,
}

impl NoteTable {
    /// Returns the note on `upstream`.
    pub(crate) fn get(&self, upstream: UpstreamId) -> Option<&UpstreamDrainState> {
        self.notes.get(&upstream).map(|(note, _)| note)
    }

    /// Returns all notes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamDrainState> {
        self.notes.values().map(|(note, _)| note)
    }

    /// Stores `note` if it outranks the known one; returns whether it says anything new.
    pub(crate) fn apply(&mut self, now: TimePoint, note: UpstreamDrainState) -> bool {
        let known = self.get(note.upstream).copied();
        if known.is_some_and(|it| note.rank() <= it.rank()) {
            return false;
        }
        self.notes.insert(note.upstream, (note, now));
        self.drop_oldest();
        known.is_none_or(|it| it.draining != note.draining)
    }

    /// Drops notes older than `retention`.
    pub(crate) fn expire(&mut self, now: TimePoint, retention: Duration) {
        self.notes.retain(|_, (_, heard_at)| now.since(*heard_at) < retention);
    }

    fn drop_oldest(&mut self) {
        if self.notes.len() <= NOTES_MAX {
            return;
        }
        let oldest = self.notes.iter().min_by_key(|(_, (_, heard_at))| *heard_at);
        let Some(upstream) = oldest.map(|(upstream, _)| *upstream) else {
            return;
        };
        self.notes.remove(&upstream);
    }
}
