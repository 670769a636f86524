//! Audit trail of committed and refused changes.

use mux_model::{ChangeId, RevisionNumber, ServiceName};
use mux_store::{KvStore, StoreError, ValueVersion};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    ChangeError, ChangeRecord, ConfigHead, LoadError, ServiceChange,
    storage_keys::{AUDIT_PREFIX, REFUSED_PREFIX, audit_key, change_key, refused_key},
};

/// Record of a change that was refused because of a conflict or a reused change id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedAttempt {
    /// Id of the change.
    pub change: ChangeId,
    /// Operator who requested it.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the service.
    pub service: ServiceName,
    /// Revision of the service that the change expected.
    pub expected: RevisionNumber,
    /// Error message of the refusal.
    pub reason: String,
}

/// Reads at most `limit` committed changes with revisions above `after`, oldest first.
///
/// # Errors
///
/// Returns an error if the store fails or a record cannot be read.
pub async fn read_audit(
    store: &impl KvStore,
    after: RevisionNumber,
    limit: usize,
) -> Result<Vec<ChangeRecord>, LoadError> {
    let (head, _) = ConfigHead::read(store).await?;
    let mut records = Vec::new();
    if after < head.recent_after() {
        records = read_archived(store, after, head.recent_after(), limit).await?;
    }
    records.extend(head.recent.into_iter().filter(|it| after < it.to));
    records.truncate(limit);
    Ok(records)
}

/// Reads the latest `limit` refused attempts, oldest first.
///
/// # Errors
///
/// Returns an error if the store fails or a record cannot be read.
pub async fn read_refused(
    store: &impl KvStore,
    limit: usize,
) -> Result<Vec<RefusedAttempt>, LoadError> {
    let keys = store.list(REFUSED_PREFIX).await?;
    let skipped = keys.len().saturating_sub(limit);
    read_values(store, &keys[skipped..]).await
}

/// Archives a record that the next head drops; the operation is idempotent.
pub(crate) async fn archive_record(
    store: &impl KvStore,
    record: &ChangeRecord,
) -> Result<(), StoreError> {
    let value = serde_json::to_string(record).unwrap_or_default();
    create_value(store, &change_key(&record.change), &value).await?;
    create_value(store, &audit_key(record.to), &value).await
}

/// Reads the archived record of `change`.
pub(crate) async fn read_archived_change(
    store: &impl KvStore,
    change: &ChangeId,
) -> Result<Option<ChangeRecord>, LoadError> {
    read_value(store, &change_key(change)).await
}

/// Stores the record of a refused attempt.
pub(crate) async fn record_refusal(
    store: &impl KvStore,
    change: &ServiceChange,
    error: &ChangeError,
) -> Result<(), StoreError> {
    let attempt = RefusedAttempt {
        change: change.id.clone(),
        operator: change.operator.clone(),
        at_ms: change.at_ms,
        service: change.service.clone(),
        expected: change.expected,
        reason: error.to_string(),
    };
    let value = serde_json::to_string(&attempt).unwrap_or_default();
    create_value(store, &refused_key(change.at_ms, &change.id), &value).await
}

/// Reads and parses a JSON value; returns `None` if the key does not exist.
pub(crate) async fn read_value<T: DeserializeOwned>(
    store: &impl KvStore,
    key: &str,
) -> Result<Option<T>, LoadError> {
    let Some(stored) = store.get(key).await? else {
        return Ok(None);
    };
    match serde_json::from_str(&stored.value) {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(LoadError::Malformed { key: key.to_owned() }),
    }
}

async fn read_archived(
    store: &impl KvStore,
    after: RevisionNumber,
    until: RevisionNumber,
    limit: usize,
) -> Result<Vec<ChangeRecord>, LoadError> {
    let range = audit_key(after)..=audit_key(until);
    let mut keys = store.list(AUDIT_PREFIX).await?;
    keys.retain(|key| range.contains(key) && range.start() != key);
    keys.truncate(limit);
    read_values(store, &keys).await
}

async fn read_values<T: DeserializeOwned>(
    store: &impl KvStore,
    keys: &[String],
) -> Result<Vec<T>, LoadError> {
    let mut values = Vec::with_capacity(keys.len());
    for key in keys {
        values.extend(read_value(store, key).await?);
    }
    Ok(values)
}

async fn create_value(store: &impl KvStore, key: &str, value: &str) -> Result<(), StoreError> {
    match store.compare_and_swap(key, value, ValueVersion::default(), None).await {
        Ok(_) | Err(StoreError::VersionMismatch { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
