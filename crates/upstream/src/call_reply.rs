//! Checks of the HTTP response to one call.

use std::{str::FromStr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Body, Incoming},
    header::{HeaderMap, HeaderValue},
};
use mux_model::{CallFailure, NotRunReason, ShardIndex, SnapshotId};
use serde_json::value::RawValue;

use crate::{
    CallHeader, UpstreamReply, call_request::CallIdentity, header_names, stream_fault::StreamFault,
};

/// What the headers of a reply say; its identity has been matched to the call.
pub(crate) struct ReplyHead {
    snapshot: SnapshotId,
    shard: ShardIndex,
    in_flight: Option<u32>,
    draining: bool,
    newest_snapshot: Option<SnapshotId>,
}

impl ReplyHead {
    /// Reads the headers of a response.
    ///
    /// # Errors
    ///
    /// Fails if the response belongs to another call, is malformed, or reports a failure.
    pub(crate) fn read(
        response: &Response<Incoming>,
        header: &CallHeader,
        identity: &CallIdentity,
    ) -> Result<Self, CallFailure> {
        let headers = response.headers();
        if !is_echoed(headers, identity) {
            return Err(failure_without_identity(response.status()));
        }
        if response.status() != StatusCode::OK {
            return Err(read_refusal(headers));
        }
        let head = Self::parse(headers).ok_or(CallFailure::BadReply)?;
        if head.snapshot != header.snapshot || head.shard != header.shard {
            return Err(CallFailure::BadReply);
        }
        Ok(head)
    }

    /// Joins the headers with the body.
    pub(crate) fn complete(self, body: Bytes, latency: Duration) -> UpstreamReply {
        UpstreamReply {
            snapshot: self.snapshot,
            shard: self.shard,
            body,
            in_flight: self.in_flight,
            draining: self.draining,
            newest_snapshot: self.newest_snapshot,
            latency,
        }
    }

    fn parse(headers: &HeaderMap) -> Option<Self> {
        Some(Self {
            snapshot: SnapshotId(parse(headers, header_names::SNAPSHOT)?),
            shard: ShardIndex(parse(headers, header_names::SHARD)?),
            in_flight: parse(headers, header_names::IN_FLIGHT),
            draining: text(headers, header_names::DRAINING) == Some("true"),
            newest_snapshot: parse(headers, header_names::NEWEST_SNAPSHOT).map(SnapshotId),
        })
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if the body ends early or is longer than `bytes_limit`.
pub(crate) async fn read_body(
    mut body: Incoming,
    bytes_limit: usize,
) -> Result<Bytes, CallFailure> {
    let expected = body.size_hint().exact();
    let mut chunks = BodyChunks::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| StreamFault::of(&error).within_reply())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes_limit < chunks.len() + data.len() {
            return Err(CallFailure::BadReply);
        }
        chunks.push(data);
    }
    let bytes = chunks.into_bytes();
    if expected.is_some_and(|it| it != bytes.len() as u64) {
        return Err(CallFailure::BadReply);
    }
    Ok(bytes)
}

/// Checks that `body` is one JSON value.
///
/// # Errors
///
/// Fails if it is not.
pub(crate) fn check_json(body: &[u8]) -> Result<(), CallFailure> {
    match serde_json::from_slice::<&RawValue>(body) {
        Ok(_) => Ok(()),
        Err(_) => Err(CallFailure::BadReply),
    }
}

/// Collects a body without copying if it comes in one chunk.
#[derive(Default)]
struct BodyChunks {
    first: Bytes,
    all: BytesMut,
}

impl BodyChunks {
    fn len(&self) -> usize {
        self.first.len().max(self.all.len())
    }

    fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        if self.all.is_empty() {
            self.all.extend_from_slice(&self.first);
        }
        self.all.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.all.is_empty() { self.first } else { self.all.freeze() }
    }
}

fn is_echoed(headers: &HeaderMap, identity: &CallIdentity) -> bool {
    headers.get(header_names::REQUEST_ID) == Some(&identity.request)
        && headers.get(header_names::CALL_ID) == Some(&identity.call)
}

/// An error status that a server gives before it knows the call carries no identity.
fn failure_without_identity(status: StatusCode) -> CallFailure {
    if status == StatusCode::OK { CallFailure::BadReply } else { CallFailure::UpstreamError }
}

fn read_refusal(headers: &HeaderMap) -> CallFailure {
    if text(headers, header_names::RAN) != Some("false") {
        return CallFailure::UpstreamError;
    }
    let reason = match text(headers, header_names::REASON) {
        Some("draining") => NotRunReason::Draining,
        Some("snapshot_missing") => NotRunReason::SnapshotMissing,
        Some("deadline_passed") => NotRunReason::DeadlinePassed,
        Some("rejected") => NotRunReason::Rejected,
        _ => NotRunReason::Shed,
    };
    let retry_after = parse(headers, header_names::RETRY_AFTER_MS).map(Duration::from_millis);
    CallFailure::NotRun { reason, retry_after }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}
