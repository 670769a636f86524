//! One query as a caller or a peer hands it to this node.

use bytes::Bytes;
use mux_model::{RequestId, ServiceName};
use serde::{Deserialize, Serialize};

/// A query to run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QueryCommand {
    /// Identity of the query.
    pub(crate) request: RequestId,
    /// Service.
    pub(crate) service: ServiceName,
    /// The query as JSON text, passed on to the upstreams as it is.
    pub(crate) body: Bytes,
    /// Time left for the query, in milliseconds; `None`: the service's own limit.
    pub(crate) deadline_ms: Option<u64>,
    /// What keeps a request that is not idempotent from running twice.
    pub(crate) claim: SessionClaim,
    /// Nodes that the query has crossed before this one.
    pub(crate) hops: u8,
}

/// What keeps a request that is not idempotent from running twice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum SessionClaim {
    /// Nothing; enough for idempotent requests.
    Unnamed,
    /// The owner of the session is yet to decide.
    Named(SessionUse),
    /// The owner of the session has recorded the request and asks for it to be run.
    Recorded,
}

/// Names a request that is not idempotent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SessionUse {
    /// Session token, from an address answer.
    pub(crate) token: String,
    /// Number of the request within the session; each new request takes a higher one.
    pub(crate) sequence: u64,
}
