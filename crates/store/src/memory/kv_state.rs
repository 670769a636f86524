//! State of a key-value service: values, versions, leases and history of changes.

use std::{collections::BTreeMap, time::Duration};

use mux_model::{FastMap, TimePoint};

use crate::{LeaseId, StoredValue, ValueVersion};

/// Maximum size of a value, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Reason why a write was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// A key is not at its expected version; holds the current versions of all compared keys.
    VersionMismatch(Vec<(String, ValueVersion)>),
    /// The lease does not exist or has expired.
    LeaseExpired,
    /// The value is larger than [`VALUE_LIMIT_BYTES`].
    ValueTooLarge,
}

/// The history after the requested version has been compacted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryCompacted;

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Lease to which the key is bound; the key is removed when the lease ends.
    pub lease: Option<LeaseId>,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvEvent {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<String>,
    /// Version of the change.
    pub version: ValueVersion,
}

/// Values and leases of a key-value service; the caller supplies the time.
///
/// All keys share one version counter, so that a key that is deleted and written again never
/// repeats an earlier version.
#[derive(Debug, Clone, Default)]
pub struct KvState {
    values: BTreeMap<String, StoredValue>,
    lease_by_key: FastMap<String, LeaseId>,
    leases: FastMap<LeaseId, LeaseState>,
    history: Vec<KvEvent>,
    compacted_version: u64,
    last_version: u64,
    last_lease: u64,
}

#[derive(Debug, Clone)]
struct LeaseState {
    ttl: Duration,
    expires_at: TimePoint,
}

impl KvState {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key)
    }

    /// Returns the keys that start with `prefix` and their values, in key order.
    pub fn entries(&self, prefix: &str) -> impl Iterator<Item = (&String, &StoredValue)> {
        let range = self.values.range(prefix.to_owned()..);
        range.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Lists the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.entries(prefix).map(|(key, _)| key.clone()).collect()
    }

    /// Returns the version of the latest change to any key.
    pub fn version(&self) -> ValueVersion {
        ValueVersion(self.last_version)
    }

    /// Returns the changes after `version` to keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`HistoryCompacted`] if some of them have been compacted.
    pub fn changes(
        &self,
        prefix: &str,
        version: ValueVersion,
    ) -> Result<Vec<KvEvent>, HistoryCompacted> {
        if version.0 < self.compacted_version {
            return Err(HistoryCompacted);
        }
        let later = self.history.iter().filter(|it| version < it.version);
        Ok(later.filter(|it| it.key.starts_with(prefix)).cloned().collect())
    }

    /// Discards the history of all changes up to the current version.
    pub fn compact_history(&mut self) {
        self.history.clear();
        self.compacted_version = self.last_version;
    }

    /// Applies all writes and deletions atomically if each key in `expected` is at its version.
    ///
    /// # Errors
    ///
    /// Returns the reason why nothing was written.
    pub fn apply(
        &mut self,
        now: TimePoint,
        expected: &[(String, ValueVersion)],
        writes: Vec<KvWrite>,
        deletes: &[String],
    ) -> Result<ValueVersion, WriteError> {
        if writes.iter().any(|it| VALUE_LIMIT_BYTES < it.value.len()) {
            return Err(WriteError::ValueTooLarge);
        }
        let mut leases = writes.iter().filter_map(|it| it.lease);
        if leases.any(|it| !self.is_lease_held(now, it)) {
            return Err(WriteError::LeaseExpired);
        }
        let current = |(key, _): &(String, ValueVersion)| (key.clone(), self.version_of(key));
        if expected.iter().any(|(key, version)| self.version_of(key) != *version) {
            return Err(WriteError::VersionMismatch(expected.iter().map(current).collect()));
        }
        for write in writes {
            self.write(write);
        }
        for key in deletes {
            self.remove(key);
        }
        Ok(self.version())
    }

    /// Writes a key if its version is `expected` and `lease`, if any, has not expired at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason why nothing was written.
    pub fn put(
        &mut self,
        now: TimePoint,
        key: &str,
        value: String,
        expected: ValueVersion,
        lease: Option<LeaseId>,
    ) -> Result<ValueVersion, WriteError> {
        let write = KvWrite { key: key.to_owned(), value, lease };
        self.apply(now, &[(key.to_owned(), expected)], vec![write], &[])
    }

    /// Deletes a key if its version is `expected`, and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Returns the reason why nothing was deleted.
    pub fn delete(
        &mut self,
        now: TimePoint,
        key: &str,
        expected: ValueVersion,
    ) -> Result<ValueVersion, WriteError> {
        let key = key.to_owned();
        self.apply(now, &[(key.clone(), expected)], Vec::new(), &[key])
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: TimePoint, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        self.leases.insert(lease, LeaseState { ttl, expires_at: now + ttl });
        lease
    }

    /// Renews a lease; returns whether it had not expired yet.
    pub fn renew(&mut self, now: TimePoint, lease: LeaseId) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        if lease.expires_at <= now {
            return false;
        }
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Ends a lease and removes the keys bound to it; returns whether the lease existed.
    pub fn end_lease(&mut self, lease: LeaseId) -> bool {
        let owned = self.lease_by_key.iter().filter(|(_, it)| **it == lease);
        let mut keys: Vec<_> = owned.map(|(key, _)| key.clone()).collect();
        keys.sort_unstable();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&lease).is_some()
    }

    /// Ends expired leases and removes the keys bound to them; returns whether any lease
    /// had expired.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        let expired = self.leases.iter().filter(|(_, it)| it.expires_at <= now);
        let mut expired: Vec<_> = expired.map(|(lease, _)| *lease).collect();
        expired.sort_unstable_by_key(|it| it.0);
        for lease in &expired {
            self.end_lease(*lease);
        }
        !expired.is_empty()
    }

    fn write(&mut self, write: KvWrite) {
        let KvWrite { key, value, lease } = write;
        match lease {
            Some(lease) => _ = self.lease_by_key.insert(key.clone(), lease),
            None => _ = self.lease_by_key.remove(&key),
        }
        let version = self.next_version();
        self.history.push(KvEvent { key: key.clone(), value: Some(value.clone()), version });
        self.values.insert(key, StoredValue { value, version });
    }

    fn remove(&mut self, key: &str) {
        if self.values.remove(key).is_none() {
            return;
        }
        self.lease_by_key.remove(key);
        let version = self.next_version();
        self.history.push(KvEvent { key: key.to_owned(), value: None, version });
    }

    fn is_lease_held(&self, now: TimePoint, lease: LeaseId) -> bool {
        self.leases.get(&lease).is_some_and(|it| now < it.expires_at)
    }

    fn version_of(&self, key: &str) -> ValueVersion {
        self.get(key).map_or_else(ValueVersion::default, |it| it.version)
    }

    fn next_version(&mut self) -> ValueVersion {
        self.last_version += 1;
        ValueVersion(self.last_version)
    }
}
