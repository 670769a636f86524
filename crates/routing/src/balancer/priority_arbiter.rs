//! In which order calls that wait for a connection get one.

use std::time::Duration;

use mux_model::TimePoint;

/// Time after which a call that found no connection is taken not to wait any more. Those that wait
/// ask again every few milliseconds.
const WAIT_MEMORY: Duration = Duration::from_millis(5);

/// Connections that go to more urgent calls before one goes to another that waits as well.
const URGENT_TURNS: u32 = 3;

/// Remembers which ranks of calls wait, and decides which calls let others go first.
///
/// Answers routes of several ranks that share upstreams whose connections are all in use: the calls
/// of the most urgent one go first, but for one connection in four, so that none starves. By their
/// age, calls of a long queue would all go first.
#[derive(Debug, Clone, Default)]
pub struct PriorityArbiter {
    waiting: Vec<WaitingRank>,
    /// Connections that more urgent calls got since another call got one.
    turns: u32,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRank {
    /// Zero is the most urgent one.
    rank: u32,
    refused_at: TimePoint,
}

impl PriorityArbiter {
    /// Takes in that a call of `rank` found no connection and waits.
    pub fn on_refused(&mut self, now: TimePoint, rank: u32) {
        match self.waiting.iter_mut().find(|it| it.rank == rank) {
            Some(known) => known.refused_at = now,
            None => self.waiting.push(WaitingRank { rank, refused_at: now }),
        }
    }

    /// Takes in that a call of `rank` got a connection.
    pub fn on_granted(&mut self, now: TimePoint, rank: u32) {
        if self.is_waiting(now, |it| it < rank) {
            self.turns = 0;
        } else if self.is_waiting(now, |it| rank < it) {
            self.turns += 1;
        }
    }

    /// Returns whether a call of `rank` lets more urgent ones go first.
    pub fn is_to_yield(&self, now: TimePoint, rank: u32) -> bool {
        self.turns < URGENT_TURNS && self.is_waiting(now, |it| it < rank)
    }

    fn is_waiting(&self, now: TimePoint, is_meant: impl Fn(u32) -> bool) -> bool {
        self.waiting.iter().any(|it| is_meant(it.rank) && now.since(it.refused_at) <= WAIT_MEMORY)
    }
}
