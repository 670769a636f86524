//! Adaptive limit on the calls in flight to one upstream.

use std::time::Duration;

use mux_model::TimePoint;

use crate::SlotShare;

/// Limit of an upstream that is new or returned.
const START_LIMIT: f64 = 1.0;
/// Factor of one decrease.
const CUT_FACTOR: f64 = 0.7;
/// Shortest time between two decreases, so that one burst of failures counts once.
const CUT_INTERVAL_MS: u64 = 50;
/// Time for one more call in flight near the number at which the upstream last shed one.
const PROBE_INTERVAL_MS: u64 = 3_000;
/// Longest such time; it doubles with each shed at about the same number.
const MAX_PROBE_INTERVAL_MS: u64 = 48_000;

/// A limit that grows while calls succeed and shrinks when the upstream shows overload.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    slow_above: f64,
    probe_interval: Duration,
    /// Most calls in flight since the last growth by one.
    peak: u32,
    cut_at: Option<TimePoint>,
    grown_at: TimePoint,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream that was not used before.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            limit: START_LIMIT,
            slow_above: f64::MAX,
            probe_interval: Duration::from_millis(PROBE_INTERVAL_MS),
            peak: 0,
            cut_at: None,
            grown_at: now,
        }
    }

    /// Returns the number of calls that may be in flight; at least one.
    pub(crate) fn allowed(&self, share: SlotShare) -> u32 {
        let whole = self.limit.min(f64::from(share.ceiling)) as u32;
        whole.max(1)
    }

    /// Takes in the number of calls in flight after one was sent.
    pub(crate) fn record_in_flight(&mut self, in_flight: u32) {
        self.peak = self.peak.max(in_flight);
    }

    /// Grows after a success.
    ///
    /// Grows by about one for each round of calls, but slowly near the number of calls at which the
    /// upstream last shed one. A limit that was not reached does not grow.
    pub(crate) fn grow(&mut self, now: TimePoint, share: SlotShare) {
        let allowed = self.allowed(share);
        if self.peak < allowed || f64::from(share.ceiling) <= self.limit {
            return;
        }
        if self.limit < self.slow_above {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slow_above);
            self.grown_at = now;
        } else if self.probe_interval <= now.since(self.grown_at) {
            self.limit += 1.0;
            self.slow_above = self.limit;
            self.grown_at = now;
        }
        if allowed < self.allowed(share) {
            self.peak = 0;
        }
    }

    /// Shrinks because the upstream shed a call when `in_flight` calls were there.
    ///
    /// The limit comes back quickly to just below that number, and slowly beyond it. `jitter` from
    /// 0 to 1 keeps upstreams from being probed for more at the same time.
    pub(crate) fn cut_shed(&mut self, now: TimePoint, in_flight: u32, jitter: f64) {
        if !self.may_cut(now) {
            return;
        }
        let reached = self.reached(in_flight);
        self.slow_above = (reached - 1.0).max(START_LIMIT);
        let longest = Duration::from_millis(MAX_PROBE_INTERVAL_MS);
        self.probe_interval = self.probe_interval.mul_f64(1.5 + jitter).min(longest);
        self.shrink(now, reached, START_LIMIT);
    }

    /// Shrinks because a deadline passed while `in_flight` calls were there.
    pub(crate) fn cut_late(&mut self, now: TimePoint, in_flight: u32) {
        if self.may_cut(now) {
            self.shrink(now, self.reached(in_flight), START_LIMIT);
        }
    }

    /// Shrinks because latency is inflated, not below the calls that the upstream works on.
    pub(crate) fn cut_queue(&mut self, now: TimePoint, in_flight: u32, share: SlotShare) {
        if self.may_cut(now) {
            self.shrink(now, self.reached(in_flight), f64::from(share.working));
        }
    }

    fn may_cut(&self, now: TimePoint) -> bool {
        let interval = Duration::from_millis(CUT_INTERVAL_MS);
        self.cut_at.is_none_or(|it| interval <= now.since(it))
    }

    fn reached(&self, in_flight: u32) -> f64 {
        self.limit.min(f64::from(in_flight)).max(START_LIMIT)
    }

    fn shrink(&mut self, now: TimePoint, reached: f64, floor: f64) {
        self.limit = self.limit.min((reached * CUT_FACTOR).max(floor));
        self.cut_at = Some(now);
        self.grown_at = now;
    }
}
