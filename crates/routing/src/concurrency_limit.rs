//! Adaptive limit on the calls in flight to one upstream.

use std::time::Duration;

use mux_model::TimePoint;

use crate::SlotShare;

/// Limit of an upstream that is new or was ejected or draining before.
const START_LIMIT: f64 = 1.0;
/// Factor of one decrease.
const SHRINK_FACTOR: f64 = 0.7;
/// Minimum time between two decreases, so that a burst of overload signs counts once.
const SHRINK_INTERVAL_MS: u64 = 50;
/// Base of the interval between increases by one call near the limit at which the upstream last
/// shed one; each decrease after a shed call, including the first, roughly doubles the interval.
const SLOW_GROWTH_INTERVAL_MS: u64 = 3_000;
/// Maximum of that interval.
const MAX_SLOW_GROWTH_INTERVAL_MS: u64 = 48_000;

/// A limit that grows while calls succeed and shrinks when the upstream indicates overload.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Limit from which growth is slow; at first just below the number of calls in flight at which
    /// the upstream last shed one.
    slow_growth_above: f64,
    slow_growth_interval: Duration,
    /// Maximum number of calls in flight since the limit last grew by one.
    peak: u32,
    shrunk_at: Option<TimePoint>,
    grown_at: TimePoint,
}

impl ConcurrencyLimit {
    /// Creates the initial limit of an upstream.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            limit: START_LIMIT,
            slow_growth_above: f64::MAX,
            slow_growth_interval: Duration::from_millis(SLOW_GROWTH_INTERVAL_MS),
            peak: 0,
            shrunk_at: None,
            grown_at: now,
        }
    }

    /// Returns the maximum number of calls in flight; at least one.
    pub(crate) fn allowed(&self, share: SlotShare) -> u32 {
        let whole = self.limit.min(f64::from(share.max_in_flight)) as u32;
        whole.max(1)
    }

    /// Updates the peak of the calls in flight after a slot was reserved.
    pub(crate) fn record_in_flight(&mut self, in_flight: u32) {
        self.peak = self.peak.max(in_flight);
    }

    /// Grows the limit after a successful call.
    ///
    /// The limit grows by about one for each round of calls, but slowly near the number of calls at
    /// which the upstream last shed one. A limit that was not reached does not grow.
    pub(crate) fn grow(&mut self, now: TimePoint, share: SlotShare) {
        let allowed = self.allowed(share);
        if self.peak < allowed || f64::from(share.max_in_flight) <= self.limit {
            return;
        }
        if self.limit < self.slow_growth_above {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slow_growth_above);
            self.grown_at = now;
        } else if self.slow_growth_interval <= now.since(self.grown_at) {
            self.limit += 1.0;
            self.slow_growth_above = self.limit;
            self.grown_at = now;
        }
        if allowed < self.allowed(share) {
            self.peak = 0;
        }
    }

    /// Shrinks the limit because the upstream shed a call with `in_flight` calls in flight.
    ///
    /// The limit grows back quickly to just below that number, and slowly beyond it. `jitter` from
    /// 0 to 1 prevents the limits of several upstreams from being raised at the same time.
    pub(crate) fn shrink_on_shed(&mut self, now: TimePoint, in_flight: u32, jitter: f64) {
        if !self.may_shrink(now) {
            return;
        }
        let reached_limit = self.reached_limit(in_flight);
        self.slow_growth_above = (reached_limit - 1.0).max(START_LIMIT);
        let longest = Duration::from_millis(MAX_SLOW_GROWTH_INTERVAL_MS);
        self.slow_growth_interval = self.slow_growth_interval.mul_f64(1.5 + jitter).min(longest);
        self.shrink(now, reached_limit, START_LIMIT);
    }

    /// Shrinks the limit because a deadline passed with `in_flight` calls in flight.
    pub(crate) fn shrink_on_missed_deadline(&mut self, now: TimePoint, in_flight: u32) {
        if self.may_shrink(now) {
            self.shrink(now, self.reached_limit(in_flight), START_LIMIT);
        }
    }

    /// Shrinks the limit because latency is inflated, but not below this node's share of the slots.
    pub(crate) fn shrink_on_inflated_latency(
        &mut self,
        now: TimePoint,
        in_flight: u32,
        share: SlotShare,
    ) {
        if self.may_shrink(now) {
            self.shrink(now, self.reached_limit(in_flight), f64::from(share.slots));
        }
    }

    fn may_shrink(&self, now: TimePoint) -> bool {
        let interval = Duration::from_millis(SHRINK_INTERVAL_MS);
        self.shrunk_at.is_none_or(|it| interval <= now.since(it))
    }

    fn reached_limit(&self, in_flight: u32) -> f64 {
        self.limit.min(f64::from(in_flight)).max(START_LIMIT)
    }

    fn shrink(&mut self, now: TimePoint, reached_limit: f64, floor: f64) {
        self.limit = self.limit.min((reached_limit * SHRINK_FACTOR).max(floor));
        self.shrunk_at = Some(now);
        self.grown_at = now;
    }
}
