//! Keys of the configuration in the key-value store.

use mux_model::{ChangeId, RevisionNumber, ServiceName};

/// Key of the head; a compare-and-swap on it commits a change.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the immutable service definitions.
pub const DEFINITION_PREFIX: &str = "config/services/";
/// Prefix of the archived change records, which the head no longer contains, by revision.
pub const AUDIT_PREFIX: &str = "config/audit/";
/// Prefix of the archived change records by change id.
pub const CHANGE_PREFIX: &str = "config/changes/";
/// Prefix of the refused attempts, by time.
pub const REFUSED_PREFIX: &str = "config/audit-refused/";
/// Key of the lock that the janitor holds.
pub const JANITOR_KEY: &str = "config/janitor";

/// Returns the key of the definition of `service` that `change` stores.
pub fn definition_key(service: &ServiceName, change: &ChangeId) -> String {
    format!("{DEFINITION_PREFIX}{service}/{change}")
}

/// Returns the key of the archived record of the change that committed `revision`.
pub fn audit_key(revision: RevisionNumber) -> String {
    format!("{AUDIT_PREFIX}{:020}", revision.0)
}

/// Returns the key of the archived record of `change`.
pub fn change_key(change: &ChangeId) -> String {
    format!("{CHANGE_PREFIX}{change}")
}

/// Returns the key of the record of a refused attempt.
pub fn refused_key(at_ms: u64, change: &ChangeId) -> String {
    format!("{REFUSED_PREFIX}{at_ms:020}-{change}")
}
