//! How fast a node has used grants lately.

use std::time::Duration;

use mux_model::TimePoint;

/// Time in which the weight of a used grant falls to 1 / e.
const USE_MEMORY: Duration = Duration::from_secs(2);
/// Weight of the used grants below which a node counts as one that uses none.
const MIN_USE_WEIGHT: f64 = 0.25;

/// Moving average of the grants that a node uses per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct UseRate {
    weight: f64,
    updated_at: TimePoint,
}

impl UseRate {
    /// Records that a grant was used.
    pub(crate) fn on_use(&mut self, now: TimePoint) {
        *self = Self { weight: self.weight(now) + 1.0, updated_at: now };
    }

    /// Returns the number of grants that are used within `period` if the use goes on, rounded up; 0 if
    /// none have been used lately.
    pub(crate) fn expected_uses(&self, now: TimePoint, period: Duration) -> u32 {
        let weight = self.weight(now);
        if weight < MIN_USE_WEIGHT {
            return 0;
        }
        (weight * period.as_secs_f64() / USE_MEMORY.as_secs_f64()).ceil() as u32
    }

    fn weight(&self, now: TimePoint) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / USE_MEMORY.as_secs_f64()).exp()
    }
}
