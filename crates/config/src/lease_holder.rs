//! Lock in the store, held under a lease.

use std::time::Duration;

use mux_model::{NodeId, TimePoint};
use mux_store::{KvStore, LeaseId, StoreError, ValueVersion};

const TTLS_BEFORE_TAKEOVER: u32 = 2;
const RENEWALS_PER_TTL: u32 = 3;

/// Holds one lock for one node, with a lease that fences the node's writes.
///
/// The holder rewrites the lock on every renewal. Another node takes over the lock once it has
/// observed it unchanged for twice the lease's TTL: the old lease has certainly expired by then,
/// and the store rejects a late write under it.
#[derive(Debug)]
pub struct LeaseHolder<S> {
    store: S,
    key: String,
    node: NodeId,
    ttl: Duration,
    held: Option<HeldLease>,
    observed: Option<ObservedLock>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    lease: LeaseId,
    lock_version: ValueVersion,
    renewed_at: TimePoint,
}

/// Lock held by another node, and the time since which it has been observed unchanged.
#[derive(Debug, Clone, Copy)]
struct ObservedLock {
    version: ValueVersion,
    since: TimePoint,
}

impl<S: KvStore> LeaseHolder<S> {
    /// Creates a holder of the lock `key`, without acquiring it.
    pub fn new(store: S, key: &str, node: NodeId, ttl: Duration) -> Self {
        Self { store, key: key.to_owned(), node, ttl, held: None, observed: None }
    }

    /// Returns the lease if it is valid at `now`; writes that the lock protects must carry it.
    pub fn lease(&self, now: TimePoint) -> Option<LeaseId> {
        let held = self.held.filter(|it| now.since(it.renewed_at) < self.ttl)?;
        Some(held.lease)
    }

    /// Records that the process was paused; the lease is treated as expired.
    pub fn on_pause(&mut self) {
        self.held = None;
    }

    /// Renews the lease when it is due, or tries to acquire the lock; returns whether the lock is
    /// held. `now` must be read before the call.
    ///
    /// # Errors
    ///
    /// Returns an error if the store fails, or if a renewal finds the lease expired or the lock
    /// rewritten; the lock is then treated as not held.
    pub async fn renew_or_acquire(&mut self, now: TimePoint) -> Result<bool, StoreError> {
        let Some(held) = self.held.filter(|it| now.since(it.renewed_at) < self.ttl) else {
            self.held = None;
            return self.acquire(now).await;
        };
        if now.since(held.renewed_at) < self.ttl / RENEWALS_PER_TTL {
            return Ok(true);
        }
        self.held = None;
        self.store.renew_lease(held.lease).await?;
        let lock_version = self.write_lock(held.lease, held.lock_version).await?;
        self.held = Some(HeldLease { lease: held.lease, lock_version, renewed_at: now });
        Ok(true)
    }

    async fn acquire(&mut self, now: TimePoint) -> Result<bool, StoreError> {
        let stored = self.store.get(&self.key).await?;
        let version = stored.map_or_else(ValueVersion::default, |it| it.version);
        if !self.may_acquire(version, now) {
            return Ok(false);
        }
        let lease = self.store.grant_lease(self.ttl).await?;
        match self.write_lock(lease, version).await {
            Ok(lock_version) => {
                self.held = Some(HeldLease { lease, lock_version, renewed_at: now });
                Ok(true)
            }
            Err(StoreError::VersionMismatch { .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns whether the lock at `version` is free, or was observed unchanged for long enough.
    fn may_acquire(&mut self, version: ValueVersion, now: TimePoint) -> bool {
        if version == ValueVersion::default() {
            return true;
        }
        match self.observed {
            Some(lock) if lock.version == version => {
                self.ttl * TTLS_BEFORE_TAKEOVER <= now.since(lock.since)
            }
            _ => {
                self.observed = Some(ObservedLock { version, since: now });
                false
            }
        }
    }

    async fn write_lock(
        &self,
        lease: LeaseId,
        expected: ValueVersion,
    ) -> Result<ValueVersion, StoreError> {
        self.store.compare_and_swap(&self.key, self.node.as_str(), expected, Some(lease)).await
    }
}
