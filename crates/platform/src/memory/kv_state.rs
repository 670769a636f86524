//! Values, versions and leases without any transport.

use std::{collections::BTreeMap, time::Duration};

use mux_model::{FastMap, TimePoint};

use crate::{LeaseId, StoredValue, ValueVersion};

/// Largest value that is accepted.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Why a write was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The key is at this version.
    Version(ValueVersion),
    /// The lease does not exist or has lapsed.
    Lease,
    /// The value is too large.
    TooLarge,
}

/// Values and leases of a key-value service; the caller owns the clock.
///
/// Versions come from one counter, so that a key that is deleted and written again never shows
/// an old version.
#[derive(Debug, Default)]
pub struct KvState {
    values: BTreeMap<String, StoredValue>,
    leases: FastMap<LeaseId, LeaseState>,
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

    /// Lists the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let range = self.values.range(prefix.to_owned()..);
        range.map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
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
    ) -> Result<ValueVersion, WriteRefusal> {
        if VALUE_LIMIT_BYTES < value.len() {
            return Err(WriteRefusal::TooLarge);
        }
        if lease.is_some_and(|it| !self.holds(now, it)) {
            return Err(WriteRefusal::Lease);
        }
        self.expect_version(key, expected)?;
        let version = self.next_version();
        self.values.insert(key.to_owned(), StoredValue { value, version });
        Ok(version)
    }

    /// Deletes a key if its version is `expected`, and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Returns why nothing was deleted.
    pub fn delete(
        &mut self,
        key: &str,
        expected: ValueVersion,
    ) -> Result<ValueVersion, WriteRefusal> {
        self.expect_version(key, expected)?;
        self.values.remove(key);
        Ok(self.next_version())
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

    fn holds(&self, now: TimePoint, lease: LeaseId) -> bool {
        self.leases.get(&lease).is_some_and(|it| now < it.lapses_at)
    }

    fn expect_version(&self, key: &str, expected: ValueVersion) -> Result<(), WriteRefusal> {
        let current = self.get(key).map_or_else(ValueVersion::default, |it| it.version);
        if current == expected { Ok(()) } else { Err(WriteRefusal::Version(current)) }
    }

    fn next_version(&mut self) -> ValueVersion {
        self.last_version += 1;
        ValueVersion(self.last_version)
    }
}
