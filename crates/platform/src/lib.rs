//! Client side of the platform: the key-value service and the list of VMs.

mod errors;
mod http_store;
mod kv_store;
pub mod memory;
mod vm_list;

pub use errors::StoreError;
pub use http_store::{HttpStore, StoreSettings};
pub use kv_store::{KvStore, LeaseId, StoredValue, ValueVersion};
pub use vm_list::{VmEntry, VmList, VmState};
