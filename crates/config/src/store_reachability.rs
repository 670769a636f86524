//! How far what was read from the store can be trusted.

use std::time::Duration;

use mux_model::TimePoint;

/// Time after the store's return within which entries that lapsed meanwhile are written again.
///
/// The platform promises about two seconds; the third allows for the watch that tells of it.
const RETURN_GRACE: Duration = Duration::from_secs(3);

/// Records when the store answered and when it did not.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReachability {
    answered_at: Option<TimePoint>,
    failed_at: Option<TimePoint>,
    returned_at: Option<TimePoint>,
}

impl StoreReachability {
    /// Takes in an answer; returns whether the store is back after a failure.
    pub fn on_reply(&mut self, now: TimePoint) -> bool {
        let is_back = self.is_unreachable();
        if is_back {
            self.returned_at = Some(now);
        }
        self.answered_at = Some(now);
        is_back
    }

    /// Takes in a call without an answer; returns whether the store was reachable before.
    pub fn on_failure(&mut self, now: TimePoint) -> bool {
        let was_there = !self.is_unreachable();
        self.failed_at = Some(now);
        was_there
    }

    /// Returns whether the latest call had no answer, or none was made yet.
    pub fn is_unreachable(&self) -> bool {
        match (self.answered_at, self.failed_at) {
            (Some(answered), Some(failed)) => answered <= failed,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }

    /// Returns the time since the store last answered; `None` if it never did.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.answered_at.map(|it| now.since(it))
    }

    /// Returns whether an entry that is missing may belong to a writer that still lives.
    ///
    /// So it is while the store is away, and until writers had the time to come back.
    pub fn may_lack_live_entries(&self, now: TimePoint) -> bool {
        self.is_unreachable() || self.returned_at.is_some_and(|it| now.since(it) < RETURN_GRACE)
    }
}
