//! Identity and failures of one call to an upstream.

use std::{fmt, time::Duration};

use crate::Verdict;

/// Identifies one upstream call within a query; not reused within the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u32);

/// Reason why a request is known not to have run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No byte of the request was written, for example because the connection was refused.
    NotSent,
    /// The upstream rejected the request because of overload.
    Shed,
    /// The upstream is draining.
    Draining,
    /// The upstream has not loaded the requested snapshot yet, or has already unloaded it.
    SnapshotMissing,
    /// The deadline had passed before the upstream started the request.
    DeadlinePassed,
    /// The upstream rejected the request as malformed.
    Rejected,
    /// The address belongs to another instance than the expected one.
    WrongInstance,
    /// The upstream reset a new connection at once, as it accepts no more now; nothing was written.
    /// Unlike after [`Self::NotSent`], the same upstream may accept a connection a moment later.
    ConnectionRefused,
}

/// Failure of one upstream call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The request is known not to have run.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// Delay that the upstream suggested before a retry at it, if it sent one.
        retry_after: Option<Duration>,
    },
    /// The connection failed after the request may have been written.
    ConnectionLost,
    /// The process of the upstream ended while the call was in flight.
    UpstreamEnded,
    /// Nothing was received on the connection within the pool's silence timeout.
    Silent,
    /// The upstream replied with an error and may have run the request.
    UpstreamError,
    /// The reply was malformed, incomplete, or belongs to another call, shard or snapshot.
    BadReply,
    /// The deadline passed while the call was in flight.
    DeadlinePassed,
}

impl CallFailure {
    /// Returns whether the request may have run at the upstream despite this failure.
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
            Self::NotRun { reason: NotRunReason::DeadlinePassed, .. } => {
                "deadline passed before execution"
            }
            Self::NotRun { reason: NotRunReason::Rejected, .. } => "rejected by the upstream",
            Self::NotRun { reason: NotRunReason::WrongInstance, .. } => "another instance answered",
            Self::NotRun { reason: NotRunReason::ConnectionRefused, .. } => "connection refused",
            Self::ConnectionLost => "connection lost",
            Self::UpstreamEnded => "upstream process ended",
            Self::Silent => "connection silent",
            Self::UpstreamError => "upstream error",
            Self::BadReply => "bad reply",
            Self::DeadlinePassed => "deadline passed",
        };
        f.write_str(text)
    }
}
