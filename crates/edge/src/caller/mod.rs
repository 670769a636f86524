//! HTTP servers of a node: callers' requests, address requests, readiness probes and metrics.

mod auxiliary_servers;
mod hop_by_hop_headers;
mod request_server;

pub(crate) use auxiliary_servers::{serve_directory, serve_metrics, serve_readiness};
pub(crate) use hop_by_hop_headers::strip_hop_by_hop_headers;
pub(crate) use request_server::serve_request;
