//! Rate limit for log lines.

use std::time::Duration;

use mux_model::TimePoint;

/// Limits the number of log lines per period.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    period: Duration,
    lines_max: u32,
    period_start: TimePoint,
    lines: u32,
}

impl LogLimiter {
    /// Creates a limiter that admits `lines_max` lines per `period`.
    pub(crate) fn new(period: Duration, lines_max: u32) -> Self {
        Self { period, lines_max, period_start: TimePoint::ZERO, lines: 0 }
    }

    /// Returns whether a line may be logged at `now`; an admitted line counts towards the limit.
    pub(crate) fn admits(&mut self, now: TimePoint) -> bool {
        if self.period <= now.since(self.period_start) {
            self.period_start = now;
            self.lines = 0;
        }
        let admitted = self.lines < self.lines_max;
        self.lines += u32::from(admitted);
        admitted
    }
}
