//! Interface to the platform's key-value service and VM list.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{StoreError, VmList};

/// Version of a stored value, higher after each write of the key. Zero stands for no value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ValueVersion(pub u64);

/// Identifies a lease granted by the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The value, at most 1 MB.
    pub value: String,
    /// Version of the value.
    pub version: ValueVersion,
}

/// The platform's key-value service and VM list.
///
/// The error of every method is [`StoreError`]; only `StoreError::Unknown` leaves it uncertain
/// whether the call took effect. Implementations limit the duration of each call.
pub trait KvStore: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send;

    /// Lists the keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, StoreError>> + Send;

    /// Writes a key if its version is `expected`, and returns the new version.
    ///
    /// With a lease, the write also fails if that lease has expired.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: ValueVersion,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<ValueVersion, StoreError>> + Send;

    /// Deletes a key if its version is `expected`.
    fn delete(
        &self,
        key: &str,
        expected: ValueVersion,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits until a key has a version above `after`, and returns its value; `None` after `limit`.
    fn watch(
        &self,
        key: &str,
        after: ValueVersion,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send;

    /// Requests a lease that expires `ttl` after its last renewal.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the list of live and leaving VMs, which lags behind their actual state.
    fn list_vms(&self) -> impl Future<Output = Result<VmList, StoreError>> + Send;
}
