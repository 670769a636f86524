//! A route: the requests that it matches, their destination and their handling.

use std::time::Duration;

use mux_model::ServiceName;
use serde::{Deserialize, Serialize};

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionSemantics {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request may be executed at most once for each attempt of its caller.
    AtMostOnce,
}

/// One service of a split route, with its weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the split; not negative.
    pub weight: f64,
}

/// Shards that a query is sent to, and how their results form the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardSet {
    /// Services, one per shard.
    pub services: Vec<ServiceName>,
    /// Maximum number of records in an answer.
    pub record_count: usize,
    /// Fraction of the shards, 0 to 1, below which the query fails.
    pub minimum_coverage: f64,
}

/// Destination of the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// One upstream of this service.
    Service(ServiceName),
    /// One upstream of one of these services, selected by weight.
    Split(Vec<WeightedService>),
    /// One upstream of each shard.
    Shards(ShardSet),
}

/// Route of requests, matched by host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub execution: ExecutionSemantics,
    /// Maximum time until a request is answered.
    pub time_limit: Duration,
    /// Target latency of answers.
    pub latency_target: Duration,
    /// Priority of the route's calls for the connections of an upstream; zero is the highest.
    pub rank: u32,
    /// Maximum number of calls of one request to the upstreams of one service; calls that provably
    /// did not run are not counted.
    pub max_calls: u32,
    /// Whether requests need no key although there are workspaces. They belong to none.
    pub is_key_exempt: bool,
    /// Destination of the requests.
    pub target: RouteTarget,
}
