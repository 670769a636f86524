//! Tells whether a service is overloaded.

use std::time::Duration;

use mux_model::TimePoint;

/// Share of recent events with signs of overload above which the service is overloaded.
const OVERLOADED_SHARE: f64 = 0.1;
/// Events before which nothing is judged.
const MIN_EVENTS: u32 = 10;
const SLICE_MS: u64 = 250;

#[derive(Debug, Clone, Copy, Default)]
struct EventCounts {
    total: u32,
    pressed: u32,
}

/// Counts sheds and missed deadlines among recent calls.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OverloadMeter {
    newest: EventCounts,
    older: EventCounts,
    newest_since: TimePoint,
}

impl OverloadMeter {
    /// Takes in an event without signs of overload.
    pub(crate) fn record_calm(&mut self, now: TimePoint) {
        self.rotate(now);
        self.newest.total += 1;
    }

    /// Takes in a sign of overload.
    pub(crate) fn record_pressed(&mut self, now: TimePoint) {
        self.rotate(now);
        self.newest.total += 1;
        self.newest.pressed += 1;
    }

    /// Returns whether signs of overload are frequent.
    pub(crate) fn is_overloaded(&mut self, now: TimePoint) -> bool {
        self.rotate(now);
        let total = self.newest.total + self.older.total;
        let pressed = self.newest.pressed + self.older.pressed;
        MIN_EVENTS <= total && f64::from(total) * OVERLOADED_SHARE < f64::from(pressed)
    }

    fn rotate(&mut self, now: TimePoint) {
        let slice = Duration::from_millis(SLICE_MS);
        let age = now.since(self.newest_since);
        if age < slice {
            return;
        }
        self.older = if age < slice * 2 { self.newest } else { EventCounts::default() };
        self.newest = EventCounts::default();
        self.newest_since = now;
    }
}
