//! Configuration at one revision.

use std::sync::Arc;

use mux_model::{ChangeId, FastMap, RevisionNumber, ServiceName};
use sha2::{Digest, Sha256};

use crate::{ConfigUpdate, RemovedService, ServiceDefinition, UpdateEntry};

const REMOVED_LIMIT: usize = 64;

/// State of one service at a revision.
#[derive(Debug, Clone)]
pub struct ServiceEntry {
    /// Revision of the definition.
    pub revision: RevisionNumber,
    /// Change that stored the definition.
    pub change: ChangeId,
    /// Parsed definition.
    pub definition: Arc<ServiceDefinition>,
    definition_json: Arc<str>,
}

/// All services at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    revision: RevisionNumber,
    services: FastMap<ServiceName, ServiceEntry>,
    /// The stored definitions that cannot be decoded. A service whose earlier definition is known keeps it.
    unreadable: FastMap<ServiceName, UpdateEntry>,
    removed: Vec<RemovedService>,
    /// Revision after which `removed` contains every removal.
    removals_after: RevisionNumber,
    fingerprint: u64,
}

impl ConfigState {
    /// Returns the revision; zero before the first configuration.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceEntry)> {
        self.services.iter()
    }

    /// Returns the number of services.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the services whose stored definitions cannot be decoded, in no particular order.
    pub fn unreadable_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.unreadable.keys()
    }

    /// Returns a fingerprint of the names and revisions of all services.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the update from revision `since` to this revision.
    ///
    /// Returns the full configuration if removals after `since` are no longer recorded.
    pub fn update_since(&self, since: RevisionNumber) -> ConfigUpdate {
        if since < self.removals_after || since == RevisionNumber(0) {
            return self.full_update();
        }
        let removed = self.removed.iter().filter(|it| since < it.revision);
        ConfigUpdate {
            since: Some(since),
            revision: self.revision,
            entries: self.entries_after(since),
            removed: removed.cloned().collect(),
            removals_after: since,
            fingerprint: self.fingerprint,
        }
    }

    /// Returns the full configuration as an update.
    pub fn full_update(&self) -> ConfigUpdate {
        ConfigUpdate {
            since: None,
            revision: self.revision,
            entries: self.entries_after(RevisionNumber(0)),
            removed: self.removed.clone(),
            removals_after: self.removals_after,
            fingerprint: self.fingerprint,
        }
    }

    /// Returns the state after `update`, or `None` if the update cannot be applied to this state.
    pub(crate) fn with_update(&self, update: &ConfigUpdate) -> Option<Self> {
        let mut state = match update.since {
            Some(since) if self.revision < since => return None,
            Some(_) => self.clone(),
            None => Self::default(),
        };
        let is_full = update.since.is_none();
        if update.since.unwrap_or_default() < update.removals_after {
            state.removals_after = update.removals_after.max(state.removals_after);
        }
        state.remove(&update.removed);
        for entry in &update.entries {
            match ServiceEntry::from_update(entry) {
                Some(service) => {
                    state.unreadable.remove(&entry.name);
                    state.services.insert(entry.name.clone(), service);
                }
                None => {
                    if let Some(known) = self.services.get(&entry.name).filter(|_| is_full) {
                        state.services.entry(entry.name.clone()).or_insert_with(|| known.clone());
                    }
                    state.unreadable.insert(entry.name.clone(), entry.clone());
                }
            }
        }
        state.revision = update.revision;
        state.trim_removed();
        state.fingerprint = state.compute_fingerprint();
        (state.fingerprint == update.fingerprint).then_some(state)
    }

    fn compute_fingerprint(&self) -> u64 {
        let readable = self.services.iter().map(|(name, it)| (name, it.revision));
        let current = readable.filter(|(name, _)| !self.unreadable.contains_key(*name));
        let unreadable = self.unreadable.iter().map(|(name, it)| (name, it.revision));
        fingerprint_services(current.chain(unreadable))
    }

    fn remove(&mut self, removed: &[RemovedService]) {
        for removal in removed {
            let outdated = |it: &ServiceEntry| it.revision < removal.revision;
            if self.services.get(&removal.name).is_some_and(outdated) {
                self.services.remove(&removal.name);
            }
            if self.unreadable.get(&removal.name).is_some_and(|it| it.revision < removal.revision) {
                self.unreadable.remove(&removal.name);
            }
            if !self.removed.contains(removal) {
                self.removed.push(removal.clone());
            }
        }
    }

    fn trim_removed(&mut self) {
        self.removed.sort_by_key(|it| it.revision);
        let excess = self.removed.len().saturating_sub(REMOVED_LIMIT);
        if let Some(last) = self.removed.drain(..excess).next_back() {
            self.removals_after = self.removals_after.max(last.revision);
        }
    }

    fn entries_after(&self, since: RevisionNumber) -> Vec<UpdateEntry> {
        let changed = self.services.iter().filter(|(_, it)| since < it.revision);
        let unreadable = self.unreadable.values().filter(|it| since < it.revision);
        // The later definition of a service follows the one that is in use.
        changed.map(|(name, entry)| entry.to_update(name)).chain(unreadable.cloned()).collect()
    }
}

impl ServiceEntry {
    fn from_update(entry: &UpdateEntry) -> Option<Self> {
        let definition = ServiceDefinition::from_json(&entry.definition).ok()?;
        if definition.name != entry.name {
            return None;
        }
        Some(Self {
            revision: entry.revision,
            change: entry.change.clone(),
            definition: Arc::new(definition),
            definition_json: Arc::from(entry.definition.as_str()),
        })
    }

    fn to_update(&self, name: &ServiceName) -> UpdateEntry {
        UpdateEntry {
            name: name.clone(),
            revision: self.revision,
            change: self.change.clone(),
            definition: self.definition_json.to_string(),
        }
    }
}

/// Returns a fingerprint of names and revisions that is independent of their order.
pub(crate) fn fingerprint_services<'a>(
    services: impl Iterator<Item = (&'a ServiceName, RevisionNumber)>,
) -> u64 {
    services.map(|(name, revision)| fingerprint_service(name, revision)).fold(0, u64::wrapping_add)
}

fn fingerprint_service(name: &ServiceName, revision: RevisionNumber) -> u64 {
    let digest = Sha256::new()
        .chain_update(name.as_str())
        .chain_update([0])
        .chain_update(revision.0.to_be_bytes())
        .finalize();
    let (first, _) = digest.split_at(size_of::<u64>());
    first.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
