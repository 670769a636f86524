//! Errors of the key-value service.

use std::fmt;

use mux_model::Verdict;

use crate::ValueVersion;

/// Failure of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The expected version is not the current one; nothing was written.
    VersionMismatch {
        /// Current version of the key; zero if the key does not exist.
        current: ValueVersion,
    },
    /// The lease does not exist or has expired; nothing was written.
    LeaseExpired,
    /// The service rejected the call, or the call was not sent; nothing was written.
    Unavailable(String),
    /// The stored value cannot be decoded; nothing was written. Only another write of the key helps.
    Unreadable(String),
    /// The outcome is unknown: the call was sent, but no valid reply was received.
    Unknown(String),
}

impl StoreError {
    /// Returns whether the call may have taken effect despite this failure.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionMismatch { current } => {
                write!(f, "the key was changed by someone else; it is at version {}", current.0)
            }
            Self::LeaseExpired => f.write_str("the lease has lapsed"),
            Self::Unavailable(why) => write!(f, "the key-value service is unavailable: {why}"),
            Self::Unreadable(why) => write!(f, "the stored value cannot be read: {why}"),
            Self::Unknown(why) => {
                write!(f, "the outcome at the key-value service is unknown: {why}")
            }
        }
    }
}

impl std::error::Error for StoreError {}
