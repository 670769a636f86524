//! Counts of the calls that the stand-in received.

use serde::Serialize;

/// Calls received since the start, by kind.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct CallCounters {
    /// Reads of one key.
    pub(crate) get: u64,
    /// Lists of keys.
    pub(crate) list: u64,
    /// Compare-and-swap writes.
    pub(crate) put: u64,
    /// Deletions.
    pub(crate) delete: u64,
    /// Watches; one each, however long they wait.
    pub(crate) watch: u64,
    /// Longest time that a watch was asked to wait, in milliseconds.
    pub(crate) longest_wait_ms: u64,
    /// Lease grants and renewals.
    pub(crate) lease: u64,
    /// Reads of the VM list.
    pub(crate) vms: u64,
    /// Bytes of values written.
    pub(crate) bytes_written: u64,
    /// Bytes of values read.
    pub(crate) bytes_read: u64,
}
