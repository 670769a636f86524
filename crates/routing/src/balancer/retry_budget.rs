//! This node's share of the budget for hedges and retries.

use std::time::Duration;

use mux_model::TimePoint;

/// Number of buckets in one sliding window.
const BUCKETS: usize = 20;
/// Fraction of the budget that may be spent. The rest is headroom for nodes that temporarily
/// disagree about the node count, and for the granularity of the buckets.
const USABLE_SHARE: f64 = 0.85;
/// Fraction of a node's budget above which a successor process treats it as spent. A successor of a
/// process below this threshold assumes that this fraction was spent.
pub(super) const SPENT_THRESHOLD: f64 = 0.6;
/// Weight of the extra calls made in the first window of a process in the spent fraction, because
/// its predecessor may have made as many.
const FIRST_WINDOW_WEIGHT: f64 = 2.0;
/// Fraction of the budget available in the first window of a process whose predecessor had spent
/// its budget. Three such processes in a row stay within the headroom left by [`USABLE_SHARE`].
const SPENT_PREDECESSOR_SHARE: f64 = 0.05;

/// Limits of the retry budget of one service, which all nodes share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Hedges and retries allowed in a window, as a fraction of the first calls.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Additional hedges and retries allowed in a window, for all nodes together.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    first: u32,
    extra: u32,
    /// Maximum number of nodes that shared the budget during this bucket.
    nodes: u32,
}

/// Start of a process whose predecessor may have spent part of the budget of the first window.
#[derive(Debug, Clone, Copy)]
struct ProcessStart {
    at: TimePoint,
    /// Whether the predecessor had spent its budget shortly before it ended.
    predecessor_spent: bool,
}

/// Limits hedges and retries ("extra calls") in a sliding window, for all nodes together.
///
/// Nodes do not exchange messages about it: each one may spend the ratio of its own first calls
/// plus its share of the slack, so that the sum over all nodes stays within the shared budget. If
/// processes are killed during a fault, their extra calls still count against the budget, although
/// the processes that replace them start without these counts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    buckets: [Bucket; BUCKETS + 1],
    start: Option<ProcessStart>,
}

/// Sums over one window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowSum {
    first: u32,
    extra: u32,
    nodes: u32,
}

impl RetryBudget {
    /// Creates a budget without calls for a process that started more than one window ago.
    pub fn new() -> Self {
        Self { buckets: [Bucket::default(); BUCKETS + 1], start: None }
    }

    /// Creates a budget for a process that started at `at`; `predecessor_spent` tells whether its
    /// predecessor on the same node had spent its budget.
    pub fn started(at: TimePoint, predecessor_spent: bool) -> Self {
        Self { start: Some(ProcessStart { at, predecessor_spent }), ..Self::new() }
    }

    /// Returns whether the process started less than a window ago.
    pub fn is_in_first_window(&self, now: TimePoint, limits: &RetryBudgetLimits) -> bool {
        self.start.is_some_and(|it| now.since(it.at) < limits.window)
    }

    /// Returns whether this node's share counts as spent for a successor process.
    pub fn is_spent(&self, now: TimePoint, limits: &RetryBudgetLimits, nodes: u32) -> bool {
        SPENT_THRESHOLD < self.spent_fraction(now, limits, nodes)
    }

    /// Returns the extra calls as a fraction of this node's share of the budget.
    ///
    /// In the first window of a process, includes the extra calls that its predecessor may have
    /// made, and is 1 if the predecessor had spent its budget.
    pub fn spent_fraction(&self, now: TimePoint, limits: &RetryBudgetLimits, nodes: u32) -> f64 {
        let is_in_first_window = self.is_in_first_window(now, limits);
        if is_in_first_window && self.start.is_some_and(|it| it.predecessor_spent) {
            return 1.0;
        }
        let sum = self.sum(now, limits, nodes);
        let spent = f64::from(sum.extra) / node_budget(&sum, limits).max(1.0);
        if is_in_first_window { spent * FIRST_WINDOW_WEIGHT } else { spent }
    }

    /// Counts a first call.
    pub fn record_first_call(&mut self, now: TimePoint, limits: &RetryBudgetLimits) {
        self.bucket(now, limits).first += 1;
    }

    /// Counts an extra call if the budget allows it; returns whether it is allowed.
    pub fn try_extra_call(
        &mut self,
        now: TimePoint,
        limits: &RetryBudgetLimits,
        nodes: u32,
    ) -> bool {
        let sum = self.sum(now, limits, nodes);
        let allowed = node_budget(&sum, limits) * self.first_window_share(now, limits);
        if allowed < f64::from(sum.extra) + 1.0 {
            return false;
        }
        let bucket = self.bucket(now, limits);
        bucket.extra += 1;
        bucket.nodes = bucket.nodes.max(nodes);
        true
    }

    /// Returns the fraction of the budget that may be used; below 1 only in the first window.
    fn first_window_share(&self, now: TimePoint, limits: &RetryBudgetLimits) -> f64 {
        match self.start {
            Some(start) if self.is_in_first_window(now, limits) => {
                if start.predecessor_spent {
                    SPENT_PREDECESSOR_SHARE
                } else {
                    1.0 - SPENT_THRESHOLD
                }
            }
            _ => 1.0,
        }
    }

    /// Sums up this node's calls in the window. The node count is the largest one in it, because
    /// extra calls of nodes that have left still count against the shared budget.
    fn sum(&self, now: TimePoint, limits: &RetryBudgetLimits, nodes: u32) -> WindowSum {
        let number = bucket_number(now, limits);
        let oldest = number.saturating_sub(BUCKETS as u64);
        let current = self.buckets.iter().filter(|it| oldest <= it.number);
        current.fold(WindowSum { nodes, ..WindowSum::default() }, |sum, it| WindowSum {
            first: sum.first + it.first,
            extra: sum.extra + it.extra,
            nodes: sum.nodes.max(it.nodes),
        })
    }

    fn bucket(&mut self, now: TimePoint, limits: &RetryBudgetLimits) -> &mut Bucket {
        let number = bucket_number(now, limits);
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

/// Returns the number of extra calls that a node may make in a window with these counts.
fn node_budget(sum: &WindowSum, limits: &RetryBudgetLimits) -> f64 {
    let slack = limits.slack / f64::from(sum.nodes.max(1));
    (f64::from(sum.first) * limits.ratio + slack) * USABLE_SHARE
}

fn bucket_number(now: TimePoint, limits: &RetryBudgetLimits) -> u64 {
    let length = u64::try_from(limits.window.as_micros()).unwrap_or(u64::MAX) / BUCKETS as u64;
    // Bucket numbers start at 1, because 0 marks a bucket that was never used.
    now.as_micros() / length.max(1) + 1
}
