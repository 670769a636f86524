//! Up to which time a copy of the store is known to hold all changes.

use std::time::Duration;

use mux_model::TimePoint;

/// Part of the limit for the operators' changes in which a reader of a stale copy finds another one, or
/// asks the store.
const SWITCH_TIME: Duration = Duration::from_millis(500);
/// Shortest wait of a call for changes. The reader of a copy that is about to be stale does not ask more
/// often, but leaves it.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Records up to which time this node's own copy holds all changes of the store.
///
/// A reply to another call than the watch shows only that the store is reachable. It says that the copy
/// is current if a watch waits for changes meanwhile, but not while the node pauses between two watches.
#[derive(Debug, Clone, Copy, Default)]
pub struct CopyCurrency {
    current_at: Option<TimePoint>,
    watching_since: Option<TimePoint>,
}

impl CopyCurrency {
    /// Records that a watch that continues the copy was sent.
    pub fn on_watch_sent(&mut self, now: TimePoint) {
        self.watching_since = Some(now);
    }

    /// Records that no watch is pending any more.
    pub fn on_watch_ended(&mut self) {
        self.watching_since = None;
    }

    /// Records that the copy holds all changes up to `at`.
    pub fn on_copied(&mut self, at: TimePoint) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Records a reply of the store to another call, which was sent at `sent_at`.
    pub fn on_other_reply(&mut self, sent_at: TimePoint) {
        if self.watching_since.is_some_and(|it| it <= sent_at) {
            self.on_copied(sent_at);
        }
    }

    /// Records a pause of the process, whose length is not known.
    pub fn on_pause(&mut self) {
        *self = Self::default();
    }

    /// Returns the time for which changes may be missing in the copy; `None` if all may be.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.current_at.map(|it| now.since(it))
    }
}

/// The time for which a reader may use the copy of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyLease {
    stale_at: TimePoint,
}

impl CopyLease {
    /// Returns the lease of a copy that was `age` old at its source when the peer replied, at
    /// `received_at` or up to `transit` before. `change_limit` is the time within which the operators'
    /// changes have to take effect.
    pub fn new(
        received_at: TimePoint,
        age: Duration,
        transit: Duration,
        change_limit: Duration,
    ) -> Self {
        let usable = change_limit.saturating_sub(SWITCH_TIME);
        Self { stale_at: received_at + usable.saturating_sub(age.saturating_add(transit)) }
    }

    /// Returns the time for which the copy may still be used.
    pub fn time_left(&self, now: TimePoint) -> Duration {
        self.stale_at.since(now)
    }

    /// Returns whether the copy may lack changes that have to be in effect soon.
    pub fn is_stale(&self, now: TimePoint) -> bool {
        self.stale_at <= now
    }

    /// Returns the time for which the next call waits for changes: at most `longest`, and a part of the
    /// time left, so that a reply that renews the lease arrives before its end. `None` if too little
    /// time is left for a call.
    pub fn next_wait(&self, now: TimePoint, longest: Duration) -> Option<Duration> {
        let wait = (self.time_left(now) / 2).min(longest);
        (MIN_WAIT <= wait).then_some(wait)
    }
}

/// Returns the longest time for which a reader that has left a stale copy may wait before it asks the
/// store, such that a call to the store fits in the rest of `change_limit`.
pub fn longest_stale_delay(change_limit: Duration) -> Duration {
    SWITCH_TIME.min(change_limit) / 2
}
