//! Rate limit for one kind of log line.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use mux_model::TimePoint;

/// Allows a limited number of lines per period and counts the suppressed ones.
#[derive(Debug)]
pub struct LogThrottle {
    period: Duration,
    limit: u32,
    state: Mutex<ThrottleState>,
}

#[derive(Debug, Default)]
struct ThrottleState {
    period_start: TimePoint,
    written: u32,
    suppressed: u64,
}

impl LogThrottle {
    /// Creates a throttle that allows `limit` lines per `period`.
    pub fn new(limit: u32, period: Duration) -> Self {
        Self { period, limit, state: Mutex::default() }
    }

    /// Returns the number of lines suppressed since the last allowed one, or `None` if this line is
    /// suppressed too.
    pub fn allow(&self, now: TimePoint) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if self.period <= now.since(state.period_start) {
            state.period_start = now;
            state.written = 0;
        }
        if self.limit <= state.written {
            state.suppressed += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
