//! Stored head record, which names the current definition of each service.

use mux_model::{ChangeId, RevisionNumber, ServiceName};
use mux_store::{KvStore, ValueVersion};
use serde::{Deserialize, Serialize};

use crate::{ChangeKind, ChangeRecord, LoadError, storage_keys::HEAD_KEY};

/// Maximum number of recent changes kept in the head.
pub const RECENT_LIMIT: usize = 32;

/// Reference to the current definition of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Configuration revision with which the definition was committed.
    pub revision: RevisionNumber,
    /// Change that stored the definition.
    pub change: ChangeId,
}

/// Head of the configuration; replacing it by compare-and-swap commits a change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Revision of the configuration.
    pub revision: RevisionNumber,
    /// Services, ordered by name.
    pub services: Vec<HeadEntry>,
    /// Most recent changes, oldest first.
    pub recent: Vec<ChangeRecord>,
}

impl ConfigHead {
    /// Reads the head; if none is stored, returns an empty head with version zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the store fails or the stored value cannot be parsed.
    pub async fn read(store: &impl KvStore) -> Result<(Self, ValueVersion), LoadError> {
        match store.get(HEAD_KEY).await? {
            Some(stored) => Ok((Self::parse(&stored.value)?, stored.version)),
            None => Ok((Self::default(), ValueVersion::default())),
        }
    }

    /// Parses the head from its stored JSON form.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is not a valid head.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        serde_json::from_str(text).map_err(|_| LoadError::Malformed { key: HEAD_KEY.to_owned() })
    }

    /// Returns the stored JSON form.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the entry of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&HeadEntry> {
        let idx = self.services.binary_search_by(|it| it.name.cmp(name)).ok()?;
        self.services.get(idx)
    }

    /// Returns the revision of a service, or zero if it does not exist.
    pub fn service_revision(&self, name: &ServiceName) -> RevisionNumber {
        self.service(name).map_or_else(RevisionNumber::default, |it| it.revision)
    }

    /// Returns the record of `change` if `recent` still holds it.
    pub fn record(&self, change: &ChangeId) -> Option<&ChangeRecord> {
        self.recent.iter().find(|it| it.change == *change)
    }

    /// Returns the latest change of `service` in `recent`.
    pub fn latest_change(&self, service: &ServiceName) -> Option<&ChangeRecord> {
        self.recent.iter().rev().find(|it| it.service == *service)
    }

    /// Returns the revision after which `recent` contains every change.
    pub fn recent_after(&self) -> RevisionNumber {
        match self.recent.first() {
            Some(first) => RevisionNumber(first.to.0.saturating_sub(1)),
            None => self.revision,
        }
    }

    /// Returns the records that the next change removes from `recent`.
    pub fn displaced(&self) -> &[ChangeRecord] {
        let count = (self.recent.len() + 1).saturating_sub(RECENT_LIMIT);
        &self.recent[..count]
    }

    /// Returns the revision that the next change will commit.
    pub fn next_revision(&self) -> RevisionNumber {
        RevisionNumber(self.revision.0 + 1)
    }

    /// Returns the head that results from the change in `record`.
    pub fn advance(&self, record: ChangeRecord) -> Self {
        let mut services = self.services.clone();
        services.retain(|it| it.name != record.service);
        if record.kind != ChangeKind::Remove {
            let idx = services.partition_point(|it| it.name < record.service);
            services.insert(idx, HeadEntry::from_record(&record));
        }
        let revision = record.to;
        let kept = &self.recent[self.displaced().len()..];
        let recent = kept.iter().cloned().chain([record]).collect();
        Self { revision, services, recent }
    }
}

impl HeadEntry {
    fn from_record(record: &ChangeRecord) -> Self {
        Self { name: record.service.clone(), revision: record.to, change: record.change.clone() }
    }
}
