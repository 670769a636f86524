//! The coverage thresholds of a query, as numbers of shards.

use mux_model::{Coverage, SnapshotMap};

use crate::FanOutPlan;

/// The number of shards of the pinned snapshot, and how many of them a query needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CoverageThresholds {
    /// Number of shards of the pinned snapshot.
    pub(crate) total: u32,
    /// Shards required for any answer; at least one.
    pub(crate) minimum: u32,
    /// Shards required for an answer at the latency target.
    pub(crate) target: u32,
}

impl CoverageThresholds {
    /// Converts the coverage shares of `plan` to numbers of shards.
    pub(crate) fn new(plan: &FanOutPlan) -> Self {
        let total = SnapshotMap::shard_count(&plan.map);
        let minimum = required_shards(total, plan.coverage_minimum);
        let target = required_shards(total, plan.coverage_target);
        Self { total, minimum, target: target.max(minimum) }
    }
}

/// Returns the smallest number of shards, at least one, that meets `share`; `total + 1` if none
/// does.
fn required_shards(total: u32, share: f64) -> u32 {
    let meets = |contributed| Coverage { contributed, total }.meets(share);
    let mut low = 1;
    let mut high = total.saturating_add(1);
    while low < high {
        let middle = low + (high - low) / 2;
        if meets(middle) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    low
}
