//! Tracks whether the store is reachable, and whether entries of live writers may be missing after
//! an outage.

use std::time::Duration;

use mux_model::TimePoint;

/// Time after an outage of the store within which writers restore entries that expired during it.
///
/// The platform that provides the store specifies about two seconds; one more second allows for the
/// delay with which a watch reports restored entries.
const RECOVERY_GRACE: Duration = Duration::from_secs(3);

/// Records when calls to the store succeeded and failed.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReachability {
    replied_at: Option<TimePoint>,
    failed_at: Option<TimePoint>,
    /// Time of the latest reply that followed a failure, or of the first reply.
    recovered_at: Option<TimePoint>,
}

impl StoreReachability {
    /// Records a reply; returns whether the store was unreachable before.
    pub fn on_reply(&mut self, now: TimePoint) -> bool {
        let has_recovered = self.is_unreachable();
        if has_recovered {
            self.recovered_at = Some(now);
        }
        self.replied_at = Some(now);
        has_recovered
    }

    /// Records a call without a reply; returns whether the store was reachable before.
    pub fn on_failure(&mut self, now: TimePoint) -> bool {
        let was_reachable = !self.is_unreachable();
        self.failed_at = Some(now);
        was_reachable
    }

    /// Returns whether the latest call got no reply, or no call has been made yet.
    pub fn is_unreachable(&self) -> bool {
        match (self.replied_at, self.failed_at) {
            (Some(replied), Some(failed)) => replied <= failed,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }

    /// Returns the time since the last reply of the store; `None` if there was none.
    pub fn time_since_reply(&self, now: TimePoint) -> Option<Duration> {
        self.replied_at.map(|it| now.since(it))
    }

    /// Returns whether a missing entry may belong to a writer that is still alive.
    ///
    /// This is the case while the store is unreachable, and until writers have had time to restore
    /// their entries.
    pub fn may_lack_live_entries(&self, now: TimePoint) -> bool {
        self.is_unreachable() || self.recovered_at.is_some_and(|it| now.since(it) < RECOVERY_GRACE)
    }
}
