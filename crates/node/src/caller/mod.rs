//! HTTP towards callers: address questions and queries.

mod address_answer;
mod caller_server;
mod http_reply;
mod query_request;
mod request_gate;

pub(crate) use address_answer::{AddressAnswer, AddressEntry, SessionGrant};
pub(crate) use caller_server::CallerServer;
