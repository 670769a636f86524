//! Load balancing across the upstreams of a service, based on this node's own measurements and on
//! the load that upstreams report.
//!
//! Designed for upstreams that handle one request at a time per connection and are shared by many
//! nodes.

mod balancer_report;
mod balancer_state;
mod closed_zones;
mod cold_upstreams;
mod connection_records;
mod evacuated_zones;
mod latency_estimator;
mod lost_reservation;
mod priority_arbiter;
mod query_router;
mod rate_limit;
mod retry_budget;
mod service_balancer;
mod shared_grants;
mod spent_budget_markers;
mod tracked_upstream;
mod upstream_choice;
mod upstream_record;
mod upstream_registry;
mod warm_up;
mod zone_return;

pub use balancer_report::BalancerReport;
pub use evacuated_zones::{EvacuatedZones, ZoneEvacuation};
pub use latency_estimator::{LatencyEstimate, LatencyEstimator};
pub use lost_reservation::LostReservation;
pub use priority_arbiter::PriorityArbiter;
pub use query_router::{QueryConstraints, QueryRouter};
pub use rate_limit::{RateLimitChange, RateLimitReport};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use service_balancer::ServiceBalancer;
pub use spent_budget_markers::SpentBudgetMarkers;
pub use tracked_upstream::QuietOutcome;
pub use upstream_record::{UpstreamPhase, UpstreamRecord};
pub use upstream_registry::{RecordChange, UpstreamRegistry};
pub use warm_up::{NodePlace, WarmUpBounds, WarmUpReport, WarmUpRule};
