//! Deletes stored definitions and records that are no longer needed.

use mux_model::{ChangeId, FastSet};
use mux_store::{KvStore, LeaseId, StoreError, ValueVersion};

use crate::{
    ChangeRecord, ConfigHead, LoadError,
    audit_trail::read_value,
    storage_keys::{
        AUDIT_PREFIX, DEFINITION_PREFIX, HEAD_KEY, REFUSED_PREFIX, change_key, definition_key,
    },
};

/// Retention and deletion limits of a [`ConfigJanitor`].
#[derive(Debug, Clone)]
pub struct RetentionLimits {
    /// Number of archived change records to keep, in addition to those in the head.
    pub audit_records: usize,
    /// Number of refused attempts to keep.
    pub refused_attempts: usize,
    /// Maximum number of values of each kind to delete in one pass.
    pub deletions_per_pass: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self { audit_records: 20_000, refused_attempts: 2_000, deletions_per_pass: 50 }
    }
}

/// Numbers of definitions and records that one pass deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JanitorReport {
    /// Definitions that the head does not reference.
    pub definitions: usize,
    /// Archived change records beyond the limit.
    pub audit_records: usize,
    /// Refused attempts beyond the limit.
    pub refused_attempts: usize,
}

/// Deletes unused definitions and old records; runs on one node at a time.
///
/// A writer stores a definition before it swaps the head. The janitor reads the versions of
/// unused definitions, rewrites the head unchanged, and then deletes them at those versions.
/// A writer that stored one of them read the head before that rewrite, so its swap fails and its
/// next attempt writes the definition again.
#[derive(Debug, Clone)]
pub struct ConfigJanitor<S> {
    store: S,
    limits: RetentionLimits,
}

/// Key to delete if it is still at this version.
#[derive(Debug)]
struct VersionedKey {
    key: String,
    version: ValueVersion,
}

impl<S: KvStore> ConfigJanitor<S> {
    /// Creates a janitor.
    pub fn new(store: S, limits: RetentionLimits) -> Self {
        Self { store, limits }
    }

    /// Runs one pass; `lease` fences the rewrite of the head.
    ///
    /// # Errors
    ///
    /// Returns an error if definitions are to be deleted and the lease has expired or the head was
    /// changed concurrently, or if the store fails or a value cannot be read; the remaining values
    /// are left to a later pass.
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

    async fn unused_definitions(&self, head: &ConfigHead) -> Result<Vec<VersionedKey>, LoadError> {
        let referenced = |it: &crate::HeadEntry| definition_key(&it.name, &it.change);
        let referenced: FastSet<_> = head.services.iter().map(referenced).collect();
        let mut keys = self.store.list(DEFINITION_PREFIX).await?;
        keys.retain(|key| !referenced.contains(key));
        keys.truncate(self.limits.deletions_per_pass);
        self.read_versions(keys).await
    }

    async fn trim_audit(&self) -> Result<usize, LoadError> {
        let keys = self.excess_keys(AUDIT_PREFIX, self.limits.audit_records).await?;
        for key in &keys {
            let record: Option<ChangeRecord> = read_value(&self.store, key).await?;
            if let Some(record) = record {
                self.delete_change_record(&record.change).await?;
            }
        }
        self.delete_all(keys).await
    }

    async fn trim_refused(&self) -> Result<usize, LoadError> {
        let keys = self.excess_keys(REFUSED_PREFIX, self.limits.refused_attempts).await?;
        self.delete_all(keys).await
    }

    async fn delete_change_record(&self, change: &ChangeId) -> Result<usize, LoadError> {
        self.delete_all(vec![change_key(change)]).await
    }

    /// Lists the oldest of the keys that exceed `kept`, up to the limit of one pass.
    async fn excess_keys(&self, prefix: &str, kept: usize) -> Result<Vec<String>, LoadError> {
        let mut keys = self.store.list(prefix).await?;
        let excess = keys.len().saturating_sub(kept);
        keys.truncate(excess.min(self.limits.deletions_per_pass));
        Ok(keys)
    }

    async fn delete_all(&self, keys: Vec<String>) -> Result<usize, LoadError> {
        let mut deleted = 0;
        for value in self.read_versions(keys).await? {
            deleted += self.delete(&value).await?;
        }
        Ok(deleted)
    }

    async fn read_versions(&self, keys: Vec<String>) -> Result<Vec<VersionedKey>, LoadError> {
        let mut values = Vec::with_capacity(keys.len());
        for key in keys {
            let stored = self.store.get(&key).await?;
            values.extend(stored.map(|it| VersionedKey { key, version: it.version }));
        }
        Ok(values)
    }

    /// Deletes a value unless it has been rewritten; returns the number of deleted values.
    async fn delete(&self, value: &VersionedKey) -> Result<usize, LoadError> {
        match self.store.delete(&value.key, value.version).await {
            Ok(()) => Ok(1),
            Err(StoreError::VersionMismatch { .. }) => Ok(0),
            Err(error) => Err(error.into()),
        }
    }
}
