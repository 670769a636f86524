//! Settings of the load generator.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

/// Settings of one load run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadSettings {
    /// Addresses of nodes; with `ask`, only used until the first address reply.
    pub(crate) nodes: Vec<SocketAddr>,
    /// Whether addresses are fetched from the nodes and refreshed after their lifetime.
    #[serde(default)]
    pub(crate) ask: bool,
    /// Availability zone sent with address requests.
    pub(crate) availability_zone: Option<AvailabilityZone>,
    /// Caller name sent with address requests.
    #[serde(default = "defaults::caller")]
    pub(crate) caller: String,
    /// Service that the queries address.
    pub(crate) service: ServiceName,
    /// Queries per second.
    pub(crate) rate: f64,
    /// Distribution of the times between queries.
    #[serde(default)]
    pub(crate) arrivals: ArrivalProcess,
    /// Length of the measured phase, in milliseconds.
    pub(crate) duration_ms: u64,
    /// Length of the preceding warm-up, whose queries are not measured, in milliseconds.
    #[serde(default)]
    pub(crate) warmup_ms: u64,
    /// Seed of the arrival times and of the address selection; also a part of the query keys.
    #[serde(default)]
    pub(crate) seed: u64,
    /// Deadline of each query, in milliseconds.
    #[serde(default = "defaults::deadline_ms")]
    pub(crate) deadline_ms: u64,
    /// Padding added to each query.
    #[serde(default)]
    pub(crate) payload: String,
}

/// Distribution of the times between queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ArrivalProcess {
    /// Exponentially distributed times.
    #[default]
    Poisson,
    /// Equal times.
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
