//! Detection of overload of a service.

use std::time::Duration;

use mux_model::TimePoint;

/// Share of overload events among recent events above which the service is overloaded.
const OVERLOADED_SHARE: f64 = 0.1;
/// Minimum number of recent events to detect overload.
const MIN_EVENTS: u32 = 10;
/// Length of a time slice; events of the newest and the previous slice are recent.
const SLICE_MS: u64 = 250;

#[derive(Debug, Clone, Copy, Default)]
struct EventCounts {
    total: u32,
    overloaded: u32,
}

/// Counts shed calls and missed deadlines among recent calls.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OverloadDetector {
    newest: EventCounts,
    older: EventCounts,
    newest_since: TimePoint,
}

impl OverloadDetector {
    /// Records an event that does not indicate overload.
    pub(crate) fn record_normal(&mut self, now: TimePoint) {
        self.rotate(now);
        self.newest.total += 1;
    }

    /// Records an event that indicates overload.
    pub(crate) fn record_overload(&mut self, now: TimePoint) {
        self.rotate(now);
        self.newest.total += 1;
        self.newest.overloaded += 1;
    }

    /// Returns whether overload events are frequent.
    pub(crate) fn is_overloaded(&mut self, now: TimePoint) -> bool {
        self.rotate(now);
        let total = self.newest.total + self.older.total;
        let overloaded = self.newest.overloaded + self.older.overloaded;
        MIN_EVENTS <= total && f64::from(total) * OVERLOADED_SHARE < f64::from(overloaded)
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
