//! Handler of shard queries.

use std::{
    io, process,
    str::FromStr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use mux_model::{SnapshotId, TimePoint};
use mux_upstream::header_names;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::OwnedSemaphorePermit;

use super::{
    leaf_state::{LeafState, SimulatedOutcome},
    reply_body::{ReplyBody, full},
};

const SHED_RETRY_AFTER_MS: u64 = 50;
/// Shorter service times are skipped, as the timer would round them up.
const TIMER_GRANULARITY: Duration = Duration::from_micros(500);
/// Delay between the first part of a truncated reply and the reset of its stream, so that the
/// part is sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(5);

/// Reason for rejecting a request without running it.
#[derive(Debug, Clone, Copy)]
enum RejectionReason {
    Shed,
    Draining,
    SnapshotMissing,
    DeadlinePassed,
    InvalidRequest,
}

/// Target of a request, from its path and headers.
struct CallTarget {
    snapshot: SnapshotId,
    shard: u32,
    deadline: TimePoint,
}

/// Exit code of a process that a query ended.
const CRASH_EXIT_CODE: i32 = 70;

/// Optional member of a query by which tests count its runs.
#[derive(Deserialize)]
struct QueryKey {
    key: Option<String>,
}

/// Counts a request as in flight until dropped, and as cancelled if dropped unfinished.
struct CallGuard<'a> {
    state: &'a LeafState,
    finished: bool,
}

/// Handles `POST /v1/shards/{shard}/query`.
pub(crate) async fn answer_call(
    state: Arc<LeafState>,
    shard: u32,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    state.counters.received.fetch_add(1, Ordering::Relaxed);
    let mut guard = CallGuard::new(&state);
    let (parts, body) = request.into_parts();
    record_received(&state, shard, &parts.headers);
    let mut response = match body.collect().await {
        Ok(body) => process_call(&state, shard, &parts.headers, body.to_bytes()).await,
        Err(_) => reject(&state, RejectionReason::InvalidRequest),
    };
    guard.finished = true;
    copy_call_ids(&parts.headers, response.headers_mut());
    add_state_headers(&state, response.headers_mut());
    response
}

