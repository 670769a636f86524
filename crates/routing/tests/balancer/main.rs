//! Tests of the load balancer: choice of upstreams, rejection of calls and state of upstreams.

mod choice;
mod connections;
mod evacuation;
mod fixtures;
mod latency_estimator;
mod overload;
mod priority_arbiter;
mod query_router;
mod rate_limit;
mod registry;
mod reservations;
mod retry_budget;
mod spent_budget_markers;
mod test_balancer;
mod warm_up;
