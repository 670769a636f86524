//! Injected faults.

use serde::{Deserialize, Serialize};

/// Faults that the key-value test double injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct FaultPlan {
    /// Rejects every call with 503 without processing it, including watches already waiting.
    pub(crate) down: bool,
    /// Closes the connection instead of replying 503 while `down`.
    pub(crate) close_when_down: bool,
    /// Delay before every call is processed, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Number of further successful calls other than `GET` (transactions and lease calls) that are
    /// processed, but whose connection is then closed without a reply.
    pub(crate) lose_replies: u32,
    /// Like `lose_replies`, for transactions only.
    pub(crate) lose_txn_replies: u32,
    /// Accepts watches, but never replies to them.
    pub(crate) silent_watches: bool,
}
