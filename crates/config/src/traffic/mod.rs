//! Routes that callers' requests are matched against, and the active version.

mod active_routes;
mod route_diff;
mod route_rule;
mod route_table;
mod traffic_config;
mod weighted_round_robin;

pub use active_routes::{ActivationOutcome, ActiveRoutes};
pub use route_diff::RouteDiff;
pub use route_rule::{ExecutionSemantics, RouteRule, RouteTarget, ShardSet, WeightedService};
pub use route_table::RouteTable;
pub use traffic_config::{RequestLimits, TrafficConfig, WarmUpLimit};
pub use weighted_round_robin::WeightedRoundRobin;
