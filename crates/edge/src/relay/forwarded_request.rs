//! Requests that a node cut from all upstreams passes on to another one, and the answers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use mux_model::{NodeId, RevisionNumber, WorkspaceName};
use mux_quarantine::RequestFingerprint;
use serde::{Deserialize, Serialize};

use crate::upstream::is_final_status;

/// Header lines in the order in which they were received.
pub(crate) type HeaderLines = Vec<(String, Bytes)>;

/// A caller's request that another node serves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    /// The node that received it from the caller.
    pub(crate) origin: NodeId,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderLines,
    pub(crate) body: Bytes,
    /// Network address of the caller.
    pub(crate) caller: SocketAddr,
    /// Time until the final answer is due, in milliseconds.
    pub(crate) time_left_ms: u64,
    /// Time since the request was received from the caller, in milliseconds.
    pub(crate) elapsed_ms: u64,
    /// Version of the configuration that the serving node needs at least.
    pub(crate) version: RevisionNumber,
    /// Calls to each shard that may have run before.
    pub(crate) calls_made: u32,
    /// Its rank; zero is the most urgent.
    pub(crate) rank: u32,
    /// The workspace that may send it, whose key is not passed on; `None` for no workspace.
    pub(crate) workspace: Option<WorkspaceName>,
    /// Its fingerprint, with the caller's credentials.
    pub(crate) fingerprint: RequestFingerprint,
}

/// What became of a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ForwardedAnswer {
    /// The final answer.
    Final {
        status: u16,
        headers: HeaderLines,
        body: Bytes,
        /// How the request ended, for the log.
        outcome: String,
        /// Version of the configuration with which it was served.
        version: RevisionNumber,
    },
    /// No upstream has run the request or will run it.
    NotTaken {
        refusal: NotTakenReason,
        /// Time after which the node may take requests again, in milliseconds; `None` if unknown.
        retry_after_ms: Option<u64>,
    },
    /// The node was cut from upstreams while the request may have run.
    GivenUp {
        /// Calls to each shard that may have run by then.
        calls_made: u32,
    },
}

/// Why a node does not serve a request of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NotTakenReason {
    /// It is cut from upstreams itself.
    Cut,
    /// It is about to stop.
    Stopping,
    /// Its configuration is older than that of the other node.
    Outdated,
    /// It serves as many requests of other nodes as it takes.
    Busy,
}

impl NotTakenReason {
    /// Returns the reason for metrics and log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::Stopping => "stopping",
            Self::Outdated => "outdated",
            Self::Busy => "busy",
        }
    }
}

impl ForwardedRequest {
    /// Returns method, target and headers; `None` if they are malformed.
    pub(crate) fn head(&self) -> Option<(Method, Uri, HeaderMap)> {
        let method = Method::from_bytes(self.method.as_bytes()).ok()?;
        let target = self.target.parse().ok()?;
        Some((method, target, to_header_map(&self.headers)?))
    }

    /// Returns the time until the final answer is due.
    pub(crate) fn time_left(&self) -> Duration {
        Duration::from_millis(self.time_left_ms)
    }

    /// Returns the time since the request was received from the caller.
    pub(crate) fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms)
    }
}

/// Returns the status code of a final answer; `None` if `status` is none. Another status in its place
/// could contradict the signature of the answer.
pub(crate) fn to_status(status: u16) -> Option<StatusCode> {
    StatusCode::from_u16(status).ok().filter(|it| is_final_status(*it))
}

/// Returns the lines of `headers`.
pub(crate) fn to_header_lines(headers: &HeaderMap) -> HeaderLines {
    let lines = headers.iter();
    lines
        .map(|(name, it)| (name.as_str().to_owned(), Bytes::copy_from_slice(it.as_bytes())))
        .collect()
}

/// Returns the headers with these lines; `None` if one is malformed.
pub(crate) fn to_header_map(lines: &HeaderLines) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for (name, value) in lines {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
