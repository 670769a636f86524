//! Failures of calls to the platform.

use std::fmt;

use mux_model::Verdict;

use crate::ValueVersion;

/// Failure of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The compared version is not the current one; nothing was written.
    VersionMismatch {
        /// Version that the key has now; zero if the key does not exist.
        current: ValueVersion,
    },
    /// The lease does not exist or has lapsed; nothing was written.
    LeaseExpired,
    /// The service refused the call, or the call was not sent; nothing was written.
    Unavailable(String),
    /// The outcome is unknown: the call was sent and no usable reply came.
    Unknown(String),
}

impl StoreError {
    /// Returns what this failure says about whether the call took effect.
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
            Self::Unknown(why) => {
                write!(f, "the outcome at the key-value service is unknown: {why}")
            }
        }
    }
}

impl std::error::Error for StoreError {}
