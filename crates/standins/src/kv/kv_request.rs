//! Parsing of requests.

use std::io;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, body::Incoming};
use mux_store::{LeaseId, ValueVersion, memory::KvWrite};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TxnBody {
    #[serde(default)]
    pub(super) expected_rev: Vec<ExpectedRevision>,
    #[serde(default)]
    pub(super) writes: Vec<KeyWrite>,
    #[serde(default)]
    pub(super) deletes: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ExpectedRevision {
    pub(super) key: String,
    pub(super) revision: ValueVersion,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct KeyWrite {
    pub(super) key: String,
    pub(super) value: String,
    #[serde(default)]
    pub(super) lease_id: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct LeaseBody {
    pub(super) ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct EntryBody {
    pub(super) key: String,
    pub(super) value: Option<String>,
}

#[derive(Debug, Deserialize)]
pub(super) struct RestoreBody {
    /// Age of the copy that is restored, in milliseconds.
    pub(super) age_ms: u64,
}

/// Received request.
#[derive(Debug)]
pub(super) struct KvRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) body: Bytes,
}

impl KvRequest {
    pub(super) async fn read(request: Request<Incoming>) -> io::Result<Self> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or_default().to_owned();
        Ok(Self { method: head.method, path, query, body })
    }

    pub(super) fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decoded(value)).next()
    }

    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    pub(super) fn number_after_prefix(&self, prefix: &str) -> Option<u64> {
        self.path.strip_prefix(prefix)?.parse().ok()
    }

    pub(super) fn is_delete_only(&self) -> bool {
        let body = serde_json::from_slice::<TxnBody>(&self.body);
        body.is_ok_and(|it| it.writes.is_empty() && !it.deletes.is_empty())
    }
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let pair: Vec<u8> = match byte {
            b'%' => rest.by_ref().take(2).collect(),
            _ => Vec::new(),
        };
        let code = std::str::from_utf8(&pair).ok().and_then(|it| u8::from_str_radix(it, 16).ok());
        bytes.push(code.unwrap_or(byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub(super) fn decode_write(write: KeyWrite) -> Option<KvWrite> {
    let value = String::from_utf8(STANDARD.decode(&write.value).ok()?).ok()?;
    let lease = (write.lease_id != 0).then_some(LeaseId(write.lease_id));
    Some(KvWrite { key: write.key, value, lease })
}
