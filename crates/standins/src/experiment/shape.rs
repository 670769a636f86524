//! Shapes of services.

use serde::{Deserialize, Serialize};

use crate::leaf::LatencySettings;

/// Median of the service time of an upstream without faults.
pub(crate) const MEDIAN_MS: f64 = 6.0;
/// 99th percentile of that time.
pub(crate) const P99_MS: f64 = 20.0;

/// Shape of a service; each shard is held by two of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ServiceShape {
    /// Typeahead and storefront search.
    Shopfront,
    /// Look-ups of orders.
    Backoffice,
    /// Search of a catalogue.
    DriverFinder,
    /// Archive.
    SweepVault,
}

/// Sizes of a shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShapeSize {
    /// Upstreams; also the number of shards.
    pub(crate) leaves: u32,
    /// Requests that an upstream works on at once.
    pub(crate) slots: u32,
    /// Connections that an upstream accepts.
    pub(crate) connections: u32,
    /// Time that a new connection takes, in milliseconds.
    pub(crate) connect_cost_ms: u64,
}

impl ServiceShape {
    /// Returns all shapes.
    pub(crate) fn all() -> Vec<Self> {
        vec![Self::Shopfront, Self::Backoffice, Self::DriverFinder, Self::SweepVault]
    }

    /// Returns the name.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Shopfront => "shopfront",
            Self::Backoffice => "backoffice",
            Self::DriverFinder => "driver-finder",
            Self::SweepVault => "sweep-vault",
        }
    }

    /// Returns the sizes.
    pub(crate) const fn size(self) -> ShapeSize {
        let (leaves, slots, connections, connect_cost_ms) = match self {
            Self::Shopfront => (3, 2, 25, 6),
            Self::Backoffice => (7, 3, 100, 1),
            Self::DriverFinder => (3, 3, 30, 6),
            Self::SweepVault => (10, 6, 50, 1),
        };
        ShapeSize { leaves, slots, connections, connect_cost_ms }
    }
}

/// Returns the service time of an upstream without faults.
pub(crate) fn usual_latency() -> LatencySettings {
    LatencySettings { median_ms: MEDIAN_MS, p99_ms: P99_MS, ..LatencySettings::default() }
}
