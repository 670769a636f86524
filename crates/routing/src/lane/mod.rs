//! Choice of upstreams for the calls of one route, from what this node itself sees of them.
//!
//! Meant for upstreams that answer one request a connection and that many nodes share.

mod call_pace;
mod lane_upstream;
mod retry_window;
mod route_router;
mod service_lane;
mod spent_marks;
mod upstream_record;
mod upstream_registry;
mod waiting_order;

pub use call_pace::{CallPace, RoutePace};
pub use retry_window::{RetryBounds, RetryWindow};
pub use route_router::{RouteRouter, RouteTerms};
pub use service_lane::{LaneReport, ServiceLane};
pub use spent_marks::SpentMarks;
pub use upstream_record::{UpstreamPhase, UpstreamRecord};
pub use upstream_registry::{RecordChange, UpstreamRegistry};
pub use waiting_order::WaitingOrder;
