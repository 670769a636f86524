//! Settings of the load tool.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

/// Settings of one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadSettings {
    /// Addresses of nodes; with `ask`, only the first questions go to them.
    pub(crate) nodes: Vec<SocketAddr>,
    /// Whether the nodes are asked which addresses to use, again after each lifetime.
    #[serde(default)]
    pub(crate) ask: bool,
    /// Availability zone that is stated with the question.
    pub(crate) availability_zone: Option<AvailabilityZone>,
    /// Name of the caller that is stated with the question.
    #[serde(default = "defaults::caller")]
    pub(crate) caller: String,
    /// Service.
    pub(crate) service: ServiceName,
    /// Queries per second.
    pub(crate) rate: f64,
    /// Spacing of the queries.
    #[serde(default)]
    pub(crate) arrivals: ArrivalProcess,
    /// Time in which queries are sent, in milliseconds.
    pub(crate) duration_ms: u64,
    /// Time before that in which queries are sent but not counted, in milliseconds.
    #[serde(default)]
    pub(crate) warmup_ms: u64,
    /// Seed of the arrivals and of the choice of address.
    #[serde(default)]
    pub(crate) seed: u64,
    /// Deadline of each query, in milliseconds.
    #[serde(default = "defaults::deadline_ms")]
    pub(crate) deadline_ms: u64,
    /// Text that pads each query.
    #[serde(default)]
    pub(crate) payload: String,
}

/// Spacing of queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ArrivalProcess {
    /// Exponentially distributed gaps.
    #[default]
    Poisson,
    /// Equal gaps.
    Fixed,
}

mod defaults {
    pub(super) fn caller() -> String {
        "load".to_owned()
    }

    pub(super) fn deadline_ms() -> u64 {
        1_000
    }
}
