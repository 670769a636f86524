//! Listeners for HTTP/1.1 whose handlers end with their callers.

mod http_listener;

pub use http_listener::{HttpListener, ListenerHost};
