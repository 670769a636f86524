//! Deletes stored values that are no longer needed.

use mux_model::{ChangeId, FastSet};
use mux_store::{KvStore, LeaseId, StoreError, ValueVersion};

use crate::{
    ChangeRecord, ConfigHead, LoadError,
    audit_trail::read_value,
    storage_keys::{
        AUDIT_PREFIX, DEFINITION_PREFIX, HEAD_KEY, REFUSED_PREFIX, change_key, definition_key,
    },
};

/// How much a [`ConfigJanitor`] keeps and deletes.
#[derive(Debug, Clone)]
pub struct RetentionLimits {
    /// Committed changes kept beside those in the head.
    pub audit_records: usize,
    /// Refused attempts kept.
    pub refused_attempts: usize,
    /// Values of each kind deleted in one pass.
    pub deletions_per_pass: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self { audit_records: 20_000, refused_attempts: 2_000, deletions_per_pass: 50 }
    }
}

/// What one pass deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JanitorReport {
    /// Definitions that the head did not name.
    pub definitions: usize,
    /// Records of committed changes beyond the limit.
    pub audit_records: usize,
    /// Records of refused attempts beyond the limit.
    pub refused_attempts: usize,
}

/// Deletes unused definitions and old records, at one node at a time.
///
/// A writer stores a definition before it swaps the head. The janitor notes the versions of
/// unused definitions, rewrites the head unchanged, and then deletes them at those versions.
/// A writer whose definition was noted read the head before that rewrite, so its swap fails
/// and its next attempt stores the definition afresh.
#[derive(Debug, Clone)]
pub struct ConfigJanitor<S> {
    store: S,
    limits: RetentionLimits,
}

/// A value to be deleted at a version.
#[derive(Debug)]
struct UnusedValue {
    key: String,
    version: ValueVersion,
}

impl<S: KvStore> ConfigJanitor<S> {
    /// Creates a janitor.
    pub fn new(store: S, limits: RetentionLimits) -> Self {
        Self { store, limits }
    }

    /// Runs one pass under `lease`.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease has lapsed, the head was changed meanwhile, or the store
    /// fails; what was not deleted is left to a later pass.
    pub async fn run(&self, lease: LeaseId) -> Result<JanitorReport, LoadError> {
        Ok(JanitorReport {
            definitions: self.delete_definitions(lease).await?,
            audit_records: self.trim_audit().await?,
            refused_attempts: self.trim_refused().await?,
        })
    }

    async fn delete_definitions(&self, lease: LeaseId) -> Result<usize, LoadError> {
        let (head, version) = ConfigHead::read(&self.store).await?;
        let unused = self.unused_definitions(&head).await?;
        if unused.is_empty() {
            return Ok(0);
        }
        let text = head.to_json();
        self.store.compare_and_swap(HEAD_KEY, &text, version, Some(lease)).await?;
        let mut deleted = 0;
        for value in &unused {
            deleted += self.delete(value).await?;
        }
        Ok(deleted)
    }

    async fn unused_definitions(&self, head: &ConfigHead) -> Result<Vec<UnusedValue>, LoadError> {
        let named = |it: &crate::HeadEntry| definition_key(&it.name, &it.change);
        let named: FastSet<_> = head.services.iter().map(named).collect();
        let mut keys = self.store.list(DEFINITION_PREFIX).await?;
        keys.retain(|key| !named.contains(key));
        keys.truncate(self.limits.deletions_per_pass);
        self.note_versions(keys).await
    }

    async fn trim_audit(&self) -> Result<usize, LoadError> {
        let keys = self.surplus_keys(AUDIT_PREFIX, self.limits.audit_records).await?;
        for key in &keys {
            let record: Option<ChangeRecord> = read_value(&self.store, key).await?;
            if let Some(record) = record {
                self.forget_change(&record.change).await?;
            }
        }
        self.delete_all(keys).await
    }

    async fn trim_refused(&self) -> Result<usize, LoadError> {
        let keys = self.surplus_keys(REFUSED_PREFIX, self.limits.refused_attempts).await?;
        self.delete_all(keys).await
    }

    async fn forget_change(&self, change: &ChangeId) -> Result<usize, LoadError> {
        self.delete_all(vec![change_key(change)]).await
    }

    /// Lists the oldest keys beyond the newest `kept`, up to the limit of one pass.
    async fn surplus_keys(&self, prefix: &str, kept: usize) -> Result<Vec<String>, LoadError> {
        let mut keys = self.store.list(prefix).await?;
        let surplus = keys.len().saturating_sub(kept);
        keys.truncate(surplus.min(self.limits.deletions_per_pass));
        Ok(keys)
    }

    async fn delete_all(&self, keys: Vec<String>) -> Result<usize, LoadError> {
        let mut deleted = 0;
        for value in self.note_versions(keys).await? {
            deleted += self.delete(&value).await?;
        }
        Ok(deleted)
    }

    async fn note_versions(&self, keys: Vec<String>) -> Result<Vec<UnusedValue>, LoadError> {
        let mut values = Vec::with_capacity(keys.len());
        for key in keys {
            let stored = self.store.get(&key).await?;
            values.extend(stored.map(|it| UnusedValue { key, version: it.version }));
        }
        Ok(values)
    }

    /// Deletes a value; one that was written again meanwhile stays.
    async fn delete(&self, value: &UnusedValue) -> Result<usize, LoadError> {
        match self.store.delete(&value.key, value.version).await {
            Ok(()) => Ok(1),
            Err(StoreError::VersionMismatch { .. }) => Ok(0),
            Err(error) => Err(error.into()),
        }
    }
}
