//! Connections to upstreams and the calls made on them.

mod upstream_call;

pub use upstream_call::{CallHeader, HeldSnapshot, UpstreamReply, UpstreamStatus, header_names};
