//! Fault and load scenarios of the experiment.

use serde::{Deserialize, Serialize};

use super::shape::base_latency;
use crate::leaf::{LatencySettings, LeafControl};

const STRAGGLER_MS: f64 = 100.0;
const SHED_RATE: f64 = 0.5;
const SLOW_UPSTREAM_FACTOR: f64 = 5.0;
const FALSE_IN_FLIGHT_REPORT: i64 = 50;
const BASE_LOAD_FACTOR: f64 = 0.4;
const OVERLOAD_FACTOR: f64 = 2.0;

/// Fault or load scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Scenario {
    /// 1 % of the calls straggle.
    StragglerOnePercent,
    /// 5 % of the calls straggle.
    StragglerFivePercent,
    /// The process of one upstream is killed during the measured phase.
    LostReplica,
    /// One upstream sheds half of its calls.
    SheddingUpstream,
    /// The slowest upstream reports no load, all others report high load.
    MisleadingLoad,
    /// The offered load is twice the capacity of the upstreams.
    TwiceCapacity,
    /// The open connections to one upstream stop transferring bytes during the measured phase.
    SilentConnection,
}

impl Scenario {
    /// Returns all scenarios.
    pub(crate) fn all() -> Vec<Self> {
        vec![
            Self::StragglerOnePercent,
            Self::StragglerFivePercent,
            Self::LostReplica,
            Self::SheddingUpstream,
            Self::MisleadingLoad,
            Self::TwiceCapacity,
            Self::SilentConnection,
        ]
    }

    /// Returns the name in the printed tables.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::StragglerOnePercent => "straggler-one-percent",
            Self::StragglerFivePercent => "straggler-five-percent",
            Self::LostReplica => "lost-replica",
            Self::SheddingUpstream => "shedding-upstream",
            Self::MisleadingLoad => "misleading-load",
            Self::TwiceCapacity => "twice-capacity",
            Self::SilentConnection => "silent-connection",
        }
    }

    /// Returns the ratio of the offered load to the capacity of the upstreams.
    pub(crate) const fn load_factor(self) -> f64 {
        match self {
            Self::TwiceCapacity => OVERLOAD_FACTOR,
            _ => BASE_LOAD_FACTOR,
        }
    }

    /// Returns whether the offered load exceeds the capacity of the upstreams.
    pub(crate) fn is_overload(self) -> bool {
        1.0 < self.load_factor()
    }

    /// Returns the service time of the upstream with this index.
    pub(crate) fn latency(self, leaf: u32) -> LatencySettings {
        let base = base_latency();
        match (self, leaf) {
            (Self::StragglerOnePercent, _) => stragglers(0.01),
            (Self::StragglerFivePercent, _) => stragglers(0.05),
            (Self::MisleadingLoad, 0) => LatencySettings {
                median_ms: base.median_ms * SLOW_UPSTREAM_FACTOR,
                p99_ms: base.p99_ms * SLOW_UPSTREAM_FACTOR,
                ..base
            },
            _ => base,
        }
    }

    /// Returns the initial behaviour of the upstream with this index.
    pub(crate) fn behaviour(self, leaf: u32) -> LeafControl {
        let unchanged = LeafControl::default();
        match (self, leaf) {
            (Self::SheddingUpstream, 0) => LeafControl { shed_rate: Some(SHED_RATE), ..unchanged },
            (Self::MisleadingLoad, 0) => LeafControl { reported_in_flight: Some(0), ..unchanged },
            (Self::MisleadingLoad, _) => {
                LeafControl { reported_in_flight: Some(FALSE_IN_FLIGHT_REPORT), ..unchanged }
            }
            _ => unchanged,
        }
    }
}

fn stragglers(share: f64) -> LatencySettings {
    LatencySettings { straggler_share: share, straggler_ms: STRAGGLER_MS, ..base_latency() }
}
