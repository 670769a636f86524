//! Listeners for HTTP/1.1 whose handlers end with their callers.

mod connection_tracker;
mod http_listener;

pub use connection_tracker::ConnectionTracker;
pub use http_listener::{HttpListener, ListenerContext};
