//! Rules of the lanes: who is called, what is not called, and what is kept of upstreams.

mod choice;
mod connections;
mod fixtures;
mod latency_estimator;
mod overload;
mod priority_arbiter;
mod registry;
mod retry_budget;
mod spent_budget_markers;
