//! The coverage that a query wants, as numbers of shards.

use mux_model::{Coverage, SnapshotMap};

use crate::FanOutPlan;

/// Shards of the pinned snapshot that have to contribute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CoverageGoal {
    /// Shards of the pinned snapshot.
    pub(crate) total: u32,
    /// Shards below which no answer is given; at least one.
    pub(crate) minimum: u32,
    /// Shards with which an answer is sent at the latency target.
    pub(crate) target: u32,
}

impl CoverageGoal {
    /// Turns the shares of `plan` into numbers of shards.
    pub(crate) fn new(plan: &FanOutPlan) -> Self {
        let total = SnapshotMap::shard_count(&plan.map);
        let minimum = shard_number(total, plan.coverage_minimum);
        let target = shard_number(total, plan.coverage_target);
        Self { total, minimum, target: target.max(minimum) }
    }
}

/// Returns the smallest number of shards, at least one, that meets `share`.
///
/// A share that no number meets gives `total + 1`.
fn shard_number(total: u32, share: f64) -> u32 {
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
