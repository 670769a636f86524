//! HTTP interface for callers: address requests and queries.

mod address_answer;
mod caller_server;
mod http_reply;
mod query_request;
mod request_limiter;

pub(crate) use address_answer::{AddressAnswer, AddressEntry, SessionGrant};
pub(crate) use caller_server::CallerServer;
