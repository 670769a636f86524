//! The key-value service and the list of VMs, as the product uses them, and a store in memory.
//!
//! The client that speaks the platform's protocol is in the adapter.

mod errors;
mod kv_store;
pub mod memory;
mod vm_list;

pub use errors::StoreError;
pub use kv_store::{KvStore, LeaseId, StoredValue, ValueVersion};
pub use vm_list::{VmEntry, VmList, VmState};
