//! HTTP replies.

use std::io;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use mux_store::{StoredValue, ValueVersion, memory::KvEvent};
use serde::Serialize;
use serde_json::{Value, json};

use super::FaultPlan;

/// HTTP reply.
pub(super) type Reply = Response<Full<Bytes>>;

pub(super) fn item(key: &str, stored: &StoredValue) -> Value {
    let value = STANDARD.encode(&stored.value);
    json!({ "Key": key, "Value": value, "Revision": stored.version })
}

pub(super) fn events(changes: &[KvEvent], version: ValueVersion) -> Reply {
    let event = |it: &KvEvent| match &it.value {
        Some(value) => {
            json!({ "Key": it.key, "Value": STANDARD.encode(value), "Revision": it.version })
        }
        None => json!({ "Key": it.key, "Revision": it.version, "Removed": true }),
    };
    let events: Vec<_> = changes.iter().map(event).collect();
    ok(&json!({ "events": events, "AtRev": version }))
}

pub(super) fn reply_while_down(faults: &FaultPlan) -> io::Result<Reply> {
    if faults.close_when_down {
        return Err(io::Error::other("connection closed by fault injection"));
    }
    Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})))
}

pub(super) fn ok<T: Serialize>(body: &T) -> Reply {
    reply(StatusCode::OK, body)
}

pub(super) fn bad_request() -> Reply {
    reply(StatusCode::BAD_REQUEST, &json!({}))
}

pub(super) fn not_found() -> Reply {
    reply(StatusCode::NOT_FOUND, &json!({}))
}

pub(super) fn reply<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let bytes = match status {
        StatusCode::NO_CONTENT => Vec::new(),
        _ => serde_json::to_vec(body).unwrap_or_default(),
    };
    let mut reply = Response::new(Full::new(Bytes::from(bytes)));
    *reply.status_mut() = status;
    reply
}
