//! Records of committed changes.

use mux_model::{ChangeId, RevisionNumber, ServiceName};
use serde::{Deserialize, Serialize};

use crate::FieldDiff;

const MAX_FIELDS: usize = 12;
const MAX_FIELD_VALUE_CHARS: usize = 64;

/// Effect of a change on its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The service did not exist before.
    Create,
    /// The definition was replaced.
    Update,
    /// The service was removed.
    Remove,
}

/// Record of one committed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Id of the change.
    pub change: ChangeId,
    /// Operator who requested it.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Effect on the service.
    pub kind: ChangeKind,
    /// Name of the service.
    pub service: ServiceName,
    /// Revision of the service before the change; zero if it did not exist.
    pub from: RevisionNumber,
    /// Revision of the configuration after the change, and of the service unless it was removed.
    pub to: RevisionNumber,
    /// Digest of the new definition's JSON form, in hexadecimal; of the empty text for a removal.
    pub digest: String,
    /// Fields that an update changed, with long values truncated.
    pub fields: Vec<FieldDiff>,
    /// Number of changed fields that `fields` omits.
    pub omitted_fields: usize,
}

impl ChangeRecord {
    /// Returns the record with the changed fields, limited in number and length.
    pub(crate) fn with_fields(self, diffs: Vec<FieldDiff>) -> Self {
        let omitted_fields = diffs.len().saturating_sub(MAX_FIELDS);
        let kept = diffs.into_iter().take(MAX_FIELDS);
        let fields = kept.map(|it| it.truncated(MAX_FIELD_VALUE_CHARS)).collect();
        Self { fields, omitted_fields, ..self }
    }
}
