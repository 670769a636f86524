//! This node's part of the budget for calls beyond the first.

use std::time::Duration;

use mux_model::TimePoint;

/// Buckets that one window is divided into.
const BUCKETS: usize = 20;
/// Part of the budget that is used; the rest allows for nodes whose counts of one another differ
/// for a while, and for the granularity of the buckets.
const USED_SHARE: f64 = 0.85;
/// Part of a node's budget above which it counts as spent, for a process that takes its place.
/// What is spent below it is left out of the budget of that process.
pub(super) const SPENT_SHARE: f64 = 0.6;
/// What is spent in the first window of a process counts this much, as the one before may have
/// spent as much.
const YOUNG_WEIGHT: f64 = 2.0;
/// Part of the budget that a process has in its first window if the one before had spent it; three
/// of them together stay within what [`USED_SHARE`] leaves.
const AFTER_SPENT_SHARE: f64 = 0.05;

/// The budget that all nodes share, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Calls beyond the first allowed in a window, as a share of the first ones.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Calls beyond the first allowed besides, for all nodes together.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    first: u32,
    extra: u32,
    /// Most nodes that shared the budget in this time.
    nodes: u32,
}

/// The start of a process within whose first window the budget may have been spent already.
#[derive(Debug, Clone, Copy)]
struct WindowStart {
    at: TimePoint,
    /// Whether the process before spent much of its part shortly before its end.
    spent_before: bool,
}

/// Counts first and further calls in a sliding window.
///
/// Nodes exchange no messages about it: each may add the ratio of its own first calls and its part
/// of the slack, so that the sum over all nodes stays within the shared budget. Answers the load of
/// a fault during which processes are killed: what they spent still counts, though the processes in
/// their places remember none of it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    buckets: [Bucket; BUCKETS + 1],
    start: Option<WindowStart>,
}

/// Calls within one window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowSum {
    first: u32,
    extra: u32,
    nodes: u32,
}

impl RetryBudget {
    /// Creates a window without calls, for a process that has run for long.
    pub fn new() -> Self {
        Self { buckets: [Bucket::default(); BUCKETS + 1], start: None }
    }

    /// Creates a window for a process that started at `at`; `spent_before` if the process before
    /// it, which had the same part of the budget, had spent much of it.
    pub fn started(at: TimePoint, spent_before: bool) -> Self {
        Self { start: Some(WindowStart { at, spent_before }), ..Self::new() }
    }

    /// Returns whether the process started less than a window ago.
    pub fn is_young(&self, now: TimePoint, bounds: &RetryBudgetLimits) -> bool {
        self.start.is_some_and(|it| now.since(it.at) < bounds.window)
    }

    /// Returns whether so much of this node's part is spent that a process that takes its place
    /// has to know.
    pub fn is_spent(&self, now: TimePoint, bounds: &RetryBudgetLimits, nodes: u32) -> bool {
        SPENT_SHARE < self.spent_fraction(now, bounds, nodes)
    }

    /// Returns the calls beyond the first as a share of this node's part.
    ///
    /// In the first window of a process, what the one before may have spent is taken in.
    pub fn spent_fraction(&self, now: TimePoint, bounds: &RetryBudgetLimits, nodes: u32) -> f64 {
        let is_young = self.is_young(now, bounds);
        if is_young && self.start.is_some_and(|it| it.spent_before) {
            return 1.0;
        }
        let sum = self.sum(now, bounds, nodes);
        let spent = f64::from(sum.extra) / part(&sum, bounds).max(1.0);
        if is_young { spent * YOUNG_WEIGHT } else { spent }
    }

    /// Counts a first call.
    pub fn record_first(&mut self, now: TimePoint, bounds: &RetryBudgetLimits) {
        self.bucket(now, bounds).first += 1;
    }

    /// Counts a call beyond the first if the budget allows it; returns whether it does.
    pub fn try_extra(&mut self, now: TimePoint, bounds: &RetryBudgetLimits, nodes: u32) -> bool {
        let sum = self.sum(now, bounds, nodes);
        let allowed = part(&sum, bounds) * self.start_share(now, bounds);
        if allowed < f64::from(sum.extra) + 1.0 {
            return false;
        }
        let bucket = self.bucket(now, bounds);
        bucket.extra += 1;
        bucket.nodes = bucket.nodes.max(nodes);
        true
    }

    /// Returns the part of the usual budget that is left to a process in its first window.
    fn start_share(&self, now: TimePoint, bounds: &RetryBudgetLimits) -> f64 {
        match self.start {
            Some(start) if self.is_young(now, bounds) => {
                if start.spent_before {
                    AFTER_SPENT_SHARE
                } else {
                    1.0 - SPENT_SHARE
                }
            }
            _ => 1.0,
        }
    }

    /// Sums up the window; of the nodes that shared it, those that are gone count as well, as what
    /// they spent does.
    fn sum(&self, now: TimePoint, bounds: &RetryBudgetLimits, nodes: u32) -> WindowSum {
        let number = bucket_number(now, bounds);
        let oldest = number.saturating_sub(BUCKETS as u64);
        let live = self.buckets.iter().filter(|it| oldest <= it.number);
        live.fold(WindowSum { nodes, ..WindowSum::default() }, |sum, it| WindowSum {
            first: sum.first + it.first,
            extra: sum.extra + it.extra,
            nodes: sum.nodes.max(it.nodes),
        })
    }

    fn bucket(&mut self, now: TimePoint, bounds: &RetryBudgetLimits) -> &mut Bucket {
        let number = bucket_number(now, bounds);
        let idx = usize::try_from(number).unwrap_or_default() % self.buckets.len();
        let bucket = &mut self.buckets[idx];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns what a node may spend in a window of these calls.
fn part(sum: &WindowSum, bounds: &RetryBudgetLimits) -> f64 {
    let slack = bounds.slack / f64::from(sum.nodes.max(1));
    (f64::from(sum.first) * bounds.ratio + slack) * USED_SHARE
}

fn bucket_number(now: TimePoint, bounds: &RetryBudgetLimits) -> u64 {
    let length = u64::try_from(bounds.window.as_micros()).unwrap_or(u64::MAX) / BUCKETS as u64;
    // The first bucket is not 0, which marks a bucket that was never used.
    now.as_micros() / length.max(1) + 1
}
