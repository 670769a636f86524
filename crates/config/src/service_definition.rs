//! Definition of a query service, as operators configure it.

use mux_model::{AvailabilityZone, ServiceName, SnapshotId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Configuration of one query service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDefinition {
    /// Name of the service.
    pub name: ServiceName,
    /// Upstreams that serve the shards.
    pub upstreams: Vec<UpstreamEntry>,
    /// Source of the shard map.
    #[serde(default)]
    pub shard_map: ShardMapSource,
    /// Whether requests are idempotent, so that a call that may have run can be hedged or
    /// repeated.
    #[serde(default = "defaults::idempotent")]
    pub idempotent: bool,
    /// Time after which an answer that meets `coverage_target` is sent, in milliseconds.
    #[serde(default = "defaults::latency_target_ms")]
    pub latency_target_ms: u64,
    /// Maximum duration of a query, in milliseconds.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: u64,
    /// Fraction of shards, 0 to 1, that suffices for an answer once the latency target
    /// has passed.
    #[serde(default = "defaults::coverage_target")]
    pub coverage_target: f64,
    /// Fraction of shards, 0 to 1, below which the query fails.
    #[serde(default = "defaults::coverage_minimum")]
    pub coverage_minimum: f64,
    /// Load and connection limits.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Hedging of calls.
    #[serde(default)]
    pub hedging: HedgeSettings,
}

/// One upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Address and port that accept calls.
    pub address: UpstreamId,
    /// Availability zone of the upstream.
    pub availability_zone: AvailabilityZone,
}

/// Source of a service's shard map.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "source", deny_unknown_fields)]
pub enum ShardMapSource {
    /// Taken from the status that the upstreams report.
    #[default]
    Learned,
    /// Set by the operator.
    Fixed {
        /// Snapshot that the upstreams serve.
        snapshot: SnapshotId,
        /// Replicas of each shard, in shard order.
        shards: Vec<Vec<UpstreamId>>,
    },
}

/// Load and connection limits of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLimits {
    /// Number of requests that one upstream can process at a time.
    pub slots_per_upstream: u32,
    /// Total number of connections that one upstream accepts from all nodes.
    pub connections_per_upstream: u32,
    /// Number of those connections that the nodes leave unused in total.
    pub connection_reserve: u32,
    /// Maximum number of queries of the service that one node processes at a time.
    pub queries_in_flight: u32,
    /// Limit of the calls in flight to one upstream.
    pub concurrency: ConcurrencyMode,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            slots_per_upstream: 2,
            connections_per_upstream: 25,
            connection_reserve: 4,
            queries_in_flight: 256,
            concurrency: ConcurrencyMode::Adaptive,
        }
    }
}

/// How the number of calls in flight to one upstream is limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConcurrencyMode {
    /// The limit adapts to the latency and the refusals that the node observes.
    Adaptive,
    /// No limit.
    Unlimited,
}

/// Hedging settings of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeSettings {
    /// When a hedge is sent to another replica.
    pub mode: HedgeMode,
    /// Quantile, 0 to 1, of the measured call latency after which a hedge is sent in
    /// `HedgeMode::Adaptive`.
    pub quantile: f64,
    /// Delay of `HedgeMode::Fixed`, in milliseconds.
    pub fixed_delay_ms: u64,
    /// Maximum number of hedges and retries, in percent of first calls; not applied to
    /// `HedgeMode::Fixed`.
    pub budget_percent: f64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self { mode: HedgeMode::Adaptive, quantile: 0.95, fixed_delay_ms: 20, budget_percent: 4.0 }
    }
}

/// When a hedge is sent to another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HedgeMode {
    /// After a quantile of the measured call latency, within the budget.
    Adaptive,
    /// After a fixed delay, without a budget.
    Fixed,
    /// Never.
    Off,
}

mod defaults {
    pub(super) fn idempotent() -> bool {
        true
    }

    pub(super) fn latency_target_ms() -> u64 {
        150
    }

    pub(super) fn deadline_ms() -> u64 {
        1_000
    }

    pub(super) fn coverage_target() -> f64 {
        1.0
    }

    pub(super) fn coverage_minimum() -> f64 {
        0.5
    }
}
