//! Pool of HTTP/2 connections to upstreams, and the calls made on them.

mod call_reply;
mod call_request;
mod dial;
mod dial_backoff;
mod node_reach;
mod pool_report;
mod pool_settings;
mod process_probe;
mod stream_fault;
mod upstream_call;
mod upstream_connection;
mod upstream_pool;
mod upstream_state;
mod watched_stream;

pub use node_reach::NodeReach;
pub use pool_report::{PoolReport, UpstreamReport};
pub use pool_settings::PoolSettings;
pub use process_probe::{DialResult, ProcessProbe, dial};
pub use upstream_call::{CallHeader, HeldSnapshot, UpstreamReply, UpstreamStatus, header_names};
pub use upstream_pool::UpstreamPool;
