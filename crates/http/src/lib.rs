//! HTTP/1.1 listeners that drop a request's handler when its caller disconnects.

mod connection_tracker;
mod http_listener;

pub use connection_tracker::ConnectionTracker;
pub use http_listener::{HttpListener, ListenerContext};
