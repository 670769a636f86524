//! Schedule of anti-entropy syncs.

use std::{net::SocketAddr, time::Duration};

use mux_model::TimePoint;

/// Time after which a sync that received no further page counts as ended.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);
const ALONE_SEED_SYNC_PERIOD: Duration = Duration::from_secs(1);
/// Maximum delay of the next periodic sync after a difference between tables was found.
const EARLY_SYNC_DELAY: Duration = Duration::from_secs(3);
const UNSCHEDULED_PERIOD_MIN: Duration = Duration::from_secs(2);

/// Times of the next syncs, and the sync in progress.
#[derive(Debug, Default)]
pub(crate) struct SyncSchedule {
    seeds: Vec<SocketAddr>,
    next_seed_sync: TimePoint,
    next_periodic: TimePoint,
    next_unscheduled: TimePoint,
    /// Peer of the sync in progress, and the time limit for its next page.
    active: Option<(SocketAddr, TimePoint)>,
}

impl SyncSchedule {
    /// Replaces the seed addresses and makes a sync with seeds due at once.
    pub(crate) fn set_seeds(&mut self, now: TimePoint, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.next_seed_sync = now;
    }

    /// Returns the seed addresses.
    pub(crate) fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns whether a sync with seeds is due; if so, schedules the next one.
    ///
    /// The next one is due after `period`, or after [`ALONE_SEED_SYNC_PERIOD`] while the node is
    /// `alone`.
    pub(crate) fn try_begin_seed_sync(
        &mut self,
        now: TimePoint,
        alone: bool,
        period: Duration,
    ) -> bool {
        if now < self.next_seed_sync {
            return false;
        }
        self.next_seed_sync = now + if alone { ALONE_SEED_SYNC_PERIOD } else { period };
        true
    }

    /// Returns whether a periodic sync is due; if so, schedules the next one after `period`.
    pub(crate) fn try_begin_periodic(&mut self, now: TimePoint, period: Duration) -> bool {
        if now < self.next_periodic {
            return false;
        }
        self.next_periodic = now + period;
        true
    }

    /// Brings the next periodic sync forward, as a difference between tables was found.
    pub(crate) fn bring_periodic_forward(&mut self, now: TimePoint) {
        self.next_periodic = self.next_periodic.min(now + EARLY_SYNC_DELAY);
    }

    /// Returns whether an unscheduled sync may start now; if so, records its start.
    pub(crate) fn try_begin_unscheduled(&mut self, now: TimePoint) -> bool {
        let due = self.next_unscheduled <= now && !self.is_active(now);
        if due {
            self.next_unscheduled = now + UNSCHEDULED_PERIOD_MIN;
        }
        due
    }

    /// Records that a page was requested from `peer`.
    pub(crate) fn expect_page(&mut self, now: TimePoint, peer: SocketAddr) {
        self.active = Some((peer, now + PAGE_TIMEOUT));
    }

    /// Returns whether the next page may be requested from `peer`.
    pub(crate) fn may_request_next(&self, now: TimePoint, peer: SocketAddr) -> bool {
        match self.active {
            Some((active, deadline)) if now < deadline => active == peer,
            _ => true,
        }
    }

    /// Ends the sync with `peer`.
    pub(crate) fn finish(&mut self, peer: SocketAddr) {
        self.active.take_if(|(active, _)| *active == peer);
    }

    fn is_active(&self, now: TimePoint) -> bool {
        self.active.is_some_and(|(_, deadline)| now < deadline)
    }
}
