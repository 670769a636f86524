//! HTTP/1.1 listeners that drop a request's handler when its caller disconnects, and the bodies of requests.

mod connection_metrics;
mod connection_table;
mod connection_tracker;
mod descriptor_limit;
mod http_listener;
mod request_body;

pub use connection_metrics::ConnectionMetrics;
pub use connection_table::ConnectionCounts;
pub use connection_tracker::ConnectionTracker;
pub use descriptor_limit::{connections_within, process_descriptors};
pub use http_listener::{HttpListener, ListenerContext, buffer_bytes};
pub use request_body::{BodyError, BodyLimits, receive_body};
