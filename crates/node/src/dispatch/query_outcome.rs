//! The final outcome of a query.

use bytes::Bytes;
use mux_model::{Coverage, RequestId, ShardIndex, SnapshotId, Verdict};
use serde::{Deserialize, Serialize};

/// Outcome of a query as reported to the caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QueryOutcome {
    /// Identifier of the request.
    pub(crate) request: RequestId,
    /// Answer or problem.
    pub(crate) result: Result<QueryAnswer, QueryProblem>,
}

impl QueryOutcome {
    /// Returns the outcome of a query in flight when its node had to stop.
    pub(crate) fn interrupted(request: RequestId) -> Self {
        let message = "the node stopped before the query was complete";
        let problem = QueryProblem::may_have_run(ProblemCode::Interrupted, message);
        Self { request, result: Err(problem) }
    }
}

/// Answer to a query, with at least the minimum coverage.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QueryAnswer {
    /// Snapshot that all results belong to.
    pub(crate) snapshot: SnapshotId,
    /// Number of that snapshot's shards that contributed, and of all its shards.
    pub(crate) coverage: Coverage,
    /// Results in shard order.
    pub(crate) shards: Vec<ShardBody>,
    /// Whether this is the recorded answer of an earlier attempt.
    pub(crate) replayed: bool,
}

/// The result of one shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ShardBody {
    /// Shard that returned the result.
    pub(crate) shard: ShardIndex,
    /// Result as JSON text.
    pub(crate) body: Bytes,
}

/// Reason why a query has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueryProblem {
    /// Whether the query may have run.
    pub(crate) verdict: Verdict,
    /// Stable code of the problem.
    pub(crate) code: ProblemCode,
    /// Message with the cause and, if there is one, the recommended action.
    pub(crate) message: String,
    /// Suggested retry delay, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
}

impl QueryProblem {
    /// Creates the problem of a query that did not run.
    pub(crate) fn not_run(code: ProblemCode, message: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, code, message: message.into(), retry_after_ms: None }
    }

    /// Creates the problem of a query that may have run.
    pub(crate) fn may_have_run(code: ProblemCode, message: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, ..Self::not_run(code, message) }
    }

    /// Adds a suggested retry delay.
    pub(crate) fn retry_after_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}

/// Stable codes of problems.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ProblemCode {
    /// The request is not valid.
    MalformedRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body was not received in time.
    ReceiveTimeout,
    /// The content type is not JSON.
    UnsupportedMediaType,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The path does not exist.
    UnknownPath,
    /// The service does not exist in the configuration of this node.
    UnknownService,
    /// The caller, or all callers together, have too many requests in flight, or the node retains
    /// as many sessions as it can.
    TooManyRequests,
    /// The service has more queries in flight than its upstreams can handle.
    Overloaded,
    /// The configuration of the node is missing, unverified or outdated, or the node reaches
    /// neither the key-value service nor a peer.
    NotReady,
    /// The node is stopping.
    Draining,
    /// No usable snapshot of the service's data is known, or the upstreams dropped the snapshot
    /// during the query.
    NoSnapshot,
    /// So many shards failed that the minimum coverage cannot be reached.
    CoverageUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// The service needs a session and a sequence number.
    SessionRequired,
    /// The session token is malformed, or was not minted by this run of the node.
    SessionInvalid,
    /// The session has expired.
    SessionExpired,
    /// The sequence number is below those that the session retains.
    SequenceForgotten,
    /// The same request is still running.
    InProgress,
    /// The same request ran before and its answer is no longer retained, or it was tried before and
    /// may have run.
    AnswerForgotten,
    /// The node that minted the session cannot be reached or has stopped.
    SessionOwnerUnreachable,
    /// No home node of the service could be reached.
    HomeUnreachable,
    /// The node failed, an upstream's result is not valid JSON, or the caller disconnected.
    Internal,
    /// Queries with the same content have crashed several upstreams.
    Quarantined,
    /// The node had to stop before the query was complete.
    Interrupted,
}

impl ProblemCode {
    /// Returns the name of the code in replies and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::MalformedRequest => "malformed_request",
            Self::BodyTooLarge => "body_too_large",
            Self::ReceiveTimeout => "receive_timeout",
            Self::UnsupportedMediaType => "unsupported_media_type",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::UnknownPath => "unknown_path",
            Self::UnknownService => "unknown_service",
            Self::TooManyRequests => "too_many_requests",
            Self::Overloaded => "overloaded",
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::NoSnapshot => "no_snapshot",
            Self::CoverageUnreachable => "coverage_unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::SessionRequired => "session_required",
            Self::SessionInvalid => "session_invalid",
            Self::SessionExpired => "session_expired",
            Self::SequenceForgotten => "sequence_forgotten",
            Self::InProgress => "in_progress",
            Self::AnswerForgotten => "answer_forgotten",
            Self::SessionOwnerUnreachable => "session_owner_unreachable",
            Self::HomeUnreachable => "home_unreachable",
            Self::Internal => "internal",
            Self::Quarantined => "quarantined",
            Self::Interrupted => "interrupted",
        }
    }

    /// Returns the HTTP status of a response with this problem.
    pub(crate) const fn http_status(self) -> u16 {
        match self {
            Self::MalformedRequest | Self::SessionRequired | Self::SessionInvalid => 400,
            Self::UnknownPath | Self::UnknownService => 404,
            Self::MethodNotAllowed => 405,
            Self::ReceiveTimeout => 408,
            Self::InProgress
            | Self::SessionExpired
            | Self::SequenceForgotten
            | Self::AnswerForgotten => 409,
            Self::BodyTooLarge => 413,
            Self::UnsupportedMediaType => 415,
            Self::Quarantined => 422,
            Self::TooManyRequests => 429,
            Self::Internal => 500,
            Self::SessionOwnerUnreachable => 502,
            Self::DeadlinePassed | Self::Interrupted => 504,
            Self::Overloaded
            | Self::NotReady
            | Self::Draining
            | Self::NoSnapshot
            | Self::CoverageUnreachable
            | Self::HomeUnreachable => 503,
        }
    }
}
