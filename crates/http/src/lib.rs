//! Listeners for HTTP/1.1 whose handlers end with their callers.

mod connection_gate;
mod http_listener;

pub use connection_gate::ConnectionGate;
pub use http_listener::{HttpListener, ListenerHost};
