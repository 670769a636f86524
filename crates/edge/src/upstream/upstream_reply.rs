//! A complete reply of an upstream.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

/// A complete reply that was verified to belong to its request.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamReply {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// The upstream's signature of the reply.
    pub(crate) signature: Option<HeaderValue>,
    /// The complete body, which counts in the memory for replies.
    pub(crate) body: Bytes,
}
