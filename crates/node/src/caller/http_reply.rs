//! Builds the HTTP responses to callers.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{StatusCode, header, header::HeaderValue};
use mux_model::{Coverage, RequestId, ShardIndex, SnapshotId, Verdict};
use serde::Serialize;
use serde_json::value::RawValue;

use super::caller_server::Reply;
use crate::dispatch::{ProblemCode, QueryAnswer, QueryOutcome, QueryProblem};

const MILLIS_PER_SECOND: u64 = 1_000;

#[derive(Serialize)]
struct AnswerBody<'a> {
    request_id: String,
    verdict: Verdict,
    snapshot: SnapshotId,
    coverage: CoverageBody,
    replayed: bool,
    results: Vec<ResultBody<'a>>,
}

#[derive(Serialize)]
struct CoverageBody {
    contributed: u32,
    total: u32,
    share: f64,
}

#[derive(Serialize)]
struct ResultBody<'a> {
    shard: ShardIndex,
    result: &'a RawValue,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    request_id: Option<String>,
    verdict: Verdict,
    error: ErrorBody<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    addresses: &'a [SocketAddr],
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: ProblemCode,
    message: &'a str,
}

/// Returns the response for the outcome of a query.
pub(crate) fn outcome_reply(outcome: &QueryOutcome, alternatives: &[SocketAddr]) -> Reply {
    match &outcome.result {
        Ok(answer) => answer_reply(outcome.request, answer),
        Err(problem) => problem_reply(Some(outcome.request), problem, alternatives),
    }
}

/// Returns the response for a problem.
pub(crate) fn problem_reply(
    request: Option<RequestId>,
    problem: &QueryProblem,
    alternatives: &[SocketAddr],
) -> Reply {
    let body = ProblemBody {
        request_id: request.map(|it| it.to_string()),
        verdict: problem.verdict,
        error: ErrorBody { code: problem.code, message: &problem.message },
        retry_after_ms: problem.retry_after_ms,
        addresses: alternatives,
    };
    let mut response = json_reply(problem.code.http_status(), &body);
    if let Some(millis) = problem.retry_after_ms {
        let seconds = millis.div_ceil(MILLIS_PER_SECOND);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if problem.code == ProblemCode::Draining {
        // Closes the connection, so that the caller has to choose an address again.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns a JSON response with a serialized body.
pub(crate) fn json_reply<T: Serialize>(status: u16, body: &T) -> Reply {
    let Ok(bytes) = serde_json::to_vec(body) else {
        return json_bytes_reply(500, Vec::new());
    };
    json_bytes_reply(status, bytes)
}

fn answer_reply(request: RequestId, answer: &QueryAnswer) -> Reply {
    let results: Result<Vec<_>, _> = answer
        .shards
        .iter()
        .map(|it| {
            serde_json::from_slice(&it.body).map(|result| ResultBody { shard: it.shard, result })
        })
        .collect();
    let Ok(results) = results else {
        let message = "an upstream's result is not valid JSON";
        let problem = QueryProblem::may_have_run(ProblemCode::Internal, message);
        return problem_reply(Some(request), &problem, &[]);
    };
    let body = AnswerBody {
        request_id: request.to_string(),
        verdict: Verdict::Done,
        snapshot: answer.snapshot,
        coverage: CoverageBody::from(answer.coverage),
        replayed: answer.replayed,
        results,
    };
    json_reply(200, &body)
}

impl From<Coverage> for CoverageBody {
    fn from(coverage: Coverage) -> Self {
        Self { contributed: coverage.contributed, total: coverage.total, share: coverage.share() }
    }
}

fn json_bytes_reply(status: u16, bytes: Vec<u8>) -> Reply {
    let length = HeaderValue::from(bytes.len());
    let mut response = Reply::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::CONTENT_LENGTH, length);
    response
}
