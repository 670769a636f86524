//! Errors of configuration operations.

use std::fmt;

use mux_model::{ChangeId, RevisionNumber, ServiceName, Verdict};
use mux_store::StoreError;

use crate::ChangeRecord;

/// An invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadValue {
    /// Path of the value in the JSON form.
    pub key: String,
    /// Value that was given.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Reason why a service definition or a change is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DefinitionError {
    /// The text cannot be parsed as a service definition.
    Malformed(String),
    /// Some values are invalid.
    BadValues(Vec<BadValue>),
}

/// Reason why a change was not confirmed as committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The change itself is invalid.
    Invalid(DefinitionError),
    /// The service is not at the revision that the change expects.
    Conflict {
        /// Name of the service.
        service: ServiceName,
        /// Revision that the change expects; zero if it expects that the service does not exist.
        expected: RevisionNumber,
        /// Current revision of the service; zero if it does not exist.
        current: RevisionNumber,
        /// Committed change that this one conflicts with, if the head still contains it.
        conflicting_change: Option<Box<ChangeRecord>>,
    },
    /// The change id was used before for a different change.
    ChangeIdReused(ChangeId),
    /// The stored configuration is older than the one that this node has applied.
    StoreBehind {
        /// Revision in the store.
        stored: RevisionNumber,
        /// Revision that this node has applied.
        applied: RevisionNumber,
    },
    /// The time limit passed, and the last attempt failed because the head was written concurrently
    /// or the current definition was deleted while it was read.
    Contended,
    /// The store failed, or a stored value could not be read, before the change was committed.
    Unavailable(StoreError),
    /// The change was sent, but its outcome could not be determined within the time limit.
    OutcomeUnknown(StoreError),
}

impl ChangeError {
    /// Returns what is known about whether the change took effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::OutcomeUnknown(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Reason why stored configuration, or a record of it, could not be read or deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// A call to the store failed.
    Store(StoreError),
    /// A stored value cannot be parsed.
    Malformed {
        /// Key of the value.
        key: String,
    },
    /// Definitions that the head names were replaced and deleted while they were being read.
    ConcurrentChanges,
}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<DefinitionError> for ChangeError {
    fn from(error: DefinitionError) -> Self {
        Self::Invalid(error)
    }
}

impl fmt::Display for BadValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}; allowed: {}", self.key, self.value, self.allowed)
    }
}

impl fmt::Display for DefinitionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(why) => write!(f, "malformed service definition: {why}"),
            Self::BadValues(values) => {
                let texts: Vec<_> = values.iter().map(BadValue::to_string).collect();
                f.write_str(&texts.join("\n"))
            }
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => error.fmt(f),
            Self::Conflict { service, expected, current, conflicting_change } => {
                write!(f, "{service} is at revision {current}, the change expects {expected}")?;
                let Some(conflicting_change) = conflicting_change else {
                    return Ok(());
                };
                write!(
                    f,
                    "; it was changed by {} with {}",
                    conflicting_change.operator, conflicting_change.change
                )
            }
            Self::ChangeIdReused(change) => {
                write!(f, "the change id {change} was used before for another change")
            }
            Self::StoreBehind { stored, applied } => {
                write!(f, "the store is at revision {stored}, this node has applied {applied}")
            }
            Self::Contended => f.write_str("other changes kept getting ahead"),
            Self::Unavailable(error) => error.fmt(f),
            Self::OutcomeUnknown(error) => {
                write!(f, "the change was sent and may have taken effect: {error}")
            }
        }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Malformed { key } => write!(f, "the stored value of {key} cannot be read"),
            Self::ConcurrentChanges => {
                f.write_str("definitions kept being replaced during the load")
            }
        }
    }
}

impl std::error::Error for DefinitionError {}
impl std::error::Error for ChangeError {}
impl std::error::Error for LoadError {}
