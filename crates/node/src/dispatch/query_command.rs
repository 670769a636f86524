//! A query as received from a caller or a peer.

use bytes::Bytes;
use mux_model::{RequestId, ServiceName};
use serde::{Deserialize, Serialize};

/// A query to run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QueryCommand {
    /// Identifier of the request.
    pub(crate) request: RequestId,
    /// Name of the service.
    pub(crate) service: ServiceName,
    /// The query as JSON text, forwarded to the upstreams unchanged.
    pub(crate) body: Bytes,
    /// Time left for the query, in milliseconds; `None` stands for the service's deadline.
    pub(crate) deadline_ms: Option<u64>,
    /// Deduplication state of the request.
    #[serde(rename = "claim")]
    pub(crate) deduplication: Deduplication,
    /// Forwarding steps counted towards the limit; the node that minted the session starts again at
    /// 0, because it may have to forward the query to a home node.
    pub(crate) hops: u8,
}

/// Deduplication state, which keeps a request that is not idempotent from running twice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Deduplication {
    /// The request has no session; only idempotent requests run without one.
    #[serde(rename = "Unnamed")]
    Untracked,
    /// The node that minted the session has yet to decide whether the request runs.
    #[serde(rename = "Named")]
    Pending(SessionRequestId),
    /// The node that minted the session has recorded the request and allowed it to run.
    Recorded,
}

/// Identifies a request that is not idempotent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SessionRequestId {
    /// Session token that a node returned along with addresses.
    pub(crate) token: String,
    /// Sequence number of the request within the session; each new request has a higher one.
    pub(crate) sequence: u64,
}
