//! Runs queries: admission, sessions, home nodes, the fan-out and its result.

mod fan_out_driver;
mod fan_out_runner;
mod outcome_mapping;
mod query_command;
mod query_dispatcher;
mod query_outcome;
mod service_registry;
mod service_runtime;

pub(crate) use query_command::{QueryCommand, SessionClaim, SessionUse};
pub(crate) use query_dispatcher::QueryDispatcher;
pub(crate) use query_outcome::{ProblemCode, QueryAnswer, QueryOutcome, QueryProblem, ShardBody};
pub(crate) use service_registry::ServiceRegistry;
pub(crate) use service_runtime::{RuntimeCounters, ServicePlacement, ServiceRuntime};
