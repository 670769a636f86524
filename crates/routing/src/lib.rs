//! Replica selection, concurrency limits and hedge and retry budgets, based on this node's own
//! measurements and on the load that upstreams report.

mod availability;
pub mod balancer;
mod call_accounting;
mod call_reservation;
mod candidate_selector;
mod concurrency_limit;
mod extra_load_budget;
mod hedge_delay_estimator;
mod latency_average;
mod latency_baseline;
mod latency_window;
mod overload_detector;
mod query_admission;
pub mod reach;
mod replica_router;
mod router_report;
mod router_settings;
mod service_router;
mod slot_share;
mod slot_wait_totals;
mod upstream_health;
mod upstream_location;
mod upstream_state;
mod upstream_table;

pub use call_reservation::{CallReservation, UpstreamKey, UpstreamSlot};
pub use replica_router::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, QueryRefusal, ReplicaRouter, RoutingPolicy,
    UpstreamHint,
};
pub use router_report::{RouterCounts, RouterReport, UpstreamCondition, UpstreamReport};
pub use service_router::ServiceRouter;
pub use slot_share::SlotShare;
pub use upstream_location::UpstreamLocation;
