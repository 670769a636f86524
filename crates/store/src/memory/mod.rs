//! In-memory store for tests and single-process trials.

mod kv_state;
mod memory_store;

pub use kv_state::{HistoryGone, KvEvent, KvState, KvWrite, VALUE_LIMIT_BYTES, WriteError};
pub use memory_store::MemoryStore;
