//! Updates of the configuration, as read from the store and exchanged between nodes.

use mux_model::{ChangeId, RevisionNumber, ServiceName};
use serde::{Deserialize, Serialize};

/// Changes between two revisions, or the full configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Lowest revision to which the update can be applied; `None` for a full configuration.
    pub since: Option<RevisionNumber>,
    /// Revision after the update is applied.
    pub revision: RevisionNumber,
    /// Service definitions: all of them, or those changed after `since`.
    pub entries: Vec<UpdateEntry>,
    /// Services removed after `removals_after`.
    pub removed: Vec<RemovedService>,
    /// Revision after which `removed` contains every removal.
    pub removals_after: RevisionNumber,
    /// Fingerprint of the names and revisions of all services at `revision`.
    pub fingerprint: u64,
}

/// One service in an update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Revision of its definition.
    pub revision: RevisionNumber,
    /// Change that stored the definition.
    pub change: ChangeId,
    /// The definition as JSON.
    pub definition: String,
}

/// One removal in an update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Revision that removed it, or a higher one if that may no longer be recorded.
    pub revision: RevisionNumber,
}
