//! This node's part of the budget for calls beyond the first.

use std::time::Duration;

use mux_model::TimePoint;

/// Buckets that one window is divided into.
const BUCKETS: usize = 20;
/// Part of the budget that is used; the rest allows for nodes whose counts of one another differ
/// for a while, and for the granularity of the buckets.
const USED_SHARE: f64 = 0.85;

/// The budget that all nodes share, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
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
}

/// Counts first and further calls in a sliding window.
///
/// Nodes exchange no messages about it: each may add the ratio of its own first calls and its part
/// of the slack, so that the sum over all nodes stays within the shared budget.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    buckets: [Bucket; BUCKETS + 1],
}

impl RetryWindow {
    /// Creates a window without calls.
    pub fn new() -> Self {
        Self { buckets: [Bucket::default(); BUCKETS + 1] }
    }

    /// Counts a first call.
    pub fn record_first(&mut self, now: TimePoint, bounds: &RetryBounds) {
        self.bucket(now, bounds).first += 1;
    }

    /// Counts a call beyond the first if the budget allows it; returns whether it does.
    pub fn try_extra(&mut self, now: TimePoint, bounds: &RetryBounds, nodes: u32) -> bool {
        let number = bucket_number(now, bounds);
        let oldest = number.saturating_sub(BUCKETS as u64);
        let live = self.buckets.iter().filter(|it| oldest <= it.number);
        let (mut first, mut extra) = (0_u32, 0_u32);
        for bucket in live {
            first += bucket.first;
            extra += bucket.extra;
        }
        let slack = bounds.slack / f64::from(nodes.max(1));
        let allowed = (f64::from(first) * bounds.ratio + slack) * USED_SHARE;
        if allowed < f64::from(extra) + 1.0 {
            return false;
        }
        self.bucket(now, bounds).extra += 1;
        true
    }

    fn bucket(&mut self, now: TimePoint, bounds: &RetryBounds) -> &mut Bucket {
        let number = bucket_number(now, bounds);
        let idx = usize::try_from(number).unwrap_or_default() % self.buckets.len();
        let bucket = &mut self.buckets[idx];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }
}

impl Default for RetryWindow {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket_number(now: TimePoint, bounds: &RetryBounds) -> u64 {
    let length = u64::try_from(bounds.window.as_micros()).unwrap_or(u64::MAX) / BUCKETS as u64;
    // The first bucket is not 0, which marks a bucket that was never used.
    now.as_micros() / length.max(1) + 1
}
