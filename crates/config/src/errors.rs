//! Failures of configuration operations.

use std::fmt;

use mux_model::{ChangeId, RevisionNumber, ServiceName, Verdict};
use mux_store::StoreError;

use crate::ChangeRecord;

/// A value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadValue {
    /// Key of the value, as it appears in the JSON form.
    pub key: String,
    /// The value that was given.
    pub value: String,
    /// What is allowed instead.
    pub allowed: String,
}

/// Why a service definition or a change is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DefinitionError {
    /// The text is not a service definition.
    Malformed(String),
    /// These values are not allowed.
    BadValues(Vec<BadValue>),
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The change itself is not valid.
    Invalid(DefinitionError),
    /// The service is not at the revision that the change expects.
    Conflict {
        /// The service.
        service: ServiceName,
        /// Revision that the change expected; zero if it expected no such service.
        expected: RevisionNumber,
        /// Revision that the service has; zero if it does not exist.
        current: RevisionNumber,
        /// The change to which this one lost, if it is still recorded.
        winner: Option<Box<ChangeRecord>>,
    },
    /// The change id was used before for something else.
    ChangeIdReused(ChangeId),
    /// The stored configuration is older than what this node has already applied.
    StoreBehind {
        /// Revision in the store.
        stored: RevisionNumber,
        /// Revision that this node has applied.
        applied: RevisionNumber,
    },
    /// Other changes kept getting ahead until the time for the change was over.
    Contended,
    /// The store refused a step that had to come before the change.
    Unavailable(StoreError),
    /// The change was sent, and its outcome could not be learnt in time.
    OutcomeUnknown(StoreError),
}

impl ChangeError {
    /// Returns what this failure says about whether the change took effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::OutcomeUnknown(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Why the configuration could not be loaded from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// A call to the store failed.
    Store(StoreError),
    /// A stored value cannot be read.
    Malformed {
        /// Key of the value.
        key: String,
    },
    /// Definitions kept being replaced while they were read.
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
            Self::Conflict { service, expected, current, winner } => {
                write!(f, "{service} is at revision {current}, the change expects {expected}")?;
                let Some(winner) = winner else {
                    return Ok(());
                };
                write!(f, "; it was changed by {} with {}", winner.operator, winner.change)
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
