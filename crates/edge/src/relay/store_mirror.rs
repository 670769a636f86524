//! A node's copy of the store, from which other nodes read.

use std::{collections::BTreeMap, mem};

use mux_model::FastMap;
use serde::{Deserialize, Serialize};

use crate::{StoreChange, StoreEntry, StoreKey, StoreRevision};

/// Maximum number of removed keys that are remembered; readers that lag further behind receive all
/// entries.
const MAX_REMOVED_KEYS: usize = 2_000;

/// The part of a [`StoreMirror`] that a reader lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MirrorUpdate {
    /// Whether `changes` contains all entries, so that the reader drops those that it lacks.
    pub is_listing: bool,
    /// The latest change of each key.
    pub changes: Vec<StoreChange>,
    /// The position from which the reader continues.
    pub revision: StoreRevision,
}

/// The latest change of each key that a node has read, with the position at which it was read.
///
/// Positions are revisions of the store, so a reader can continue at another node: every node at a
/// position has applied all changes up to it.
///
/// A store that was restored from an older copy begins a new era. Nothing of the copy is kept across
/// eras, except the configuration if the restored store has an older one: operators write it again,
/// and until then a node that starts has to learn it from its peers.
#[derive(Debug, Clone, Default)]
pub struct StoreMirror {
    revision: Option<StoreRevision>,
    latest: FastMap<StoreKey, MirroredChange>,
    /// Removed keys by the position of their removal.
    removed: BTreeMap<StoreRevision, Vec<StoreKey>>,
    removed_count: usize,
    /// Highest position at which a removal has been forgotten.
    horizon: Option<StoreRevision>,
}

#[derive(Debug, Clone)]
struct MirroredChange {
    change: StoreChange,
    revision: StoreRevision,
}

impl StoreMirror {
    /// Returns the position of the copy; `None` before the first listing.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Applies changes that lead to `revision`; an older revision than the current one is ignored.
    pub fn on_changes(&mut self, changes: &[StoreChange], revision: StoreRevision) {
        if self.revision.is_none_or(|it| revision < it || revision.era != it.era) {
            return;
        }
        self.revision = Some(revision);
        for change in changes {
            self.record(change.clone(), revision);
        }
        self.forget_old_removals();
    }

    /// Applies a complete listing at `revision`; keys that are not listed count as removed.
    pub fn on_listing(&mut self, changes: &[StoreChange], revision: StoreRevision) {
        if self.revision.is_some_and(|it| revision < it) {
            return;
        }
        if self.revision.is_some_and(|it| it.era < revision.era) {
            return self.begin_era(changes, revision);
        }
        let listed: FastMap<StoreKey, &StoreChange> =
            changes.iter().map(|it| (change_key(it), it)).collect();
        let unlisted = self.latest.iter().filter(|(key, it)| {
            !matches!(it.change, StoreChange::Removed(_)) && !listed.contains_key(*key)
        });
        let removed: Vec<_> = unlisted.map(|(key, _)| StoreChange::Removed(key.clone())).collect();
        let changed = listed
            .iter()
            .filter(|(key, change)| self.latest.get(*key).is_none_or(|it| it.change != ***change));
        let changed: Vec<_> = changed.map(|(_, it)| StoreChange::clone(it)).collect();
        self.revision = Some(revision);
        for change in removed.into_iter().chain(changed) {
            self.record(change, revision);
        }
        self.forget_old_removals();
    }

    /// Returns what a reader at `after` lacks; `None` if the copy is empty or not newer.
    pub fn changes_after(&self, after: Option<StoreRevision>) -> Option<MirrorUpdate> {
        let revision = self.revision?;
        if after.is_some_and(|it| revision <= it) {
            return None;
        }
        // Positions of another era say nothing about which entries the reader lacks.
        let after = after.filter(|it| it.era == revision.era);
        let after = after.filter(|it| self.horizon.is_none_or(|horizon| horizon <= *it));
        let changes = match after {
            Some(after) => {
                self.latest.values().filter(|it| after < it.revision).map(|it| &it.change).collect()
            }
            None => {
                let changes = self.latest.values().map(|it| &it.change);
                changes.filter(|it| !matches!(it, StoreChange::Removed(_))).collect::<Vec<_>>()
            }
        };
        let changes = changes.into_iter().cloned().collect();
        Some(MirrorUpdate { is_listing: after.is_none(), changes, revision })
    }

    fn begin_era(&mut self, changes: &[StoreChange], revision: StoreRevision) {
        let previous = mem::take(self);
        self.revision = Some(revision);
        for change in changes {
            self.record(change.clone(), revision);
        }
        let config_version = |mirror: &Self| {
            let latest = mirror.latest.get(&StoreKey::Config).map(|it| &it.change);
            latest.and_then(|it| match it {
                StoreChange::Written(StoreEntry::Config(config)) => Some(config.version),
                _ => None,
            })
        };
        if config_version(self) < config_version(&previous)
            && let Some(kept) = previous.latest.get(&StoreKey::Config)
        {
            self.record(kept.change.clone(), revision);
        }
    }

    fn record(&mut self, change: StoreChange, revision: StoreRevision) {
        let key = change_key(&change);
        let is_malformed = matches!(change, StoreChange::Malformed { .. });
        if is_malformed && key == StoreKey::Config && self.latest.contains_key(&key) {
            // The configuration in force stays the one that nodes which start learn.
            return;
        }
        if matches!(change, StoreChange::Removed(_)) {
            self.removed.entry(revision).or_default().push(key.clone());
            self.removed_count += 1;
        }
        self.latest.insert(key, MirroredChange { change, revision });
    }

    fn forget_old_removals(&mut self) {
        while MAX_REMOVED_KEYS < self.removed_count {
            let Some((revision, keys)) = self.removed.pop_first() else {
                return;
            };
            self.removed_count -= keys.len();
            self.horizon = Some(revision);
            for key in keys {
                let is_forgotten = self.latest.get(&key).is_some_and(|it| {
                    it.revision == revision && matches!(it.change, StoreChange::Removed(_))
                });
                if is_forgotten {
                    self.latest.remove(&key);
                }
            }
        }
    }
}

fn change_key(change: &StoreChange) -> StoreKey {
    match change {
        StoreChange::Written(StoreEntry::Config(_)) => StoreKey::Config,
        StoreChange::Written(StoreEntry::Upstream(record)) => {
            StoreKey::Upstream(record.instance.clone())
        }
        StoreChange::Written(StoreEntry::Node(record)) => StoreKey::Node(record.node.clone()),
        StoreChange::Written(StoreEntry::SpentBudget { node, .. }) => {
            StoreKey::SpentBudget(node.clone())
        }
        StoreChange::Written(StoreEntry::Evidence(evidence)) => {
            StoreKey::Evidence(evidence.key.clone())
        }
        StoreChange::Written(StoreEntry::Evacuation { zone, .. }) => {
            StoreKey::Evacuation(zone.clone())
        }
        StoreChange::Removed(key) | StoreChange::Malformed { key, .. } => key.clone(),
    }
}
