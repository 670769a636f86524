//! Workspaces: the customers' tenants, their keys and their quotas.
//!
//! The decisions own no lock, socket or clock: they take events and the current time.

mod demand_rate;
mod key_digest;
mod phase_sequence;
mod quota_limits;
mod quota_table;
mod workspace_directory;
mod workspace_quota;
mod workspace_rule;

pub use key_digest::KeyDigest;
pub use quota_limits::QuotaBounds;
pub use quota_table::{QuotaTable, QuotaVerdict};
pub use workspace_directory::WorkspaceDirectory;
pub use workspace_rule::WorkspaceRule;
