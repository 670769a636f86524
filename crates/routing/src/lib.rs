//! Replica choice, limits and budgets, by what this node itself sees.

mod availability;
pub mod balancer;
mod call_accounts;
mod candidate_survey;
mod concurrency_limit;
mod hedge_timer;
mod latency_average;
mod latency_baseline;
mod latency_window;
mod load_budget;
mod overload_meter;
mod query_admission;
mod replica_router;
mod router_report;
mod router_settings;
mod service_router;
mod slot_share;
mod slot_wait;
mod upstream_health;
mod upstream_place;
mod upstream_state;
mod upstream_table;

pub use replica_router::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, QueryRefusal, ReplicaRouter, RoutingPolicy,
    UpstreamHint,
};
pub use router_report::{RouterCounts, RouterReport, UpstreamCondition, UpstreamReport};
pub use service_router::ServiceRouter;
pub use slot_share::SlotShare;
pub use upstream_place::UpstreamPlace;
