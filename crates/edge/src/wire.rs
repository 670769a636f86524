//! What an adapter translates between the wire and the product.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, Uri};
use mux_model::InstanceId;

/// What a caller says about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identity of the request, as the caller wrote it; replies repeat it.
    pub request_id: HeaderValue,
    /// Time that the caller will wait; `None` if it does not say.
    pub time_left: Option<Duration>,
}

/// Why a request cannot be served as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestMetadataError {
    /// It has no identity.
    MissingId,
    /// Its time limit is not a number.
    InvalidTimeLimit,
}

/// What a call to an upstream says besides the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct CallMetadata<'a> {
    /// The instance that is to run the request; any other rejects it.
    pub instance: &'a InstanceId,
    /// Time after which the reply is of no use.
    pub time_left: Duration,
}

/// What a reply proves about the execution of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// The upstream ran the request, or does not say otherwise.
    Run,
    /// The upstream is at its limit and did not run the request.
    Shed,
    /// The upstream found the request malformed and did not run it.
    Rejected,
    /// Another instance has the address; it did not run the request.
    WrongInstance,
}

/// What an upstream says in the head of its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyMetadata {
    /// Whether the reply is to the request that was sent.
    pub is_for_request: bool,
    /// What it proves.
    pub kind: ReplyKind,
    /// The upstream's signature of the reply.
    pub signature: Option<HeaderValue>,
    /// Requests that the upstream has, running and waiting.
    pub load: Option<u32>,
}

/// A caller's question which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressRequest {
    /// Availability zone of the caller.
    pub zone: String,
    /// Region of the caller.
    pub region: String,
}

/// Translates heads and bodies; decides nothing.
pub trait WireProtocol: Send + Sync + 'static {
    /// Reads what a caller says about its request.
    ///
    /// # Errors
    ///
    /// Returns [`RequestMetadataError`] if the request is malformed.
    fn read_request(headers: &HeaderMap) -> Result<RequestMetadata, RequestMetadataError>;

    /// Sets the headers of a call that the system itself sets.
    fn write_call(headers: &mut HeaderMap, terms: &CallMetadata<'_>);

    /// Reads the head of a reply to the request with `request_id`.
    fn read_reply(
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &HeaderValue,
    ) -> ReplyMetadata;

    /// Sets the headers of an answer that was merged from the signed parts of several shards.
    fn write_merged(headers: &mut HeaderMap, signatures: &[HeaderValue], missing_shards: u32);

    /// Returns whether `uri` asks if the node is ready.
    fn is_readiness_probe(uri: &Uri) -> bool;

    /// Reads the question which addresses to use; `None` if `uri` is another one.
    fn read_address_request(uri: &Uri) -> Option<AddressRequest>;

    /// Returns the body of the answer to an [`AddressRequest`].
    fn write_address_answer(addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
}
