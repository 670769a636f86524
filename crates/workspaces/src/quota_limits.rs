//! The limits of a workspace, and the grants that nodes use under them.

use std::time::Duration;

use mux_sharing::GrantLimit;

/// Part of the permitted overage that nodes use. The rest covers lists of nodes that differ for a
/// while, and grants that move between nodes.
const USED_OVERAGE: f64 = 0.5;
/// Part of the permitted slack that nodes use. The rest covers the grants that all processes have
/// saved at their start, because they do not know what the ones before them used.
const USED_SLACK: f64 = 0.5;

/// How far the requests of a workspace may exceed its quota.
///
/// In any window, at most (rate x window + burst) x (1 + overage) + slack requests may run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the windows in which requests are counted.
    pub window: Duration,
    /// Fraction of the quota by which requests may exceed it.
    pub overage: f64,
    /// Requests by which they may exceed it in addition.
    pub slack: f64,
}

/// Rate and burst of a workspace as configured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ConfiguredRate {
    pub(crate) rate_per_s: f64,
    pub(crate) burst: f64,
}

impl ConfiguredRate {
    /// Returns the limit of the grants of all nodes together; `None` for no limit.
    pub(crate) fn grant_limit(&self, bounds: Option<&QuotaBounds>) -> Option<GrantLimit> {
        let bounds = bounds.filter(|_| 0.0 < self.rate_per_s)?;
        let factor = 1.0 + bounds.overage * USED_OVERAGE;
        let rate_per_s = self.rate_per_s * factor;
        let capacity = self.burst * factor + bounds.slack * USED_SLACK;
        Some(GrantLimit { rate_per_s, unused_lifetime: to_duration(capacity / rate_per_s) })
    }
}

/// Returns the time in which the nodes get the grants that all processes together have at their start.
pub(crate) fn saved_time(limit: &GrantLimit, bounds: &QuotaBounds) -> Duration {
    to_duration(bounds.slack * USED_SLACK / limit.rate_per_s)
}

/// Returns a duration; the longest one if no duration can hold `seconds`.
pub(crate) fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
