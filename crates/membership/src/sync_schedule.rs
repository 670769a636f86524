//! When this node compares its member table with that of another member.

use std::{net::SocketAddr, time::Duration};

use mux_model::TimePoint;

const PAGE_TIMEOUT: Duration = Duration::from_secs(1);
const JOIN_PERIOD: Duration = Duration::from_secs(1);
const ADVANCED_SYNC_DELAY: Duration = Duration::from_secs(3);
const UNSCHEDULED_PERIOD_MIN: Duration = Duration::from_secs(2);

/// The times of table comparisons and the one in progress.
#[derive(Debug, Default)]
pub(crate) struct SyncSchedule {
    seeds: Vec<SocketAddr>,
    next_join: TimePoint,
    next_periodic: TimePoint,
    next_unscheduled: TimePoint,
    active: Option<(SocketAddr, TimePoint)>,
}

impl SyncSchedule {
    /// Replaces the addresses that are asked for members.
    pub(crate) fn set_seeds(&mut self, now: TimePoint, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.next_join = now;
    }

    /// Returns the addresses that are asked for members.
    pub(crate) fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns whether seeds are to be asked now; `period` is the time to the next occasion.
    pub(crate) fn join_due(&mut self, now: TimePoint, alone: bool, period: Duration) -> bool {
        if now < self.next_join {
            return false;
        }
        self.next_join = now + if alone { JOIN_PERIOD } else { period };
        true
    }

    /// Returns whether a periodic comparison is to start now.
    pub(crate) fn periodic_due(&mut self, now: TimePoint, period: Duration) -> bool {
        if now < self.next_periodic {
            return false;
        }
        self.next_periodic = now + period;
        true
    }

    /// Brings the next periodic comparison forward, because the last one found differences.
    pub(crate) fn advance_periodic(&mut self, now: TimePoint) {
        self.next_periodic = self.next_periodic.min(now + ADVANCED_SYNC_DELAY);
    }

    /// Returns whether a comparison outside the period may start now.
    pub(crate) fn unscheduled_due(&mut self, now: TimePoint) -> bool {
        let due = self.next_unscheduled <= now && !self.is_active(now);
        if due {
            self.next_unscheduled = now + UNSCHEDULED_PERIOD_MIN;
        }
        due
    }

    /// Notes that a page was requested from `peer`.
    pub(crate) fn expect_page(&mut self, now: TimePoint, peer: SocketAddr) {
        self.active = Some((peer, now + PAGE_TIMEOUT));
    }

    /// Returns whether the page after one from `peer` is to be requested.
    pub(crate) fn may_request_next(&self, now: TimePoint, peer: SocketAddr) -> bool {
        match self.active {
            Some((active, deadline)) if now < deadline => active == peer,
            _ => true,
        }
    }

    /// Ends the exchange with `peer`.
    pub(crate) fn finish(&mut self, peer: SocketAddr) {
        self.active.take_if(|(active, _)| *active == peer);
    }

    fn is_active(&self, now: TimePoint) -> bool {
        self.active.is_some_and(|(_, deadline)| now < deadline)
    }
}
