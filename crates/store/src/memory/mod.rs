//! In-memory store for tests and single-process setups.

mod kv_state;
mod memory_store;

pub use kv_state::{HistoryCompacted, KvEvent, KvState, KvWrite, VALUE_LIMIT_BYTES, WriteError};
pub use memory_store::MemoryStore;
