//! Tracks whether the store is reachable, and whether entries of live writers may be missing after
//! an outage.

use std::time::Duration;

use mux_model::TimePoint;
use serde::{Deserialize, Serialize};

/// Time after an outage of the store within which writers restore entries that expired during it.
///
/// The platform that provides the store specifies about two seconds; one more second allows for the
/// delay with which a watch reports restored entries.
const RECOVERY_GRACE: Duration = Duration::from_secs(3);

/// State of a [`StoreReachability`] relative to the current time, in a form that another node can
/// adopt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachabilityReport {
    /// Time since the last reply of the store; `None` if there was none.
    pub since_reply: Option<Duration>,
    /// Time since the latest reply that followed a failure; `None` if there was none.
    pub since_recovery: Option<Duration>,
    /// Time since the store was found to be restored from an older copy; `None` if it was not.
    pub since_restore: Option<Duration>,
    /// Whether the latest call got no reply, or no call has been made yet.
    pub is_unreachable: bool,
}

/// Records when calls to the store succeeded and failed.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReachability {
    replied_at: Option<TimePoint>,
    failed_at: Option<TimePoint>,
    /// Time of the latest reply that followed a failure, or of the first reply.
    recovered_at: Option<TimePoint>,
    /// When the store was found to be restored from an older copy.
    restored_at: Option<TimePoint>,
}

impl StoreReachability {
    /// Returns the state at `now` for another node.
    pub fn report(&self, now: TimePoint) -> ReachabilityReport {
        ReachabilityReport {
            since_reply: self.time_since_reply(now),
            since_recovery: self.recovered_at.map(|it| now.since(it)),
            since_restore: self.restored_at.map(|it| now.since(it)),
            is_unreachable: self.is_unreachable(),
        }
    }

    /// Reconstructs the state of the node that sent `report` up to `transit` before `now`.
    pub fn from_report(report: &ReachabilityReport, now: TimePoint, transit: Duration) -> Self {
        // Times before the start of this process cannot be represented, and are as good as never.
        let uptime = now.since(TimePoint::ZERO);
        let at = |age: Option<Duration>| age.filter(|it| *it < uptime).map(|it| now - it);
        Self {
            replied_at: at(report.since_reply.map(|it| it.saturating_add(transit))),
            failed_at: report.is_unreachable.then_some(now),
            recovered_at: at(report.since_recovery),
            restored_at: at(report.since_restore),
        }
    }

    /// Adopts what another node had heard of the store until this node asks it itself, so that its first
    /// reply does not pass for the end of an outage. Failures of the other node say nothing about this
    /// one.
    pub fn adopt(&mut self, other: &Self) {
        self.replied_at = self.replied_at.max(other.replied_at);
        self.recovered_at = self.recovered_at.max(other.recovered_at);
        self.restored_at = self.restored_at.max(other.restored_at);
    }

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

    /// Records that the store was restored from an older copy; writers need time to write their
    /// entries again.
    pub fn on_restored(&mut self, now: TimePoint) {
        self.restored_at = Some(now);
        self.recovered_at = Some(now);
    }

    /// Returns whether the store may still hold older entries than before it was restored.
    pub fn may_be_outdated(&self, now: TimePoint) -> bool {
        self.restored_at.is_some_and(|it| now.since(it) < RECOVERY_GRACE)
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
