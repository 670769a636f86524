//! Faults and loads under which policies are compared.

use serde::{Deserialize, Serialize};

use super::shape::usual_latency;
use crate::leaf::{LatencySettings, LeafControl};

const STRAGGLER_MS: f64 = 100.0;
const SHED_RATE: f64 = 0.5;
const SLOW_FACTOR: f64 = 5.0;
const FALSE_HIGH_REPORT: i64 = 50;
const USUAL_LOAD: f64 = 0.4;
const DOUBLE_LOAD: f64 = 2.0;

/// A fault or load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Scenario {
    /// One call in a hundred takes long.
    StragglerOnePercent,
    /// One call in twenty takes long.
    StragglerFivePercent,
    /// An upstream's process ends within the measured time.
    LostReplica,
    /// One upstream sheds half of its calls.
    SheddingUpstream,
    /// The slowest upstream reports that it is idle, all others that they are busy.
    MisleadingLoad,
    /// Twice as many queries as the upstreams can answer.
    TwiceCapacity,
    /// The open connections to one upstream go silent within the measured time.
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

    /// Returns the name.
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

    /// Returns the load as a share of what the upstreams can answer.
    pub(crate) const fn load(self) -> f64 {
        match self {
            Self::TwiceCapacity => DOUBLE_LOAD,
            _ => USUAL_LOAD,
        }
    }

    /// Returns whether more is offered than the upstreams can answer.
    pub(crate) fn is_overload(self) -> bool {
        1.0 < self.load()
    }

    /// Returns the service time of the upstream with this index.
    pub(crate) fn latency(self, leaf: u32) -> LatencySettings {
        let usual = usual_latency();
        match (self, leaf) {
            (Self::StragglerOnePercent, _) => stragglers(0.01),
            (Self::StragglerFivePercent, _) => stragglers(0.05),
            (Self::MisleadingLoad, 0) => LatencySettings {
                median_ms: usual.median_ms * SLOW_FACTOR,
                p99_ms: usual.p99_ms * SLOW_FACTOR,
                ..usual
            },
            _ => usual,
        }
    }

    /// Returns how the upstream with this index behaves from the start.
    pub(crate) fn behaviour(self, leaf: u32) -> LeafControl {
        let none = LeafControl::default();
        match (self, leaf) {
            (Self::SheddingUpstream, 0) => LeafControl { shed_rate: Some(SHED_RATE), ..none },
            (Self::MisleadingLoad, 0) => LeafControl { reported_in_flight: Some(0), ..none },
            (Self::MisleadingLoad, _) => {
                LeafControl { reported_in_flight: Some(FALSE_HIGH_REPORT), ..none }
            }
            _ => none,
        }
    }
}

fn stragglers(share: f64) -> LatencySettings {
    LatencySettings { straggler_share: share, straggler_ms: STRAGGLER_MS, ..usual_latency() }
}
