//! Presets for the number and capacity of a service's upstreams.

use serde::{Deserialize, Serialize};

use crate::leaf::LatencySettings;

/// Median service time of an upstream without faults, in milliseconds.
pub(crate) const MEDIAN_MS: f64 = 6.0;
/// 99th percentile of that service time, in milliseconds.
pub(crate) const P99_MS: f64 = 20.0;

/// Preset for the number and capacity of a service's upstreams; two hold each shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ServiceShape {
    /// Typeahead and storefront search.
    Shopfront,
    /// Order look-ups.
    Backoffice,
    /// Catalogue search.
    DriverFinder,
    /// Archive.
    SweepVault,
}

/// Number of upstreams of a service, and capacity of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeafGroupSize {
    /// Number of upstreams, and of shards.
    pub(crate) leaves: u32,
    /// Requests that an upstream processes concurrently.
    pub(crate) slots: u32,
    /// Maximum number of open connections of an upstream.
    pub(crate) connections: u32,
    /// Delay before a new connection is served, in milliseconds.
    pub(crate) connect_cost_ms: u64,
}

impl ServiceShape {
    /// Returns all presets.
    pub(crate) fn all() -> Vec<Self> {
        vec![Self::Shopfront, Self::Backoffice, Self::DriverFinder, Self::SweepVault]
    }

    /// Returns the name in the printed tables.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Shopfront => "shopfront",
            Self::Backoffice => "backoffice",
            Self::DriverFinder => "driver-finder",
            Self::SweepVault => "sweep-vault",
        }
    }

    /// Returns the number of upstreams and the capacity of each.
    pub(crate) const fn size(self) -> LeafGroupSize {
        let (leaves, slots, connections, connect_cost_ms) = match self {
            Self::Shopfront => (3, 2, 25, 6),
            Self::Backoffice => (7, 3, 100, 1),
            Self::DriverFinder => (3, 3, 30, 6),
            Self::SweepVault => (10, 6, 50, 1),
        };
        LeafGroupSize { leaves, slots, connections, connect_cost_ms }
    }
}

/// Returns the service time distribution of an upstream without faults.
pub(crate) fn base_latency() -> LatencySettings {
    LatencySettings { median_ms: MEDIAN_MS, p99_ms: P99_MS, ..LatencySettings::default() }
}
