//! Routes that callers' requests are matched against, as one version of them is in force.

mod config_belief;
mod route_diff;
mod route_rule;
mod route_table;
mod split_chooser;
mod traffic_config;

pub use config_belief::{BeliefChange, ConfigBelief};
pub use route_diff::RouteDiff;
pub use route_rule::{RepeatRule, RouteRule, RouteTarget, ShardSet, WeightedService};
pub use route_table::RouteTable;
pub use split_chooser::SplitChooser;
pub use traffic_config::{CallerBounds, TrafficConfig};
