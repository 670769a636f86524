//! Interface between the platform's wire protocol and the product.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, Uri};
use mux_model::{InstanceId, WorkspaceName};
use mux_workspaces::KeyDigest;

/// Metadata of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request as sent by the caller; replies repeat it.
    pub request_id: HeaderValue,
    /// Remaining time that the caller will wait; `None` if it sent no limit.
    pub time_left: Option<Duration>,
    /// Credentials of the caller; `None` if it sent none.
    pub caller: Option<HeaderValue>,
}

/// Error in the metadata of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestMetadataError {
    /// The request has no id.
    MissingId,
    /// The time limit is not a number.
    InvalidTimeLimit,
}

/// Metadata that a call to an upstream adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct CallMetadata<'a> {
    /// The instance that should run the request; any other instance rejects it.
    pub instance: &'a InstanceId,
    /// Remaining time after which the reply is no longer needed.
    pub time_left: Duration,
}

/// Whether the upstream ran the request, according to its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// The upstream ran the request, or does not state that it did not.
    Run,
    /// The upstream is overloaded and did not run the request.
    Shed,
    /// The upstream rejected the request as malformed and did not run it.
    Rejected,
    /// Another instance uses the address and did not run the request.
    WrongInstance,
}

/// Request of an upstream to receive no calls from this node for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuietRequest {
    /// No calls for this time.
    Period(Duration),
    /// The period cannot be decoded.
    Malformed(String),
}

/// Rate limit in an upstream's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum RateLimitStatement {
    /// Requests per second that the upstream accepts from all nodes together; not negative.
    Rate(f64),
    /// The rate cannot be decoded.
    Malformed(String),
}

/// How much longer an upstream stays cold, according to its reply.
#[derive(Debug, Clone, PartialEq)]
pub enum WarmUpStatement {
    /// Time until it is warm; zero if it is.
    TimeLeft(Duration),
    /// The time cannot be decoded, or is absurd.
    Malformed(String),
}

/// The request that a reply belongs to, according to its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyIdentity {
    /// The request that was sent.
    OwnRequest,
    /// Another request.
    OtherRequest,
    /// The reply has no id.
    Unknown,
}

/// Metadata in the head of an upstream's reply.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplyMetadata {
    /// The request that the reply belongs to.
    pub identity: ReplyIdentity,
    /// Whether the upstream ran the request; if not, the reason.
    pub kind: ReplyKind,
    /// The upstream's signature of the reply.
    pub signature: Option<HeaderValue>,
    /// Number of requests that are running or waiting at the upstream.
    pub load: Option<u32>,
    /// Whether the upstream announced that it is about to exit.
    pub is_leaving: bool,
    /// Request of an upstream that rejected the call to receive no calls for a while.
    pub quiet_request: Option<QuietRequest>,
    /// Rate limit of the upstream; `None` if it states none.
    pub rate_limit: Option<RateLimitStatement>,
    /// How much longer the upstream stays cold; `None` if it does not say.
    pub warm_up: Option<WarmUpStatement>,
}

/// A caller's request for the addresses of nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressRequest {
    /// Availability zone of the caller.
    pub zone: String,
    /// Region of the caller.
    pub region: String,
}

/// Translates between the platform's messages and the product's types; it makes no decisions.
pub trait WireProtocol: Send + Sync + 'static {
    /// Reads the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`RequestMetadataError`] if the request is malformed.
    fn read_request(headers: &HeaderMap) -> Result<RequestMetadata, RequestMetadataError>;

    /// Returns the digest of the key in a caller's credentials; `None` if they contain none.
    fn read_key(caller: &HeaderValue) -> Option<KeyDigest>;

    /// Removes the caller's credentials from a request.
    fn remove_credentials(headers: &mut HeaderMap);

    /// Replaces the name of the workspace that upstreams see; `None` for no workspace.
    fn write_workspace(headers: &mut HeaderMap, workspace: Option<&WorkspaceName>);

    /// Sets the headers of a call that carry its metadata.
    fn write_call(headers: &mut HeaderMap, metadata: &CallMetadata<'_>);

    /// Reads the metadata of a reply to the request with `request_id`.
    fn read_reply(
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &HeaderValue,
    ) -> ReplyMetadata;

    /// Removes the headers of an upstream's reply that concern only this node.
    fn remove_private_headers(headers: &mut HeaderMap);

    /// Sets the headers of an answer that was merged from the signed replies of several shards.
    fn write_merged(headers: &mut HeaderMap, signatures: &[HeaderValue], missing_shards: u32);

    /// Returns whether `uri` is that of readiness probes.
    fn is_readiness_probe(uri: &Uri) -> bool;

    /// Reads an address request; `None` if `uri` is not that of address requests.
    fn read_address_request(uri: &Uri) -> Option<AddressRequest>;

    /// Returns the body of the answer to an [`AddressRequest`].
    fn write_address_answer(addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
}
