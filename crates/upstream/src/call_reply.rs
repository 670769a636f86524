//! Parsing and checks of the HTTP response to one call.

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

/// Parsed headers of a reply whose identity matches the call.
pub(crate) struct ReplyHead {
    snapshot: SnapshotId,
    shard: ShardIndex,
    in_flight: Option<u32>,
    draining: bool,
    newest_snapshot: Option<SnapshotId>,
}

impl ReplyHead {
    /// Checks and parses the headers of a response.
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
        if !matches_identity(headers, identity) {
            return Err(classify_unidentified_response(response.status()));
        }
        if response.status() != StatusCode::OK {
            return Err(parse_error_response(headers));
        }
        let head = Self::parse(headers).ok_or(CallFailure::BadReply)?;
        if head.snapshot != header.snapshot || head.shard != header.shard {
            return Err(CallFailure::BadReply);
        }
        Ok(head)
    }

    /// Combines the headers with the body into the reply.
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
            snapshot: SnapshotId(parse_header(headers, header_names::SNAPSHOT)?),
            shard: ShardIndex(parse_header(headers, header_names::SHARD)?),
            in_flight: parse_header(headers, header_names::IN_FLIGHT),
            draining: header_text(headers, header_names::DRAINING) == Some("true"),
            newest_snapshot: parse_header(headers, header_names::NEWEST_SNAPSHOT).map(SnapshotId),
        })
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if the body is truncated or longer than `bytes_limit`.
pub(crate) async fn read_body(
    mut body: Incoming,
    bytes_limit: usize,
) -> Result<Bytes, CallFailure> {
    let declared_length = body.size_hint().exact();
    let mut chunks = BodyChunks::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| StreamFault::classify(&error).within_reply())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes_limit < chunks.len() + data.len() {
            return Err(CallFailure::BadReply);
        }
        chunks.push(data);
    }
    // The library also ends a body without an error when the upstream resets its stream or sends GOAWAY
    // with NO_ERROR or CANCEL, whatever is missing of the reply.
    if !body.is_end_stream() {
        return Err(CallFailure::ConnectionLost);
    }
    let bytes = chunks.into_bytes();
    if declared_length.is_some_and(|it| it != bytes.len() as u64) {
        return Err(CallFailure::BadReply);
    }
    Ok(bytes)
}

/// Checks that `body` is exactly one JSON value.
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

/// Collects the chunks of a body; a single chunk is not copied.
#[derive(Default)]
struct BodyChunks {
    first: Bytes,
    joined: BytesMut,
}

impl BodyChunks {
    fn len(&self) -> usize {
        self.first.len().max(self.joined.len())
    }

    fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
        }
        self.joined.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}

fn matches_identity(headers: &HeaderMap, identity: &CallIdentity) -> bool {
    headers.get(header_names::REQUEST_ID) == Some(&identity.request)
        && headers.get(header_names::CALL_ID) == Some(&identity.call)
}

/// Classifies a response that does not echo the call's identity. A server that fails before it has
/// read the identity sends an error status without it.
fn classify_unidentified_response(status: StatusCode) -> CallFailure {
    if status == StatusCode::OK { CallFailure::BadReply } else { CallFailure::UpstreamError }
}

fn parse_error_response(headers: &HeaderMap) -> CallFailure {
    if header_text(headers, header_names::RAN) != Some("false") {
        return CallFailure::UpstreamError;
    }
    let reason = match header_text(headers, header_names::REASON) {
        Some("draining") => NotRunReason::Draining,
        Some("snapshot_missing") => NotRunReason::SnapshotMissing,
        Some("deadline_passed") => NotRunReason::DeadlinePassed,
        Some("rejected") => NotRunReason::Rejected,
        _ => NotRunReason::Shed,
    };
    let retry_after =
        parse_header(headers, header_names::RETRY_AFTER_MS).map(Duration::from_millis);
    CallFailure::NotRun { reason, retry_after }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}
