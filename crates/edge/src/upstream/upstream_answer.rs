//! A complete answer of an upstream.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

/// A complete answer that belongs to the request it was sent for.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamAnswer {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers, without those that concern only the connection.
    pub(crate) headers: HeaderMap,
    /// The upstream's signature.
    pub(crate) signature: Option<HeaderValue>,
    /// Its whole body.
    pub(crate) body: Bytes,
}
