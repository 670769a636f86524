//! Settings of the fleet measurement.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Settings of one fleet measurement.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSettings {
    /// Path of the `mustardmux` program under test.
    pub(crate) program: PathBuf,
    /// First of the loopback ports; 700 consecutive ports are needed.
    #[serde(default = "defaults::first_port")]
    pub(crate) first_port: u16,
    /// Seed of the random choice of the node that receives each change, and of the upstream's
    /// service times.
    #[serde(default = "defaults::seed")]
    pub(crate) seed: u64,
    /// Numbers of nodes, measured one after another.
    #[serde(default = "defaults::sizes")]
    pub(crate) sizes: Vec<usize>,
    /// Length of the measurement window, in milliseconds.
    #[serde(default = "defaults::window_ms")]
    pub(crate) window_ms: u64,
    /// Changes made at each number of nodes.
    #[serde(default = "defaults::changes")]
    pub(crate) changes: usize,
    /// Number of nodes in the run with a store outage.
    #[serde(default = "defaults::outage_nodes")]
    pub(crate) outage_nodes: usize,
    /// Length of each of the phases before, during and after the store outage, in milliseconds.
    #[serde(default = "defaults::outage_ms")]
    pub(crate) outage_ms: u64,
}

mod defaults {
    pub(super) fn first_port() -> u16 {
        26_000
    }

    pub(super) fn seed() -> u64 {
        11
    }

    pub(super) fn sizes() -> Vec<usize> {
        vec![3, 7, 15, 30, 60]
    }

    pub(super) fn window_ms() -> u64 {
        15_000
    }

    pub(super) fn changes() -> usize {
        10
    }

    pub(super) fn outage_nodes() -> usize {
        7
    }

    pub(super) fn outage_ms() -> u64 {
        10_000
    }
}
