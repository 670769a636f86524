//! One route: which requests it takes, where they go and what may be done with them.

use std::time::Duration;

use mux_model::ServiceName;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionSemantics {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once for each attempt of its caller.
    AtMostOnce,
}

/// A part of a split route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests relative to the other parts; not negative.
    pub weight: f64,
}

/// The shards that a query is sent to, and what makes its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSet {
    /// One service a shard.
    pub services: Vec<ServiceName>,
    /// Number of records in an answer.
    pub top_records: usize,
    /// Share of the shards, 0 to 1, below which there is no answer.
    pub minimum_coverage: f64,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// To one upstream of this service.
    Service(ServiceName),
    /// To one upstream of one of these services.
    Split(Vec<WeightedService>),
    /// To one upstream of each shard.
    Shards(ShardSet),
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host that requests name, in lower case and without a port.
    pub host: String,
    /// Beginning of the paths that the route takes; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub execution: ExecutionSemantics,
    /// Longest time that a request may be kept waiting.
    pub time_limit: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank among routes; zero is the most urgent.
    pub rank: u32,
    /// Most upstreams of one service that may run a request.
    pub max_calls: u32,
    /// Where requests go.
    pub target: RouteTarget,
}
