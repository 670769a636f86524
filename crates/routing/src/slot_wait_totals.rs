//! Waits of first calls for slots at one upstream.

use std::time::Duration;

/// Total wait of first calls for slots at one upstream, and number of calls of any kind that got
/// one, between two adaptations of the query limit.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SlotWaitTotals {
    total_wait: Duration,
    granted_calls: u32,
}

impl SlotWaitTotals {
    /// Records that a call was granted a slot.
    pub(crate) fn record_grant(&mut self) {
        self.granted_calls += 1;
    }

    /// Adds the delay after which a waiting call retries.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.total_wait += wait;
    }

    /// Returns the mean wait of a call, assuming that waiting calls retry right after their delay.
    pub(crate) fn mean(&self) -> Duration {
        self.total_wait / self.granted_calls.max(1)
    }
}
