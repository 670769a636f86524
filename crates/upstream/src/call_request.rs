//! Construction of the HTTP requests to upstreams.

use std::{fmt::Write, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Uri,
    header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, InvalidHeaderValue},
};
use mux_model::RequestId;

use crate::{CallHeader, header_names};

/// Body of the requests that the pool sends.
pub(crate) type RequestBody = Full<Bytes>;

/// Identity of a call in the form of header values, as sent in the request and echoed in the reply.
pub(crate) struct CallIdentity {
    pub(crate) request: HeaderValue,
    pub(crate) call: HeaderValue,
}

impl CallIdentity {
    /// Formats the identity of the call described by `header`.
    ///
    /// # Errors
    ///
    /// Never in practice: hexadecimal digits are a valid header value.
    pub(crate) fn new(header: &CallHeader) -> Result<Self, InvalidHeaderValue> {
        let mut request = format_request_id(header.request)?;
        let mut call = HeaderValue::from(header.call.0);
        // Marked as sensitive so that HPACK does not index values that never repeat.
        request.set_sensitive(true);
        call.set_sensitive(true);
        Ok(Self { request, call })
    }
}

/// Builds the request of a call.
///
/// # Errors
///
/// Fails if the name of the service is not a valid header value.
pub(crate) fn build_call_request(
    uri: Uri,
    header: &CallHeader,
    identity: &CallIdentity,
    time_left: Duration,
    body: Bytes,
) -> Result<Request<RequestBody>, InvalidHeaderValue> {
    let service = HeaderValue::from_bytes(header.service.as_str().as_bytes())?;
    let mut deadline = HeaderValue::from(deadline_millis(time_left));
    deadline.set_sensitive(true);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    let headers: &mut HeaderMap = request.headers_mut();
    headers.reserve(8);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(names::REQUEST_ID, identity.request.clone());
    headers.insert(names::CALL_ID, identity.call.clone());
    headers.insert(names::SERVICE, service);
    headers.insert(names::SNAPSHOT, HeaderValue::from(header.snapshot.0));
    headers.insert(names::DEADLINE_MS, deadline);
    Ok(request)
}

/// Builds a request for the status of an upstream.
pub(crate) fn build_status_request(uri: Uri) -> Request<RequestBody> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri;
    request
}

/// Header names as constants of the HTTP library, which need no parsing.
pub(crate) mod names {
    use super::{HeaderName, header_names};

    pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static(header_names::REQUEST_ID);
    pub(crate) const CALL_ID: HeaderName = HeaderName::from_static(header_names::CALL_ID);
    pub(crate) const SERVICE: HeaderName = HeaderName::from_static(header_names::SERVICE);
    pub(crate) const SNAPSHOT: HeaderName = HeaderName::from_static(header_names::SNAPSHOT);
    pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static(header_names::DEADLINE_MS);
}

fn format_request_id(request: RequestId) -> Result<HeaderValue, InvalidHeaderValue> {
    let mut text = String::with_capacity(32);
    // Writing to a string cannot fail.
    let _ = write!(text, "{request}");
    HeaderValue::from_maybe_shared(Bytes::from(text))
}

/// Rounds up, so that the upstream's deadline does not pass before the node's.
fn deadline_millis(time_left: Duration) -> u64 {
    u64::try_from(time_left.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
