//! Transfer of configuration between nodes.

use mux_model::{ChangeId, RevisionNumber, ServiceName};
use serde::{Deserialize, Serialize};

/// What changed between two revisions, or a whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Lowest revision to which the update applies; `None` if it is a whole configuration.
    pub since: Option<RevisionNumber>,
    /// Revision that it leads to.
    pub revision: RevisionNumber,
    /// Services with their definitions: all of them, or those changed after `since`.
    pub entries: Vec<UpdateEntry>,
    /// Services removed after `removals_after`.
    pub removed: Vec<RemovedService>,
    /// Revision after which `removed` lists every removal.
    pub removals_after: RevisionNumber,
    /// Fingerprint of the names and revisions of all services at `revision`.
    pub fingerprint: u64,
}

/// One service in an update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateEntry {
    /// The service.
    pub name: ServiceName,
    /// Revision of its definition.
    pub revision: RevisionNumber,
    /// Change that made the definition.
    pub change: ChangeId,
    /// The definition as JSON.
    pub definition: String,
}

/// One removal in an update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedService {
    /// The service.
    pub name: ServiceName,
    /// Revision with which it was removed.
    pub revision: RevisionNumber,
}
