//! Values, versions, leases and history without any transport.

use std::{collections::BTreeMap, time::Duration};

use mux_model::{FastMap, TimePoint};

use crate::{LeaseId, StoredValue, ValueVersion};

/// Largest value that is accepted.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Why a write was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// Compared keys are at these versions.
    VersionMismatch(Vec<(String, ValueVersion)>),
    /// The lease does not exist or has lapsed.
    LeaseExpired,
    /// The value is too large.
    ValueTooLarge,
}

/// Says that the history after a version is no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryGone;

/// A value to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvWrite {
    /// Its key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Lease with whose end the key is removed.
    pub lease: Option<LeaseId>,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvEvent {
    /// The key.
    pub key: String,
    /// Its new value; `None` if it was removed.
    pub value: Option<String>,
    /// Version of the change.
    pub version: ValueVersion,
}

/// Values and leases of a key-value service; the caller owns the clock.
///
/// Versions come from one counter, so that a key that is deleted and written again never shows
/// an old version.
#[derive(Debug, Default)]
pub struct KvState {
    values: BTreeMap<String, StoredValue>,
    owners: FastMap<String, LeaseId>,
    leases: FastMap<LeaseId, LeaseState>,
    history: Vec<KvEvent>,
    forgotten: u64,
    last_version: u64,
    last_lease: u64,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    lapses_at: TimePoint,
}

impl KvState {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key)
    }

    /// Returns the keys that start with `prefix`, with their values, in order.
    pub fn entries(&self, prefix: &str) -> impl Iterator<Item = (&String, &StoredValue)> {
        let range = self.values.range(prefix.to_owned()..);
        range.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Lists the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.entries(prefix).map(|(key, _)| key.clone()).collect()
    }

    /// Returns the version of the latest change of any key.
    pub fn version(&self) -> ValueVersion {
        ValueVersion(self.last_version)
    }

    /// Returns the changes after `version` of keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`HistoryGone`] if not all of them are kept.
    pub fn changes(
        &self,
        prefix: &str,
        version: ValueVersion,
    ) -> Result<Vec<KvEvent>, HistoryGone> {
        if version.0 < self.forgotten {
            return Err(HistoryGone);
        }
        let later = self.history.iter().filter(|it| version < it.version);
        Ok(later.filter(|it| it.key.starts_with(prefix)).cloned().collect())
    }

    /// Drops the history up to now.
    pub fn compact_history(&mut self) {
        self.history.clear();
        self.forgotten = self.last_version;
    }

    /// Writes and deletes all or nothing, if each key in `expected` is at its version.
    ///
    /// # Errors
    ///
    /// Returns why nothing was written.
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
        if leases.any(|it| !self.holds(now, it)) {
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

    /// Writes a key if its version is `expected` and `lease`, if any, is held at `now`.
    ///
    /// # Errors
    ///
    /// Returns why nothing was written.
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
    /// Returns why nothing was deleted.
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
        self.leases.insert(lease, LeaseState { ttl, lapses_at: now + ttl });
        lease
    }

    /// Renews a lease; returns whether it was still held.
    pub fn renew(&mut self, now: TimePoint, lease: LeaseId) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        if lease.lapses_at <= now {
            return false;
        }
        lease.lapses_at = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys; returns whether there was such a lease.
    pub fn end_lease(&mut self, lease: LeaseId) -> bool {
        let owned = self.owners.iter().filter(|(_, it)| **it == lease);
        let mut keys: Vec<_> = owned.map(|(key, _)| key.clone()).collect();
        keys.sort_unstable();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&lease).is_some()
    }

    /// Removes the keys of the leases that have lapsed; returns whether there were any.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        let lapsed = self.leases.iter().filter(|(_, it)| it.lapses_at <= now);
        let mut lapsed: Vec<_> = lapsed.map(|(lease, _)| *lease).collect();
        lapsed.sort_unstable_by_key(|it| it.0);
        for lease in &lapsed {
            self.end_lease(*lease);
        }
        !lapsed.is_empty()
    }

    fn write(&mut self, write: KvWrite) {
        let KvWrite { key, value, lease } = write;
        match lease {
            Some(lease) => _ = self.owners.insert(key.clone(), lease),
            None => _ = self.owners.remove(&key),
        }
        let version = self.next_version();
        self.history.push(KvEvent { key: key.clone(), value: Some(value.clone()), version });
        self.values.insert(key, StoredValue { value, version });
    }

    fn remove(&mut self, key: &str) {
        if self.values.remove(key).is_none() {
            return;
        }
        self.owners.remove(key);
        let version = self.next_version();
        self.history.push(KvEvent { key: key.to_owned(), value: None, version });
    }

    fn holds(&self, now: TimePoint, lease: LeaseId) -> bool {
        self.leases.get(&lease).is_some_and(|it| now < it.lapses_at)
    }

    fn version_of(&self, key: &str) -> ValueVersion {
        self.get(key).map_or_else(ValueVersion::default, |it| it.version)
    }

    fn next_version(&mut self) -> ValueVersion {
        self.last_version += 1;
        ValueVersion(self.last_version)
    }
}
