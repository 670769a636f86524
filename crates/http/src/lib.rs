//! HTTP/1.1 listeners that drop a request's handler when its caller disconnects, and the bodies of requests.

mod connection_tracker;
mod http_listener;
mod request_body;

pub use connection_tracker::ConnectionTracker;
pub use http_listener::{HttpListener, ListenerContext};
pub use request_body::{BodyError, BodyLimits, receive_body};
