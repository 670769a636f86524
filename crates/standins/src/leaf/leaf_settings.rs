//! Settings of the upstream stand-in.

use std::net::SocketAddr;

use mux_model::AvailabilityZone;
use mux_upstream::HeldSnapshot;
use serde::{Deserialize, Serialize};

/// Settings of one process that stands in for some upstreams.
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
    /// Address for calls; control works here too, but counts as a connection.
    pub(crate) listen: SocketAddr,
    /// Address for control only.
    pub(crate) control_listen: Option<SocketAddr>,
    /// Availability zone.
    pub(crate) availability_zone: AvailabilityZone,
    /// Requests worked on at once.
    #[serde(default = "defaults::slots")]
    pub(crate) slots: usize,
    /// Requests that wait for a slot before further ones are shed.
    #[serde(default = "defaults::queue")]
    pub(crate) queue: usize,
    /// Connections accepted; further ones are closed.
    #[serde(default = "defaults::connections")]
    pub(crate) connections: usize,
    /// Time before a new connection is served, in milliseconds.
    #[serde(default)]
    pub(crate) connect_cost_ms: u64,
    /// Time that a request takes.
    #[serde(default)]
    pub(crate) latency: LatencySettings,
    /// Seed of everything random.
    #[serde(default)]
    pub(crate) seed: u64,
    /// Requests after the start that take longer.
    #[serde(default)]
    pub(crate) cold_calls: u64,
    /// How many times as long those requests take.
    #[serde(default = "defaults::cold_factor")]
    pub(crate) cold_factor: f64,
    /// Whether the calls of each request are recorded by name.
    #[serde(default)]
    pub(crate) record_calls: bool,
    /// Snapshots held.
    pub(crate) snapshots: Vec<HeldSnapshot>,
}

/// Time that a request takes once it has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LatencySettings {
    /// Median, in milliseconds.
    pub(crate) median_ms: f64,
    /// 99th percentile, in milliseconds.
    pub(crate) p99_ms: f64,
    /// Share of stragglers, 0 to 1.
    pub(crate) straggler_share: f64,
    /// Time that a straggler takes, in milliseconds.
    pub(crate) straggler_ms: f64,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self { median_ms: 4.0, p99_ms: 12.0, straggler_share: 0.0, straggler_ms: 0.0 }
    }
}

/// Change of an upstream's behaviour; what is left out stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LeafControl {
    /// Snapshots held.
    pub(crate) snapshots: Option<Vec<HeldSnapshot>>,
    /// Whether new requests are refused because the upstream is leaving.
    pub(crate) draining: Option<bool>,
    /// Share of requests shed without need, 0 to 1.
    pub(crate) shed_rate: Option<f64>,
    /// Share of requests that run and then fail, 0 to 1.
    pub(crate) error_rate: Option<f64>,
    /// Share of replies cut off half-way, 0 to 1.
    pub(crate) cut_rate: Option<f64>,
    /// Number reported as requests in flight; below zero: the true one.
    pub(crate) reported_in_flight: Option<i64>,
    /// Time that a request takes.
    pub(crate) latency: Option<LatencySettings>,
    /// Which connections move no more bytes, from now on.
    pub(crate) silence: Option<SilenceMode>,
}

/// Which connections stay open without moving bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SilenceMode {
    /// None of the new ones; those silenced earlier stay silent.
    Off,
    /// Those open now.
    Open,
    /// Those open now and all new ones.
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
