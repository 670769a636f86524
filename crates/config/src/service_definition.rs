//! What operators say about one query service.

use mux_model::{AvailabilityZone, ServiceName, SnapshotId, UpstreamId};
use serde::{Deserialize, Serialize};

/// A query service as operators define it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDefinition {
    /// Name of the service.
    pub name: ServiceName,
    /// Upstreams that hold the shards.
    pub upstreams: Vec<UpstreamEntry>,
    /// Where the shard map comes from.
    #[serde(default)]
    pub shard_map: ShardMapSource,
    /// Whether requests may be repeated without harm.
    #[serde(default = "defaults::idempotent")]
    pub idempotent: bool,
    /// Time after which an answer that meets `coverage_target` is sent, in milliseconds.
    #[serde(default = "defaults::latency_target_ms")]
    pub latency_target_ms: u64,
    /// Longest time that a query may take, in milliseconds.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: u64,
    /// Share of shards, 0 to 1, with which an answer is sent once the latency target is near.
    #[serde(default = "defaults::coverage_target")]
    pub coverage_target: f64,
    /// Share of shards, 0 to 1, below which no answer is given.
    #[serde(default = "defaults::coverage_minimum")]
    pub coverage_minimum: f64,
    /// Limits.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Hedging.
    #[serde(default)]
    pub hedging: HedgeSettings,
}

/// One upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Address on which the upstream accepts calls.
    pub address: UpstreamId,
    /// Availability zone of the upstream.
    pub availability_zone: AvailabilityZone,
}

/// Where a service's shard map comes from.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "source", deny_unknown_fields)]
pub enum ShardMapSource {
    /// From the status that the upstreams report.
    #[default]
    Learned,
    /// Set by the operator.
    Fixed {
        /// The snapshot that the upstreams serve.
        snapshot: SnapshotId,
        /// Replicas of each shard, in shard order.
        shards: Vec<Vec<UpstreamId>>,
    },
}

/// Limits of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLimits {
    /// Requests that one upstream works on at once.
    pub slots_per_upstream: u32,
    /// Connections that one upstream accepts from all nodes together.
    pub connections_per_upstream: u32,
    /// Connections of each upstream that the nodes leave unused together.
    pub connection_reserve: u32,
    /// Queries that one node works on at once for the service.
    pub queries_in_flight: u32,
    /// How the number of calls in flight to one upstream is limited.
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
    /// The limit follows the latency and the refusals that the node sees.
    Adaptive,
    /// No limit.
    Unlimited,
}

/// Hedging of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeSettings {
    /// When a second replica is asked.
    pub mode: HedgeMode,
    /// Quantile of the measured call latency after which a second replica is asked, 0 to 1.
    pub quantile: f64,
    /// Delay of `HedgeMode::Fixed`, in milliseconds.
    pub fixed_delay_ms: u64,
    /// Calls beyond one per shard, in percent of first calls, that hedges and retries may add.
    /// Not applied to `HedgeMode::Fixed`.
    pub budget_percent: f64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self { mode: HedgeMode::Adaptive, quantile: 0.95, fixed_delay_ms: 20, budget_percent: 4.0 }
    }
}

/// When a second replica is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HedgeMode {
    /// After a measured quantile of call latency, within the budget.
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
