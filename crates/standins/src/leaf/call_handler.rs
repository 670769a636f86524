//! Work on one query of one shard.

use std::{
    io,
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
    leaf_state::{CallFate, LeafState},
    reply_body::{ReplyBody, full},
};

const SHED_RETRY_AFTER_MS: u64 = 50;
/// A shorter service time counts as none, as the timer would round it up.
const TIMER_GRANULARITY: Duration = Duration::from_micros(500);
/// Lets the first half of a reply reach the wire before the stream is reset.
const CUT_DELAY: Duration = Duration::from_millis(5);

/// Why a request is refused without running.
#[derive(Debug, Clone, Copy)]
enum Refusal {
    Shed,
    Draining,
    SnapshotMissing,
    DeadlinePassed,
    Rejected,
}

/// What the headers of a request say.
struct CallTarget {
    snapshot: SnapshotId,
    shard: u32,
    deadline: TimePoint,
}

/// Member of a query by which tests recognise repeated runs.
#[derive(Deserialize)]
struct QueryKey {
    key: Option<String>,
}

/// Counts a request as cancelled unless it was finished.
struct CallGuard<'a> {
    state: &'a LeafState,
    finished: bool,
}

/// Answers `POST /v1/shards/{shard}/query`.
pub(crate) async fn answer_call(
    state: Arc<LeafState>,
    shard: u32,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    state.counters.received.fetch_add(1, Ordering::Relaxed);
    let mut guard = CallGuard::new(&state);
    let (parts, body) = request.into_parts();
    record_receipt(&state, shard, &parts.headers);
    let mut response = match body.collect().await {
        Ok(body) => work(&state, shard, &parts.headers, body.to_bytes()).await,
        Err(_) => refuse(&state, Refusal::Rejected),
    };
    guard.finished = true;
    copy_identity(&parts.headers, response.headers_mut());
    describe(&state, response.headers_mut());
    response
}

