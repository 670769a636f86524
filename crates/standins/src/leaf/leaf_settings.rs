//! Settings of the upstream test double.

use std::net::SocketAddr;

use mux_model::AvailabilityZone;
use mux_upstream::HeldSnapshot;
use serde::{Deserialize, Serialize};

/// Settings file of a process that runs one or more upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LeafFile {
    /// The upstreams.
    pub(crate) leaves: Vec<LeafSettings>,
}

/// Settings of one upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LeafSettings {
    /// Address for calls; also serves control requests, whose connections count towards
    /// `connections`.
    pub(crate) listen: SocketAddr,
    /// Address for control requests; not subject to `connections`, `connect_cost_ms` or `silence`.
    pub(crate) control_listen: Option<SocketAddr>,
    /// Availability zone.
    pub(crate) availability_zone: AvailabilityZone,
    /// Requests processed concurrently.
    #[serde(default = "defaults::slots")]
    pub(crate) slots: usize,
    /// Requests that may wait for a slot; further ones are shed.
    #[serde(default = "defaults::queue")]
    pub(crate) queue: usize,
    /// Maximum number of open connections; further ones are closed.
    #[serde(default = "defaults::connections")]
    pub(crate) connections: usize,
    /// Delay before a new connection is served, in milliseconds.
    #[serde(default)]
    pub(crate) connect_cost_ms: u64,
    /// Service time of a request.
    #[serde(default)]
    pub(crate) latency: LatencySettings,
    /// Seed of the random service times and faults.
    #[serde(default)]
    pub(crate) seed: u64,
    /// Number of requests after the start that are slow, as with a cold cache.
    #[serde(default)]
    pub(crate) cold_calls: u64,
    /// Factor by which the service time of those requests is multiplied.
    #[serde(default = "defaults::cold_factor")]
    pub(crate) cold_factor: f64,
    /// Whether calls are counted by request ID or query key, and shard (see `CallCounts`).
    #[serde(default)]
    pub(crate) record_calls: bool,
    /// Key of the queries that end the process when it runs them.
    #[serde(default)]
    pub(crate) crash_key: Option<String>,
    /// Snapshots held.
    pub(crate) snapshots: Vec<HeldSnapshot>,
}

/// Service time of a request once it has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LatencySettings {
    /// Median, in milliseconds.
    pub(crate) median_ms: f64,
    /// 99th percentile, in milliseconds.
    pub(crate) p99_ms: f64,
    /// Share of straggling requests, 0 to 1.
    pub(crate) straggler_share: f64,
    /// Service time of a straggling request, in milliseconds.
    pub(crate) straggler_ms: f64,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self { median_ms: 4.0, p99_ms: 12.0, straggler_share: 0.0, straggler_ms: 0.0 }
    }
}

/// Change of an upstream's behaviour; fields left out keep their value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LeafControl {
    /// Snapshots held.
    pub(crate) snapshots: Option<Vec<HeldSnapshot>>,
    /// Whether new requests are rejected because the upstream is draining.
    pub(crate) draining: Option<bool>,
    /// Share of requests shed regardless of load, 0 to 1.
    pub(crate) shed_rate: Option<f64>,
    /// Share of requests that run and then fail, 0 to 1.
    pub(crate) error_rate: Option<f64>,
    /// Share of replies truncated, 0 to 1.
    pub(crate) cut_rate: Option<f64>,
    /// Number reported as requests in flight; if negative, the actual number.
    pub(crate) reported_in_flight: Option<i64>,
    /// Service time of a request.
    pub(crate) latency: Option<LatencySettings>,
    /// Connections to silence.
    pub(crate) silence: Option<SilenceMode>,
}

/// Connections that stay open but transfer no bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SilenceMode {
    /// Silences no further connections; those silenced earlier stay silent.
    Off,
    /// Silences the connections open now.
    Open,
    /// Silences the connections open now and all new ones.
    All,
}

mod defaults {
    pub(super) fn slots() -> usize {
        2
    }

    pub(super) fn queue() -> usize {
        8
    }

    pub(super) fn connections() -> usize {
        25
    }

    pub(super) fn cold_factor() -> f64 {
        1.0
    }
}
