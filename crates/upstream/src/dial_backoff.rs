//! Delay between failed dials to one upstream.

use std::time::Duration;

use mux_model::TimePoint;

/// Exponential backoff with jitter; holds no clock.
#[derive(Debug, Clone)]
pub(crate) struct DialBackoff {
    min: Duration,
    max: Duration,
    failures: u32,
    until: TimePoint,
}

impl DialBackoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0, until: TimePoint::ZERO }
    }

    /// Returns the time left until a dial is allowed; `None` if it is allowed now.
    pub(crate) fn remaining(&self, now: TimePoint) -> Option<Duration> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Records a failed dial; `jitter` is a random number from 0 to 1.
    pub(crate) fn fail(&mut self, now: TimePoint, jitter: f64) {
        let doubled = self.min.saturating_mul(1 << self.failures.min(16));
        let delay = doubled.min(self.max);
        self.failures = self.failures.saturating_add(1);
        self.until = now + delay.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0));
    }

    /// Records that the upstream answers.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
        self.until = TimePoint::ZERO;
    }
}
