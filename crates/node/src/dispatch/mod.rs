//! Runs queries: admission, sessions, forwarding to home nodes, and the fan-out to upstreams.

mod fan_out_driver;
mod outcome_mapping;
mod query_command;
mod query_dispatcher;
mod query_executor;
mod query_outcome;
mod service_registry;
mod service_runtime;

pub(crate) use query_command::{Deduplication, QueryCommand, SessionRequestId};
pub(crate) use query_dispatcher::QueryDispatcher;
pub(crate) use query_outcome::{ProblemCode, QueryAnswer, QueryOutcome, QueryProblem, ShardBody};
pub(crate) use service_registry::ServiceRegistry;
pub(crate) use service_runtime::{RuntimeCounters, ServicePlacement, ServiceRuntime};