async fn work(
    state: &Arc<LeafState>,
    shard: u32,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<ReplyBody> {
    let Some(target) = read_target(state, shard, headers) else {
        return refuse(state, Refusal::Rejected);
    };
    let Ok(query) = serde_json::from_slice::<&RawValue>(&body) else {
        return refuse(state, Refusal::Rejected);
    };
    let fate = state.draw_fate();
    let slot = match wait_for_slot(state, &target, fate).await {
        Ok(slot) => slot,
        Err(refusal) => return refuse(state, refusal),
    };
    state.counters.runs.fetch_add(1, Ordering::Relaxed);
    record_run(state, shard, headers, query);
    if TIMER_GRANULARITY <= fate.service_time {
        state.timer.sleep(fate.service_time).await;
    }
    drop(slot);
    reply(state, &target, query, fate)
}

async fn wait_for_slot(
    state: &LeafState,
    target: &CallTarget,
    fate: CallFate,
) -> Result<OwnedSemaphorePermit, Refusal> {
    check_admission(state, target, fate)?;
    let time_left = target.deadline.since(state.timer.now());
    let slot = state.timer.timeout(time_left, Arc::clone(&state.slots).acquire_owned()).await;
    let Ok(Ok(slot)) = slot else {
        return Err(Refusal::DeadlinePassed);
    };
    if target.deadline <= state.timer.now() {
        return Err(Refusal::DeadlinePassed);
    }
    if !state.holds(target.snapshot, target.shard) {
        return Err(Refusal::SnapshotMissing);
    }
    Ok(slot)
}

fn check_admission(state: &LeafState, target: &CallTarget, fate: CallFate) -> Result<(), Refusal> {
    if state.is_draining() {
        return Err(Refusal::Draining);
    }
    if !state.holds(target.snapshot, target.shard) {
        return Err(Refusal::SnapshotMissing);
    }
    let limit = state.settings.slots + state.settings.queue;
    let in_flight = state.counters.in_flight.load(Ordering::Relaxed);
    if fate.shed || i64::try_from(limit).is_ok_and(|it| it < in_flight) {
        return Err(Refusal::Shed);
    }
    Ok(())
}

fn read_target(state: &LeafState, shard: u32, headers: &HeaderMap) -> Option<CallTarget> {
    let snapshot = SnapshotId(parse(headers, header_names::SNAPSHOT)?);
    let time_left = parse(headers, header_names::DEADLINE_MS).map(Duration::from_millis);
    let deadline = time_left.map_or(TimePoint::MAX, |it| state.timer.now() + it);
    Some(CallTarget { snapshot, shard, deadline })
}

fn record_receipt(state: &LeafState, shard: u32, headers: &HeaderMap) {
    if !state.settings.record_calls {
        return;
    }
    if let Some(request) = text(headers, header_names::REQUEST_ID) {
        state.record_receipt(format!("{request}/{shard}"));
    }
}

fn record_run(state: &LeafState, shard: u32, headers: &HeaderMap, query: &RawValue) {
    if !state.settings.record_calls {
        return;
    }
    if let Some(request) = text(headers, header_names::REQUEST_ID) {
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
    fate: CallFate,
) -> Response<ReplyBody> {
    if fate.fail {
        state.counters.failed.fetch_add(1, Ordering::Relaxed);
        return status_only(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let CallTarget { snapshot, shard, .. } = target;
    let text = format!(r#"{{"shard":{shard},"snapshot":{snapshot},"query":{query}}}"#);
    let body = if fate.cut { cut(state, text) } else { full(text) };
    state.counters.completed.fetch_add(1, Ordering::Relaxed);
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header_names::SNAPSHOT, HeaderValue::from(snapshot.0));
    headers.insert(header_names::SHARD, HeaderValue::from(*shard));
    response
}

/// Returns a body that breaks off half-way.
fn cut(state: &LeafState, text: String) -> ReplyBody {
    state.counters.cut.fetch_add(1, Ordering::Relaxed);
    let timer = state.timer.clone();
    let half = Bytes::from(text).slice(..8);
    let rest = stream::once(async move {
        timer.sleep(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    let frames = stream::iter([Ok(Frame::data(half))]).chain(rest);
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn refuse(state: &LeafState, refusal: Refusal) -> Response<ReplyBody> {
    let counters = &state.counters;
    let (reason, status, counter) = match refusal {
        Refusal::Shed => ("shed", StatusCode::SERVICE_UNAVAILABLE, Some(&counters.shed)),
        Refusal::Draining => {
            ("draining", StatusCode::SERVICE_UNAVAILABLE, Some(&counters.refused_draining))
        }
        Refusal::SnapshotMissing => {
            ("snapshot_missing", StatusCode::NOT_FOUND, Some(&counters.refused_snapshot))
        }
        Refusal::DeadlinePassed => {
            ("deadline_passed", StatusCode::GATEWAY_TIMEOUT, Some(&counters.refused_deadline))
        }
        Refusal::Rejected => ("rejected", StatusCode::BAD_REQUEST, None),
    };
    if let Some(counter) = counter {
        counter.fetch_add(1, Ordering::Relaxed);
    }
    let mut response = status_only(status);
    let headers = response.headers_mut();
    headers.insert(header_names::RAN, HeaderValue::from_static("false"));
    headers.insert(header_names::REASON, HeaderValue::from_static(reason));
    if let Refusal::Shed = refusal {
        headers.insert(header_names::RETRY_AFTER_MS, HeaderValue::from(SHED_RETRY_AFTER_MS));
    }
    response
}

fn status_only(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(full("{}"));
    *response.status_mut() = status;
    response
}

fn copy_identity(from: &HeaderMap, to: &mut HeaderMap) {
    for name in [header_names::REQUEST_ID, header_names::CALL_ID] {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
}

/// Adds what the upstream says about itself.
fn describe(state: &LeafState, headers: &mut HeaderMap) {
    headers.insert(header_names::IN_FLIGHT, HeaderValue::from(state.reported_in_flight()));
    if state.is_draining() {
        headers.insert(header_names::DRAINING, HeaderValue::from_static("true"));
    }
    if let Some(newest) = state.newest_snapshot() {
        headers.insert(header_names::NEWEST_SNAPSHOT, HeaderValue::from(newest.0));
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
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
