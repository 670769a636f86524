//! Listeners for callers: requests, the address question, readiness and metrics.

mod front_server;
mod hop_headers;
mod side_servers;

pub(crate) use front_server::serve_front;
pub(crate) use hop_headers::strip_hop_headers;
pub(crate) use side_servers::{serve_directory, serve_metrics, serve_readiness};
