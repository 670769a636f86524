//! One call to an upstream and the ways in which it fails.

use std::{fmt, time::Duration};

use crate::Verdict;

/// Identity of one upstream call within a query; never reused within the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u32);

/// Why a request provably did not run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No byte of the request was written, for example because the connection was refused.
    NotSent,
    /// The upstream shed the request.
    Shed,
    /// The upstream is draining.
    Draining,
    /// The upstream no longer, or not yet, holds the requested snapshot.
    SnapshotMissing,
    /// The upstream saw that the deadline had passed before it began.
    DeadlinePassed,
    /// The upstream rejected the request as malformed.
    Rejected,
    /// Another instance than the expected one has the address.
    WrongInstance,
}

/// How one upstream call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The request provably did not run.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Earliest useful time to try the same upstream again, if it said so.
        retry_after: Option<Duration>,
    },
    /// The connection failed after the request may have been written.
    ConnectionLost,
    /// The connection made no progress for the silence limit.
    Silent,
    /// The upstream answered with an error after it may have run the request.
    UpstreamError,
    /// The reply was malformed, incomplete, or belongs to another call, shard or snapshot.
    BadReply,
    /// The deadline passed while the call was in flight.
    DeadlinePassed,
}

impl CallFailure {
    /// Returns what this failure says about execution at the upstream.
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::NotRun { .. } => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotRun { reason: NotRunReason::NotSent, .. } => "not sent",
            Self::NotRun { reason: NotRunReason::Shed, .. } => "shed by the upstream",
            Self::NotRun { reason: NotRunReason::Draining, .. } => "upstream is draining",
            Self::NotRun { reason: NotRunReason::SnapshotMissing, .. } => "snapshot not held",
            Self::NotRun { reason: NotRunReason::DeadlinePassed, .. } => "deadline passed unrun",
            Self::NotRun { reason: NotRunReason::Rejected, .. } => "rejected by the upstream",
            Self::NotRun { reason: NotRunReason::WrongInstance, .. } => "another instance answered",
            Self::ConnectionLost => "connection lost",
            Self::Silent => "connection silent",
            Self::UpstreamError => "upstream error",
            Self::BadReply => "bad reply",
            Self::DeadlinePassed => "deadline passed",
        };
        f.write_str(text)
    }
}
