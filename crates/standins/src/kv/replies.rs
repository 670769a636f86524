//! HTTP replies.

use std::io;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use mux_store::{StoredValue, ValueVersion, memory::KvEvent};
use serde::Serialize;
use serde_json::{Value, json, value::RawValue};

use super::FaultPlan;

/// Begin of a value that listings and watches contain as the JSON text that follows, in place of the whole
/// item: what a faulty writer or store may leave there.
const RAW_ITEM_PREFIX: &str = "raw item: ";

/// HTTP reply.
pub(super) type Reply = Response<Full<Bytes>>;

/// A page of a listing.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct PageBody {
    #[serde(rename = "items")]
    pub(super) items: Vec<Box<RawValue>>,
    pub(super) more_pages: bool,
    pub(super) at_rev: ValueVersion,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct EventsBody {
    #[serde(rename = "events")]
    events: Vec<Box<RawValue>>,
    at_rev: ValueVersion,
}

pub(super) fn item(key: &str, stored: &StoredValue) -> Value {
    let value = STANDARD.encode(&stored.value);
    json!({ "Key": key, "Value": value, "Revision": stored.version })
}

/// Returns the item of a listing or a watch; `None` if the text after [`RAW_ITEM_PREFIX`] is no JSON.
pub(super) fn listed_item(key: &str, stored: &StoredValue) -> Option<Box<RawValue>> {
    let text = match stored.value.strip_prefix(RAW_ITEM_PREFIX) {
        Some(text) => text.to_owned(),
        None => item(key, stored).to_string(),
    };
    RawValue::from_string(text).ok()
}

pub(super) fn events(changes: &[KvEvent], version: ValueVersion) -> Reply {
    let event = |it: &KvEvent| match &it.value {
        Some(value) => {
            listed_item(&it.key, &StoredValue { value: value.clone(), version: it.version })
        }
        None => {
            let removal = json!({ "Key": it.key, "Revision": it.version, "Removed": true });
            RawValue::from_string(removal.to_string()).ok()
        }
    };
    let events = changes.iter().filter_map(event).collect();
    ok(&EventsBody { events, at_rev: version })
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
