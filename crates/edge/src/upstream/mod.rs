//! Calls and connections to upstreams.

mod announcements;
mod call_task;
mod connection_pool;
mod connection_pools;
mod open_connection;
mod upstream_reply;

pub(crate) use call_task::{CallResult, CallSpec, CallTemplate, spawn_call};
pub(crate) use connection_pools::ConnectionPools;
pub(crate) use upstream_reply::UpstreamReply;
