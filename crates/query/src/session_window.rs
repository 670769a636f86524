//! The states of the latest requests of one session, by sequence number.

use std::collections::VecDeque;

use bytes::Bytes;
use mux_model::Verdict;

/// Number of sequence numbers that a session stores, counted back from the highest.
pub(crate) const WINDOW_LENGTH: usize = 64;

/// State of the request with one sequence number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SequenceState {
    /// The request is running.
    Running,
    /// The request ended; the answer is stored if it fits the memory limits.
    Finished { verdict: Verdict, answer: Option<Bytes> },
}

/// States of the sequence numbers of one session that are among the latest [`WINDOW_LENGTH`],
/// counted back from the highest.
#[derive(Debug, Default)]
pub(crate) struct SessionWindow {
    highest: u64,
    sequences: VecDeque<(u64, SequenceState)>,
}

impl SessionWindow {
    /// Returns whether `sequence` is below the window.
    pub(crate) fn is_below_window(&self, sequence: u64) -> bool {
        sequence < self.lowest()
    }

    /// Returns the stored state of `sequence`; `None` if there is none: it was never started, did
    /// not run, or is below the window.
    pub(crate) fn get(&self, sequence: u64) -> Option<&SequenceState> {
        self.sequences.iter().find(|it| it.0 == sequence).map(|it| &it.1)
    }

    /// Returns the stored state of `sequence` for modification; `None` in the same cases as
    /// [`Self::get`].
    pub(crate) fn get_mut(&mut self, sequence: u64) -> Option<&mut SequenceState> {
        self.sequences.iter_mut().find(|it| it.0 == sequence).map(|it| &mut it.1)
    }

    /// Records that `sequence` is running and removes the sequence numbers below the window.
    ///
    /// Returns the total size of the removed answers in bytes.
    pub(crate) fn start(&mut self, sequence: u64) -> usize {
        self.highest = self.highest.max(sequence);
        let lowest = self.lowest();
        let mut freed_bytes = 0;
        self.sequences.retain(|(it, state)| {
            let keep = lowest <= *it;
            freed_bytes += if keep { 0 } else { answer_bytes(state) };
            keep
        });
        self.sequences.push_back((sequence, SequenceState::Running));
        freed_bytes
    }

    /// Removes `sequence`, whose request did not run.
    pub(crate) fn remove(&mut self, sequence: u64) {
        self.sequences.retain(|it| it.0 != sequence);
    }

    /// Returns the total size of the stored answers in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.sequences.iter().map(|it| answer_bytes(&it.1)).sum()
    }

    fn lowest(&self) -> u64 {
        self.highest.saturating_sub(WINDOW_LENGTH as u64 - 1)
    }
}

fn answer_bytes(state: &SequenceState) -> usize {
    match state {
        SequenceState::Finished { answer: Some(answer), .. } => answer.len(),
        _ => 0,
    }
}
