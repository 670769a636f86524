//! One stripe of a session ledger, which is protected by its own lock.

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

/// Memory limits of one stripe.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StripeLimits {
    pub(crate) sessions: usize,
    pub(crate) answer_bytes: usize,
    pub(crate) max_bytes_per_answer: usize,
}

/// Sessions, the order in which they expire, and the order in which answers were stored.
#[derive(Debug)]
pub(crate) struct LedgerStripe {
    limits: StripeLimits,
    latest_time: TimePoint,
    windows: FastMap<SessionId, SessionWindow>,
    expiries: BinaryHeap<Reverse<(TimePoint, SessionId)>>,
    stored_answers: VecDeque<(SessionId, u64)>,
    answer_bytes: usize,
}

impl LedgerStripe {
    /// Creates an empty stripe.
    pub(crate) fn new(limits: StripeLimits) -> Self {
        Self {
            limits,
            latest_time: TimePoint::ZERO,
            windows: FastMap::default(),
            expiries: BinaryHeap::new(),
            stored_answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the number of stored sessions.
    pub(crate) fn session_count(&self) -> usize {
        self.windows.len()
    }

    /// Returns the total size of the stored answers in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides whether `sequence` of `session` runs and, if so, records it as running.
    ///
    /// Expiry is checked against the latest time seen under the lock: a thread that read the clock
    /// earlier must not recreate a session that another thread has already removed.
    pub(crate) fn begin(
        &mut self,
        now: TimePoint,
        session: SessionId,
        expiry: TimePoint,
        sequence: u64,
    ) -> BeginOutcome {
        self.latest_time = self.latest_time.max(now);
        self.remove_expired();
        if expiry <= self.latest_time {
            return BeginOutcome::Expired;
        }
        if let Some(window) = self.windows.get(&session) {
            if window.is_below_window(sequence) {
                return BeginOutcome::BelowWindow;
            }
            if let Some(state) = window.get(sequence) {
                return repeat_outcome(state);
            }
        } else if self.limits.sessions <= self.windows.len() {
            return BeginOutcome::LedgerFull { retry_after: self.time_to_next_expiry() };
        } else {
            self.expiries.push(Reverse((expiry, session)));
        }
        let freed_bytes = self.windows.entry(session).or_default().start(sequence);
        self.answer_bytes -= freed_bytes;
        BeginOutcome::Run(RunTicket { session, sequence })
    }

    /// Records how a request ended; does nothing if its session or sequence is no longer stored.
    pub(crate) fn complete(&mut self, ticket: RunTicket, verdict: Verdict, answer: Option<Bytes>) {
        let RunTicket { session, sequence } = ticket;
        let max_bytes = self.limits.max_bytes_per_answer.min(self.limits.answer_bytes);
        let Some(window) = self.windows.get_mut(&session) else {
            return;
        };
        if verdict == Verdict::NotRun {
            return window.remove(sequence);
        }
        let Some(state) = window.get_mut(sequence) else {
            return;
        };
        let answer = answer.filter(|it| it.len() <= max_bytes);
        if let Some(answer) = &answer {
            self.answer_bytes += answer.len();
            self.stored_answers.push_back((session, sequence));
        }
        *state = SequenceState::Finished { verdict, answer };
        self.evict_oldest_answers();
    }

    fn remove_expired(&mut self) {
        while let Some(Reverse((expiry, session))) = self.expiries.peek().copied() {
            if self.latest_time < expiry {
                return;
            }
            self.expiries.pop();
            if let Some(window) = self.windows.remove(&session) {
                self.answer_bytes -= window.answer_bytes();
            }
        }
    }

    fn evict_oldest_answers(&mut self) {
        while self.limits.answer_bytes < self.answer_bytes || self.lists_too_many_answers() {
            let Some((session, sequence)) = self.stored_answers.pop_front() else {
                return;
            };
            let state = self.windows.get_mut(&session).and_then(|it| it.get_mut(sequence));
            if let Some(SequenceState::Finished { answer, .. }) = state {
                self.answer_bytes -= answer.take().map_or(0, |it| it.len());
            }
        }
    }

    /// Returns whether `stored_answers` has more entries than the windows of all sessions can hold;
    /// it keeps the entries of answers that were removed with their session or sequence.
    fn lists_too_many_answers(&self) -> bool {
        self.limits.sessions.saturating_mul(WINDOW_LENGTH) < self.stored_answers.len()
    }

    fn time_to_next_expiry(&self) -> Duration {
        self.expiries.peek().map_or(Duration::ZERO, |it| it.0.0.since(self.latest_time))
    }
}

fn repeat_outcome(state: &SequenceState) -> BeginOutcome {
    match state {
        SequenceState::Running => BeginOutcome::InProgress,
        SequenceState::Finished { verdict, answer } => {
            BeginOutcome::Finished { verdict: *verdict, answer: answer.clone() }
        }
    }
}
