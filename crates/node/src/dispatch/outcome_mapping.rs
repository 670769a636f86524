//! Converts fan-out results and ledger outcomes into query results.

use std::time::Duration;

use bytes::Bytes;
use mux_model::Verdict;
use mux_query::{BeginOutcome, FanOutResult, FanOutStopReason};

use super::{ProblemCode, QueryAnswer, QueryProblem, ShardBody};

/// Result of a query.
pub(super) type QueryResult = Result<QueryAnswer, QueryProblem>;

/// Suggested retry delay if no better estimate is available, in milliseconds.
pub(super) const DEFAULT_RETRY_MS: u64 = 200;

const IN_PROGRESS_RETRY_MS: u64 = 50;

/// Converts the result of a fan-out into the result of its query.
pub(super) fn to_query_result(result: FanOutResult) -> QueryResult {
    let Some(stop) = result.stop else {
        let shards =
            result.shards.into_iter().map(|it| ShardBody { shard: it.shard, body: it.body });
        return Ok(QueryAnswer {
            snapshot: result.snapshot,
            coverage: result.coverage,
            shards: shards.collect(),
            replayed: false,
        });
    };
    let (code, message) = match stop {
        FanOutStopReason::CoverageUnreachable => (
            ProblemCode::CoverageUnreachable,
            "too many shards failed for the service's minimum coverage",
        ),
        FanOutStopReason::DeadlinePassed => {
            (ProblemCode::DeadlinePassed, "the deadline passed below the minimum coverage")
        }
        FanOutStopReason::SnapshotUnavailable => {
            (ProblemCode::NoSnapshot, "the upstreams no longer hold the snapshot")
        }
        FanOutStopReason::Saturated => (ProblemCode::Overloaded, "every replica is at its limit"),
        FanOutStopReason::Abandoned => (ProblemCode::Internal, "the caller went away"),
    };
    let retry_after = result.retry_after.map_or(DEFAULT_RETRY_MS, to_retry_millis);
    let problem = QueryProblem::not_run(code, message).retry_after_ms(retry_after);
    Err(QueryProblem { verdict: result.verdict, ..problem })
}

/// Returns the result for a repeated request, from the outcome of its earlier attempt.
pub(super) fn replay(verdict: Verdict, answer: Option<Bytes>) -> QueryResult {
    let answer = answer.and_then(|it| serde_json::from_slice::<QueryAnswer>(&it).ok());
    if let Some(answer) = answer {
        return Ok(QueryAnswer { replayed: true, ..answer });
    }
    let message = match verdict {
        Verdict::Done => "the request ran before and its answer is no longer kept",
        _ => "the request was tried before and may have run",
    };
    Err(QueryProblem::may_have_run(ProblemCode::AnswerForgotten, message))
}

/// Converts an outcome of the ledger other than `Run` and `Finished` into a problem.
pub(super) fn session_problem(outcome: &BeginOutcome) -> QueryProblem {
    let (code, message) = match outcome {
        BeginOutcome::InProgress => (ProblemCode::InProgress, "the same request is running"),
        BeginOutcome::BelowWindow => (
            ProblemCode::SequenceForgotten,
            "the sequence number is older than those that the session remembers",
        ),
        BeginOutcome::Expired => (
            ProblemCode::SessionExpired,
            "the session's lifetime is over; an earlier attempt may have run",
        ),
        BeginOutcome::LedgerFull { .. } => {
            (ProblemCode::TooManyRequests, "the node remembers as many sessions as it can")
        }
        _ => (
            ProblemCode::SessionInvalid,
            "the session belongs to an earlier run of this node; an earlier attempt may have run",
        ),
    };
    let verdict = outcome.verdict().unwrap_or(Verdict::MayHaveRun);
    let problem = QueryProblem { verdict, ..QueryProblem::not_run(code, message) };
    match outcome {
        BeginOutcome::InProgress => problem.retry_after_ms(IN_PROGRESS_RETRY_MS),
        BeginOutcome::LedgerFull { retry_after } => {
            problem.retry_after_ms(to_retry_millis(*retry_after))
        }
        _ => problem,
    }
}

/// Converts a suggested retry delay to whole milliseconds, at least 1.
pub(super) fn to_retry_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).max(1)
}
