//! How long first calls wait for a slot.

use std::time::Duration;

/// Waits and granted calls at one upstream in one interval.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WaitCounts {
    waited: Duration,
    granted: u32,
}

impl WaitCounts {
    /// Counts a call that was sent.
    pub(crate) fn record_grant(&mut self) {
        self.granted += 1;
    }

    /// Counts the time after which a waiting call asks again.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.waited += wait;
    }

    /// Returns the mean wait of a call, as callers ask again just after the time they were told.
    pub(crate) fn mean(&self) -> Duration {
        self.waited / self.granted.max(1)
    }
}
