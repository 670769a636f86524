//! Reads the configuration from the store.

use std::time::Duration;

use futures::future::try_join_all;
use mux_model::{FastSet, RevisionNumber};
use mux_store::{KvStore, StoreError, ValueVersion};

use crate::{
    ChangeKind, ConfigHead, ConfigState, ConfigUpdate, HeadEntry, LoadError, RemovedService,
    UpdateEntry,
    config_state::fingerprint_services,
    storage_keys::{HEAD_KEY, definition_key},
};

const LOAD_ATTEMPTS: u32 = 5;
const CONCURRENT_READS: usize = 16;

/// Result of reading the configuration from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedConfig {
    /// Version of the head, from which a watch can continue.
    pub version: ValueVersion,
    /// Revision of the head.
    pub revision: RevisionNumber,
    /// Update to that revision; `None` if the node has already applied it.
    pub update: Option<ConfigUpdate>,
}

/// Reads the head and the definitions that changed since a node's revision.
#[derive(Debug, Clone)]
pub struct ConfigLoader<S> {
    store: S,
}

impl<S: KvStore> ConfigLoader<S> {
    /// Creates a loader.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Reads the update from `known` to the stored configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the store fails, a stored value cannot be parsed, or definitions are
    /// replaced and deleted during every attempt.
    pub async fn load(&self, known: &ConfigState) -> Result<LoadedConfig, LoadError> {
        for _ in 0..LOAD_ATTEMPTS {
            let (head, version) = ConfigHead::read(&self.store).await?;
            if let Some(loaded) = self.read_changed(&head, version, known).await? {
                return Ok(loaded);
            }
        }
        Err(LoadError::ConcurrentChanges)
    }

    /// Waits at most `limit` for a head above version `after` and reads the update to it.
    ///
    /// Returns `None` if the time limit passes.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`load`](Self::load).
    pub async fn watch(
        &self,
        known: &ConfigState,
        after: ValueVersion,
        limit: Duration,
    ) -> Result<Option<LoadedConfig>, LoadError> {
        let Some(stored) = self.store.watch(HEAD_KEY, after, limit).await? else {
            return Ok(None);
        };
        let head = ConfigHead::parse(&stored.value)?;
        match self.read_changed(&head, stored.version, known).await? {
            Some(loaded) => Ok(Some(loaded)),
            None => self.load(known).await.map(Some),
        }
    }

    /// Reads the definitions changed since `known`; `None` if one of them was deleted.
    async fn read_changed(
        &self,
        head: &ConfigHead,
        version: ValueVersion,
        known: &ConfigState,
    ) -> Result<Option<LoadedConfig>, LoadError> {
        let revision = head.revision;
        if revision <= known.revision() {
            return Ok(Some(LoadedConfig { version, revision, update: None }));
        }
        let Some(entries) = self.read_entries(head, known).await? else {
            return Ok(None);
        };
        let update = Some(build_update(head, known, entries));
        Ok(Some(LoadedConfig { version, revision, update }))
    }

    async fn read_entries(
        &self,
        head: &ConfigHead,
        known: &ConfigState,
    ) -> Result<Option<Vec<UpdateEntry>>, LoadError> {
        let changed = head.services.iter().filter(|it| known.revision() < it.revision);
        let changed: Vec<_> = changed.collect();
        let mut entries = Vec::with_capacity(changed.len());
        for chunk in changed.chunks(CONCURRENT_READS) {
            let reads: Vec<_> = chunk.iter().map(|it| self.read_entry(it)).collect();
            entries.extend(try_join_all(reads).await?);
        }
        Ok(entries.into_iter().collect())
    }

    async fn read_entry(&self, entry: &HeadEntry) -> Result<Option<UpdateEntry>, LoadError> {
        let key = definition_key(&entry.name, &entry.change);
        let definition = match self.store.get(&key).await {
            Ok(Some(stored)) => stored.value,
            Ok(None) => return Ok(None),
            // The update contains it as it is, and the other services are applied.
            Err(StoreError::Unreadable(_)) => String::new(),
            Err(error) => return Err(error.into()),
        };
        Ok(Some(UpdateEntry {
            name: entry.name.clone(),
            revision: entry.revision,
            change: entry.change.clone(),
            definition,
        }))
    }
}

fn build_update(head: &ConfigHead, known: &ConfigState, entries: Vec<UpdateEntry>) -> ConfigUpdate {
    let since = known.revision();
    let services = head.services.iter().map(|it| (&it.name, it.revision));
    let mut removed = recent_removals(head, since);
    removed.extend(unlisted_services(head, known));
    ConfigUpdate {
        since: (since != RevisionNumber(0)).then_some(since),
        revision: head.revision,
        entries,
        removed,
        removals_after: since.max(head.recent_after()),
        fingerprint: fingerprint_services(services),
    }
}

fn recent_removals(head: &ConfigHead, since: RevisionNumber) -> Vec<RemovedService> {
    let removals = head.recent.iter().filter(|it| it.kind == ChangeKind::Remove && since < it.to);
    removals.map(|it| RemovedService { name: it.service.clone(), revision: it.to }).collect()
}

/// Lists the services of `known` that the head no longer lists, as removed at the head's revision:
/// the revision of their removal may no longer be recorded, and it is not higher.
fn unlisted_services(head: &ConfigHead, known: &ConfigState) -> Vec<RemovedService> {
    let listed: FastSet<_> = head.services.iter().map(|it| &it.name).collect();
    let unlisted = known.services().filter(|(name, _)| !listed.contains(name));
    let revision = head.revision;
    unlisted.map(|(name, _)| RemovedService { name: name.clone(), revision }).collect()
}
