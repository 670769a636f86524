//! Counters of the key-value test double.

use serde::Serialize;

/// Counters since the start: calls by kind, bytes of values, and the longest wait requested.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct CallCounters {
    /// Reads of one key other than the VM list.
    pub(crate) get: u64,
    /// Range reads.
    pub(crate) list: u64,
    /// Transactions other than those with deletions only.
    pub(crate) put: u64,
    /// Transactions with deletions only.
    pub(crate) delete: u64,
    /// Watches; a long poll counts as one call.
    pub(crate) watch: u64,
    /// Longest wait that a watch has requested, in milliseconds.
    pub(crate) longest_wait_ms: u64,
    /// Lease calls, and all other calls.
    pub(crate) lease: u64,
    /// Reads of the VM list.
    pub(crate) vms: u64,
    /// Bytes of values in well-formed transactions on writable keys, whether applied or not; those
    /// rejected while the store is down are not counted.
    pub(crate) bytes_written: u64,
    /// Bytes of values returned by reads of one key.
    pub(crate) bytes_read: u64,
}
