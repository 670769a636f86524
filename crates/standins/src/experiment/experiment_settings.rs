//! Settings of the experiment.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{scenario::Scenario, shape::ServiceShape};

/// Settings of one experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExperimentSettings {
    /// The program whose node is measured.
    pub(crate) program: PathBuf,
    /// First of the ports used on loopback; 4000 are needed.
    #[serde(default = "defaults::first_port")]
    pub(crate) first_port: u16,
    /// Seeds; each scenario runs once with each.
    #[serde(default = "defaults::seeds")]
    pub(crate) seeds: Vec<u64>,
    /// Time in which load is measured, in milliseconds.
    #[serde(default = "defaults::duration_ms")]
    pub(crate) duration_ms: u64,
    /// Time in which load is offered before that, in milliseconds.
    #[serde(default = "defaults::warmup_ms")]
    pub(crate) warmup_ms: u64,
    /// Shapes of services, measured side by side unless the load is an overload.
    #[serde(default = "ServiceShape::all")]
    pub(crate) shapes: Vec<ServiceShape>,
    /// Scenarios, measured in turn.
    #[serde(default = "Scenario::all")]
    pub(crate) scenarios: Vec<Scenario>,
    /// Whether the node's own cost is measured as well.
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
