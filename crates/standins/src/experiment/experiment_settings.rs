//! Settings of the policy experiment.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{scenario::Scenario, shape::ServiceShape};

/// Settings of one experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExperimentSettings {
    /// Path of the `mustardmux` program under test.
    pub(crate) program: PathBuf,
    /// First of the loopback ports; 4000 consecutive ports are needed.
    #[serde(default = "defaults::first_port")]
    pub(crate) first_port: u16,
    /// Seeds; each combination of shape, scenario and policy is run once with each.
    #[serde(default = "defaults::seeds")]
    pub(crate) seeds: Vec<u64>,
    /// Length of the measured phase, in milliseconds.
    #[serde(default = "defaults::duration_ms")]
    pub(crate) duration_ms: u64,
    /// Length of the preceding warm-up, in milliseconds.
    #[serde(default = "defaults::warmup_ms")]
    pub(crate) warmup_ms: u64,
    /// Service shapes, measured concurrently except in overload scenarios.
    #[serde(default = "ServiceShape::all")]
    pub(crate) shapes: Vec<ServiceShape>,
    /// Scenarios, measured one after another.
    #[serde(default = "Scenario::all")]
    pub(crate) scenarios: Vec<Scenario>,
    /// Whether the processor time, added latency and memory of a node are measured too.
    #[serde(default = "defaults::node_cost")]
    pub(crate) node_cost: bool,
}

mod defaults {
    pub(super) fn first_port() -> u16 {
        21_000
    }

    pub(super) fn seeds() -> Vec<u64> {
        vec![11, 12, 13]
    }

    pub(super) fn duration_ms() -> u64 {
        3_500
    }

    pub(super) fn warmup_ms() -> u64 {
        1_000
    }

    pub(super) fn node_cost() -> bool {
        true
    }
}