async fn process_call(
    state: &Arc<LeafState>,
    shard: u32,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<ReplyBody> {
    let Some(target) = read_target(state, shard, headers) else {
        return reject(state, RejectionReason::InvalidRequest);
    };
    let Ok(query) = serde_json::from_slice::<&RawValue>(&body) else {
        return reject(state, RejectionReason::InvalidRequest);
    };
    let outcome = state.sample_outcome();
    let slot = match wait_for_slot(state, &target, outcome).await {
        Ok(slot) => slot,
        Err(rejection) => return reject(state, rejection),
    };
    state.counters.runs.fetch_add(1, Ordering::Relaxed);
    record_run(state, shard, headers, query);
    crash_if_requested(state, query);
    if TIMER_GRANULARITY <= outcome.service_time {
        state.timer.sleep(outcome.service_time).await;
    }
    drop(slot);
    reply(state, &target, query, outcome)
}

/// Ends the process if the query has the key that does so.
fn crash_if_requested(state: &LeafState, query: &RawValue) {
    let key = serde_json::from_str(query.get()).ok().and_then(|it: QueryKey| it.key);
    if key.is_some() && key == state.settings.crash_key {
        process::exit(CRASH_EXIT_CODE);
    }
}

async fn wait_for_slot(
    state: &LeafState,
    target: &CallTarget,
    outcome: SimulatedOutcome,
) -> Result<OwnedSemaphorePermit, RejectionReason> {
    check_admission(state, target, outcome)?;
    let time_left = target.deadline.since(state.timer.now());
    let slot = state.timer.timeout(time_left, Arc::clone(&state.slots).acquire_owned()).await;
    let Ok(Ok(slot)) = slot else {
        return Err(RejectionReason::DeadlinePassed);
    };
    if target.deadline <= state.timer.now() {
        return Err(RejectionReason::DeadlinePassed);
    }
    if !state.holds(target.snapshot, target.shard) {
        return Err(RejectionReason::SnapshotMissing);
    }
    Ok(slot)
}

fn check_admission(
    state: &LeafState,
    target: &CallTarget,
    outcome: SimulatedOutcome,
) -> Result<(), RejectionReason> {
    if state.is_draining() {
        return Err(RejectionReason::Draining);
    }
    if !state.holds(target.snapshot, target.shard) {
        return Err(RejectionReason::SnapshotMissing);
    }
    let limit = state.settings.slots + state.settings.queue;
    let in_flight = state.counters.in_flight.load(Ordering::Relaxed);
    if outcome.shed || i64::try_from(limit).is_ok_and(|it| it < in_flight) {
        return Err(RejectionReason::Shed);
    }
    Ok(())
}

fn read_target(state: &LeafState, shard: u32, headers: &HeaderMap) -> Option<CallTarget> {
    let snapshot = SnapshotId(parse_header(headers, header_names::SNAPSHOT)?);
    let time_left = parse_header(headers, header_names::DEADLINE_MS).map(Duration::from_millis);
    let deadline = time_left.map_or(TimePoint::MAX, |it| state.timer.now() + it);
    Some(CallTarget { snapshot, shard, deadline })
}

fn record_received(state: &LeafState, shard: u32, headers: &HeaderMap) {
    if !state.settings.record_calls {
        return;
    }
    if let Some(request) = header_text(headers, header_names::REQUEST_ID) {
        state.record_received(format!("{request}/{shard}"));
    }
}

fn record_run(state: &LeafState, shard: u32, headers: &HeaderMap, query: &RawValue) {
    if !state.settings.record_calls {
        return;
    }
    if let Some(request) = header_text(headers, header_names::REQUEST_ID) {
        state.record_run(format!("{request}/{shard}"));
    }
    if let Ok(QueryKey { key: Some(key) }) = serde_json::from_str(query.get()) {
        state.record_run(format!("{key}/{shard}"));
    }
}

fn reply(
    state: &LeafState,
    target: &CallTarget,
    query: &RawValue,
    outcome: SimulatedOutcome,
) -> Response<ReplyBody> {
    if outcome.fail {
        state.counters.failed.fetch_add(1, Ordering::Relaxed);
        return status_only(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let CallTarget { snapshot, shard, .. } = target;
    let text = format!(r#"{{"shard":{shard},"snapshot":{snapshot},"query":{query}}}"#);
    let body = if outcome.truncate { truncated_body(state, text) } else { full(text) };
    state.counters.completed.fetch_add(1, Ordering::Relaxed);
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header_names::SNAPSHOT, HeaderValue::from(snapshot.0));
    headers.insert(header_names::SHARD, HeaderValue::from(*shard));
    response
}

/// Returns a body that ends with an error after its first bytes.
fn truncated_body(state: &LeafState, text: String) -> ReplyBody {
    state.counters.truncated.fetch_add(1, Ordering::Relaxed);
    let timer = state.timer.clone();
    let first_bytes = Bytes::from(text).slice(..8);
    let rest = stream::once(async move {
        timer.sleep(TRUNCATION_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    let frames = stream::iter([Ok(Frame::data(first_bytes))]).chain(rest);
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn reject(state: &LeafState, rejection: RejectionReason) -> Response<ReplyBody> {
    let counters = &state.counters;
    let (reason, status, counter) = match rejection {
        RejectionReason::Shed => ("shed", StatusCode::SERVICE_UNAVAILABLE, Some(&counters.shed)),
        RejectionReason::Draining => {
            ("draining", StatusCode::SERVICE_UNAVAILABLE, Some(&counters.rejected_draining))
        }
        RejectionReason::SnapshotMissing => {
            ("snapshot_missing", StatusCode::NOT_FOUND, Some(&counters.rejected_snapshot))
        }
        RejectionReason::DeadlinePassed => {
            ("deadline_passed", StatusCode::GATEWAY_TIMEOUT, Some(&counters.rejected_deadline))
        }
        RejectionReason::InvalidRequest => ("rejected", StatusCode::BAD_REQUEST, None),
    };
    if let Some(counter) = counter {
        counter.fetch_add(1, Ordering::Relaxed);
    }
    let mut response = status_only(status);
    let headers = response.headers_mut();
    headers.insert(header_names::RAN, HeaderValue::from_static("false"));
    headers.insert(header_names::REASON, HeaderValue::from_static(reason));
    if let RejectionReason::Shed = rejection {
        headers.insert(header_names::RETRY_AFTER_MS, HeaderValue::from(SHED_RETRY_AFTER_MS));
    }
    response
}

fn status_only(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(full("{}"));
    *response.status_mut() = status;
    response
}

fn copy_call_ids(from: &HeaderMap, to: &mut HeaderMap) {
    for name in [header_names::REQUEST_ID, header_names::CALL_ID] {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
}

/// Adds the headers on load, drain state and newest snapshot.
fn add_state_headers(state: &LeafState, headers: &mut HeaderMap) {
    headers.insert(header_names::IN_FLIGHT, HeaderValue::from(state.reported_in_flight()));
    if state.is_draining() {
        headers.insert(header_names::DRAINING, HeaderValue::from_static("true"));
    }
    if let Some(newest) = state.newest_snapshot() {
        headers.insert(header_names::NEWEST_SNAPSHOT, HeaderValue::from(newest.0));
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

impl<'a> CallGuard<'a> {
    fn new(state: &'a LeafState) -> Self {
        state.counters.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { state, finished: false }
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.state.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            self.state.counters.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}
