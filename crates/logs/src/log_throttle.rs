//! Bounds the rate of one kind of log line.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use mux_model::TimePoint;

/// Lets through a few lines a period and counts the rest.
#[derive(Debug)]
pub struct LogThrottle {
    period: Duration,
    limit: u32,
    state: Mutex<ThrottleState>,
}

#[derive(Debug, Default)]
struct ThrottleState {
    started: TimePoint,
    written: u32,
    suppressed: u64,
}

impl LogThrottle {
    /// Creates a throttle that lets through `limit` lines a `period`.
    pub fn new(limit: u32, period: Duration) -> Self {
        Self { period, limit, state: Mutex::default() }
    }

    /// Returns the number of lines suppressed before this one if it may be written.
    pub fn allow(&self, now: TimePoint) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if self.period <= now.since(state.started) {
            state.started = now;
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
