//! Change to one service, as requested by an operator.

use mux_model::{ChangeId, RevisionNumber, ServiceName};
use sha2::{Digest, Sha256};

use crate::{
    ChangeKind, ChangeRecord, DefinitionError, ServiceDefinition, definition_check::ValueChecker,
};

const MAX_CHANGE_ID_BYTES: usize = 64;
const MAX_OPERATOR_BYTES: usize = 128;
const DIGEST_BYTES: usize = 16;

/// Operation that a change requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeAction {
    /// Creates the service, or replaces its definition.
    Put(Box<ServiceDefinition>),
    /// Removes the service.
    Remove,
}

/// Requested change to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceChange {
    /// Id of the change; a repeated request carries the same id.
    pub id: ChangeId,
    /// Operator who requests it.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the service.
    pub service: ServiceName,
    /// Current revision that the change expects of the service; zero to create the service.
    pub expected: RevisionNumber,
    /// Requested operation on the service.
    pub action: ChangeAction,
}

impl ServiceChange {
    /// Returns the kind of the change.
    pub fn kind(&self) -> ChangeKind {
        match self.action {
            ChangeAction::Remove => ChangeKind::Remove,
            ChangeAction::Put(_) if self.expected == RevisionNumber(0) => ChangeKind::Create,
            ChangeAction::Put(_) => ChangeKind::Update,
        }
    }

    /// Validates the change and its definition.
    ///
    /// # Errors
    ///
    /// Returns an error that lists the invalid values of the change or, if it has none, those of
    /// its definition.
    pub fn check(&self) -> Result<(), DefinitionError> {
        let mut checker = ValueChecker::default();
        self.check_id(&mut checker);
        checker.name("service", self.service.as_str());
        let operator_valid = !self.operator.is_empty() && self.operator.len() <= MAX_OPERATOR_BYTES;
        checker.expect(operator_valid, "operator", &self.operator, "1 to 128 bytes");
        let removes_nothing =
            self.action == ChangeAction::Remove && self.expected == RevisionNumber(0);
        checker.expect(!removes_nothing, "expected_revision", 0, "the service's revision");
        let Some(definition) = self.definition() else {
            return checker.finish();
        };
        let same_name = definition.name == self.service;
        checker.expect(same_name, "name", &definition.name, "the name of the changed service");
        checker.finish()?;
        definition.check()
    }

    /// Returns the new definition of the service, or `None` if the change removes it.
    pub fn definition(&self) -> Option<&ServiceDefinition> {
        match &self.action {
            ChangeAction::Put(definition) => Some(definition),
            ChangeAction::Remove => None,
        }
    }

    /// Returns the record of this change, committed with revision `to`.
    pub(crate) fn record(&self, to: RevisionNumber) -> ChangeRecord {
        ChangeRecord {
            change: self.id.clone(),
            operator: self.operator.clone(),
            at_ms: self.at_ms,
            kind: self.kind(),
            service: self.service.clone(),
            from: self.expected,
            to,
            digest: self.digest(),
            fields: Vec::new(),
            omitted_fields: 0,
        }
    }

    /// Returns whether `record` describes a change with the same content.
    pub(crate) fn matches(&self, record: &ChangeRecord) -> bool {
        record.service == self.service
            && record.kind == self.kind()
            && record.from == self.expected
            && record.digest == self.digest()
    }

    fn check_id(&self, checker: &mut ValueChecker) {
        let id = self.id.as_str();
        let allowed = |it: u8| it.is_ascii_alphanumeric() || b"._-".contains(&it);
        let valid = !id.is_empty() && id.len() <= MAX_CHANGE_ID_BYTES && id.bytes().all(allowed);
        checker.expect(valid, "change_id", format!("{id:?}"), "1 to 64 of a-z, A-Z, 0-9, . _ -");
    }

    fn digest(&self) -> String {
        let text = self.definition().map(ServiceDefinition::to_json).unwrap_or_default();
        let digest = Sha256::digest(text);
        digest.iter().take(DIGEST_BYTES).map(|it| format!("{it:02x}")).collect()
    }
}
