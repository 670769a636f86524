//! Client side of the platform: the key-value service and the list of VMs.

mod errors;
mod kv_store;
mod vm_list;

pub use errors::StoreError;
pub use kv_store::{KvStore, LeaseId, StoredValue, ValueVersion};
pub use vm_list::{VmEntry, VmList, VmState};
