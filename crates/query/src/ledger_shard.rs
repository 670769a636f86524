//! The part of a session ledger that is under one lock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use mux_model::{FastMap, TimePoint, Verdict};

use crate::{
    BeginOutcome, RunTicket, SessionId,
    session_window::{SequenceState, SessionWindow, WINDOW_LENGTH},
};

/// Bounds of one shard's memory.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardLimits {
    pub(crate) sessions: usize,
    pub(crate) answer_bytes: usize,
    pub(crate) longest_answer_bytes: usize,
}

/// Sessions, the order in which they expire, and the order in which answers were kept.
#[derive(Debug)]
pub(crate) struct LedgerShard {
    limits: ShardLimits,
    latest: TimePoint,
    windows: FastMap<SessionId, SessionWindow>,
    expiries: BinaryHeap<Reverse<(TimePoint, SessionId)>>,
    kept_answers: VecDeque<(SessionId, u64)>,
    answer_bytes: usize,
}

impl LedgerShard {
    /// Creates a shard that remembers nothing.
    pub(crate) fn new(limits: ShardLimits) -> Self {
        Self {
            limits,
            latest: TimePoint::ZERO,
            windows: FastMap::default(),
            expiries: BinaryHeap::new(),
            kept_answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the number of sessions remembered.
    pub(crate) fn session_count(&self) -> usize {
        self.windows.len()
    }

    /// Returns the number of bytes of the answers kept.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides whether `sequence` of `session` runs.
    ///
    /// The latest time ever seen under the lock decides on expiry: a thread that read the clock
    /// earlier must not revive a session that another thread has already forgotten.
    pub(crate) fn begin(
        &mut self,
        now: TimePoint,
        session: SessionId,
        expiry: TimePoint,
        sequence: u64,
    ) -> BeginOutcome {
        self.latest = self.latest.max(now);
        self.forget_expired();
        if expiry <= self.latest {
            return BeginOutcome::Expired;
        }
        if let Some(window) = self.windows.get(&session) {
            if window.is_forgotten(sequence) {
                return BeginOutcome::Forgotten;
            }
            if let Some(state) = window.get(sequence) {
                return repeat(state);
            }
        } else if self.limits.sessions <= self.windows.len() {
            return BeginOutcome::LedgerFull { retry_after: self.time_to_expiry() };
        } else {
            self.expiries.push(Reverse((expiry, session)));
        }
        let freed = self.windows.entry(session).or_default().start(sequence);
        self.answer_bytes -= freed;
        BeginOutcome::Run(RunTicket { session, sequence })
    }

    /// Records how a request ended; does nothing if its session or sequence is forgotten.
    pub(crate) fn complete(&mut self, ticket: RunTicket, verdict: Verdict, answer: Option<Bytes>) {
        let RunTicket { session, sequence } = ticket;
        let longest = self.limits.longest_answer_bytes.min(self.limits.answer_bytes);
        let Some(window) = self.windows.get_mut(&session) else {
            return;
        };
        if verdict == Verdict::NotRun {
            return window.remove(sequence);
        }
        let Some(state) = window.get_mut(sequence) else {
            return;
        };
        let answer = answer.filter(|it| it.len() <= longest);
        if let Some(answer) = &answer {
            self.answer_bytes += answer.len();
            self.kept_answers.push_back((session, sequence));
        }
        *state = SequenceState::Finished { verdict, answer };
        self.drop_oldest_answers();
    }

    fn forget_expired(&mut self) {
        while let Some(Reverse((expiry, session))) = self.expiries.peek().copied() {
            if self.latest < expiry {
                return;
            }
            self.expiries.pop();
            if let Some(window) = self.windows.remove(&session) {
                self.answer_bytes -= window.answer_bytes();
            }
        }
    }

    fn drop_oldest_answers(&mut self) {
        while self.limits.answer_bytes < self.answer_bytes || self.has_spare_entries() {
            let Some((session, sequence)) = self.kept_answers.pop_front() else {
                return;
            };
            let state = self.windows.get_mut(&session).and_then(|it| it.get_mut(sequence));
            if let Some(SequenceState::Finished { answer, .. }) = state {
                self.answer_bytes -= answer.take().map_or(0, |it| it.len());
            }
        }
    }

    /// Returns whether more answers are listed than the sessions can hold.
    fn has_spare_entries(&self) -> bool {
        self.limits.sessions.saturating_mul(WINDOW_LENGTH) < self.kept_answers.len()
    }

    fn time_to_expiry(&self) -> Duration {
        self.expiries.peek().map_or(Duration::ZERO, |it| it.0.0.since(self.latest))
    }
}

fn repeat(state: &SequenceState) -> BeginOutcome {
    match state {
        SequenceState::Running => BeginOutcome::InProgress,
        SequenceState::Finished { verdict, answer } => {
            BeginOutcome::Finished { verdict: *verdict, answer: answer.clone() }
        }
    }
}
