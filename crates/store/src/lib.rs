//! Interface to the platform's key-value service and VM list, and an in-memory implementation.
//!
//! The client of the platform's protocol is in the `mux-adapter` crate.

mod errors;
mod kv_store;
pub mod memory;
mod vm_list;

pub use errors::StoreError;
pub use kv_store::{KvStore, LeaseId, StoredValue, ValueVersion};
pub use vm_list::{VmEntry, VmList, VmState};
