//! Faults that the stand-in shows.

use serde::{Deserialize, Serialize};

/// Faults of the platform stand-in.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct FaultPlan {
    /// Refuses every call with 503 before doing anything; waiting watches end the same way.
    pub(crate) down: bool,
    /// Closes the connection instead of replying 503 while `down`.
    pub(crate) close_when_down: bool,
    /// Delays every call by this many milliseconds before doing anything.
    pub(crate) delay_ms: u64,
    /// Number of writes that are applied and whose connection is then closed without a reply.
    pub(crate) lose_replies: u32,
    /// Accepts watches and never replies to them.
    pub(crate) silent_watches: bool,
}
