//! Backoff between dials to one upstream after failures.

use std::time::Duration;

use mux_model::TimePoint;

/// Exponential backoff with jitter; the caller passes the current time.
#[derive(Debug, Clone)]
pub(crate) struct DialBackoff {
    min: Duration,
    max: Duration,
    failures: u32,
    blocked_until: TimePoint,
}

impl DialBackoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0, blocked_until: TimePoint::ZERO }
    }

    /// Returns the time until the next dial is allowed, or `None` if it is allowed now.
    pub(crate) fn remaining(&self, now: TimePoint) -> Option<Duration> {
        (now < self.blocked_until).then(|| self.blocked_until.since(now))
    }

    /// Records a failed dial, which doubles the next delay up to the maximum; `jitter` is a random
    /// number from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: TimePoint, jitter: f64) {
        let doubled = self.min.saturating_mul(1 << self.failures.min(16));
        let delay = doubled.min(self.max);
        self.failures = self.failures.saturating_add(1);
        self.blocked_until = now + delay.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0));
    }

    /// Resets the delay after the upstream has replied.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
        self.blocked_until = TimePoint::ZERO;
    }
}
