//! The final answer to a caller.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use mux_model::Verdict;
use mux_query::{FanOutResult, FanOutStopReason};

/// Minimum suggested retry delay, unless a quarter of the caller's remaining time is shorter; a
/// request that is repeated sooner meets the same load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// The suggested retry delay is at most the caller's remaining time divided by this. Callers accept
/// up to a third of their remaining time; a quarter leaves a margin. The request handler assumes
/// the same factor for requests without a time limit.
const MAX_RETRY_AFTER_DIVISOR: u32 = 4;

/// Outcome of a request that was in flight when its node had to exit.
pub(super) const INTERRUPTED_OUTCOME: &str = "interrupted";

/// Status, headers and complete body of an answer to a caller.
#[derive(Debug, Clone)]
pub(crate) struct FinalAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// How the request ended, for logs and metrics.
    pub(crate) outcome: &'static str,
}

impl FinalAnswer {
    /// Returns whether this node gave the request up without an answer of upstreams.
    pub(super) fn is_failure(&self) -> bool {
        ["not_run", "failed", "timed_out"].contains(&self.outcome)
    }

    /// Returns the delay that is suggested to the caller.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let seconds = self.headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns whether no upstream has run the request, for whatever reason of this node.
    pub(super) fn never_ran(&self) -> bool {
        ["not_run", "quarantined"].contains(&self.outcome)
    }

    /// Returns whether no upstream has run the request or will run it.
    pub(super) fn is_not_run(&self) -> bool {
        self.outcome == "not_run"
    }
}

/// Returns an error answer that this node creates itself.
pub(crate) fn failure_answer(
    status: StatusCode,
    outcome: &'static str,
    reason: &str,
) -> FinalAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let body = serde_json::json!({ "error": reason, "outcome": outcome });
    FinalAnswer { status, headers, body: Bytes::from(body.to_string()), outcome }
}

/// Returns the answer to a request that no upstream has run or will run.
pub(crate) fn refusal_answer(
    reason: &str,
    retry_after: Option<Duration>,
    time_left: Duration,
) -> FinalAnswer {
    let mut answer = failure_answer(StatusCode::SERVICE_UNAVAILABLE, "not_run", reason);
    suggest_retry(&mut answer, retry_after, time_left);
    answer
}

/// Returns the answer to a request over the quota of its workspace. It was not run and will not be.
pub(super) fn over_quota_answer(retry_after: Duration, time_left: Duration) -> FinalAnswer {
    let reason = "the workspace has reached its quota";
    let mut answer = failure_answer(StatusCode::TOO_MANY_REQUESTS, "over_quota", reason);
    suggest_retry(&mut answer, Some(retry_after), time_left);
    answer
}

/// Returns the answer to a request that this node cannot complete before it exits. It was not run and will
/// not be.
pub(crate) fn stopping_answer(time_left: Duration) -> FinalAnswer {
    refusal_answer("this node is stopping", None, time_left)
}

/// Returns the answer to a request that was in flight when this node had to exit.
pub(super) fn interrupted_answer() -> FinalAnswer {
    let reason = "this node stops before an upstream has replied";
    failure_answer(StatusCode::GATEWAY_TIMEOUT, INTERRUPTED_OUTCOME, reason)
}

fn suggest_retry(answer: &mut FinalAnswer, retry_after: Option<Duration>, time_left: Duration) {
    let delay = retry_after.unwrap_or_default().max(MIN_RETRY_AFTER);
    let delay = delay.min(time_left / MAX_RETRY_AFTER_DIVISOR);
    let seconds = format!("{:.3}", delay.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers.insert(header::RETRY_AFTER, value);
    }
}

/// Returns the answer to a request that is not sent because it crashes upstreams.
///
/// It was not run and will not be. No time is suggested for a retry, which would have the same answer.
pub(super) fn quarantined_answer() -> FinalAnswer {
    let reason = "requests with this content have crashed several upstreams";
    failure_answer(StatusCode::SERVICE_UNAVAILABLE, "quarantined", reason)
}

/// Returns the answer to a query without a sufficient result from its upstreams.
///
/// Only a query that certainly was not run by any upstream is answered as not run. For one that may
/// have run, the status does not state whether it did.
pub(super) fn stopped_answer(result: &FanOutResult, time_left: Duration) -> FinalAnswer {
    let reason = match result.stop {
        Some(FanOutStopReason::CoverageUnreachable) => "too few shards can be reached",
        Some(FanOutStopReason::DeadlinePassed) => "no answer within the time limit",
        Some(FanOutStopReason::SnapshotUnavailable) => "the index was replaced meanwhile",
        Some(FanOutStopReason::Saturated) => "the upstreams are at their limits",
        Some(FanOutStopReason::Abandoned) | None => "the request was given up",
    };
    if result.verdict == Verdict::NotRun {
        return refusal_answer(reason, result.retry_after, time_left);
    }
    match result.stop {
        Some(FanOutStopReason::DeadlinePassed) => {
            failure_answer(StatusCode::GATEWAY_TIMEOUT, "timed_out", reason)
        }
        _ => failure_answer(StatusCode::BAD_GATEWAY, "failed", reason),
    }
}
