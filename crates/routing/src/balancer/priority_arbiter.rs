//! Order in which calls waiting for a connection are served.

use std::time::Duration;

use mux_model::TimePoint;

/// Time since the last failed attempt of a rank's calls after which the rank no longer counts as
/// waiting. Waiting calls retry every few milliseconds.
const WAITER_TIMEOUT: Duration = Duration::from_millis(5);

/// Connections granted to more urgent calls before a less urgent waiting call gets one.
const MAX_URGENT_GRANTS: u32 = 3;

/// Tracks which priority ranks have waiting calls, and decides which calls have to yield.
///
/// When routes of several ranks compete for connections that are all in use, calls of the most
/// urgent rank go first, except for one connection in four, so that no rank starves. Ordering by
/// age would let the calls of a long queue go first.
#[derive(Debug, Clone, Default)]
pub struct PriorityArbiter {
    waiting: Vec<WaitingRank>,
    /// Connections granted to more urgent calls while less urgent ones waited, since a less urgent
    /// call last got one.
    urgent_grants: u32,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRank {
    /// Priority rank; zero is the most urgent.
    rank: u32,
    refused_at: TimePoint,
}

impl PriorityArbiter {
    /// Records that a call of `rank` got no connection and is waiting.
    pub fn on_refused(&mut self, now: TimePoint, rank: u32) {
        match self.waiting.iter_mut().find(|it| it.rank == rank) {
            Some(known) => known.refused_at = now,
            None => self.waiting.push(WaitingRank { rank, refused_at: now }),
        }
    }

    /// Records that a call of `rank` got a connection.
    pub fn on_granted(&mut self, now: TimePoint, rank: u32) {
        if self.is_waiting(now, |it| it < rank) {
            self.urgent_grants = 0;
        } else if self.is_waiting(now, |it| rank < it) {
            self.urgent_grants += 1;
        }
    }

    /// Returns whether a call of `rank` has to yield to more urgent ones.
    pub fn must_yield(&self, now: TimePoint, rank: u32) -> bool {
        self.urgent_grants < MAX_URGENT_GRANTS && self.is_waiting(now, |it| it < rank)
    }

    fn is_waiting(&self, now: TimePoint, matches_rank: impl Fn(u32) -> bool) -> bool {
        self.waiting
            .iter()
            .any(|it| matches_rank(it.rank) && now.since(it.refused_at) <= WAITER_TIMEOUT)
    }
}
