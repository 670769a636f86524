//! The latest sequences of one session and what became of each.

use std::collections::VecDeque;

use bytes::Bytes;
use mux_model::Verdict;

/// Sequences that a session remembers, counted back from the highest.
pub(crate) const WINDOW_LENGTH: usize = 64;

/// What became of one sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SequenceState {
    /// The request runs.
    Running,
    /// The request ended; the answer is kept if there was room.
    Finished { verdict: Verdict, answer: Option<Bytes> },
}

/// The highest sequence of one session and the sequences shortly below it.
#[derive(Debug, Default)]
pub(crate) struct SessionWindow {
    highest: u64,
    sequences: VecDeque<(u64, SequenceState)>,
}

impl SessionWindow {
    /// Returns whether `sequence` is too old to be remembered.
    pub(crate) fn is_forgotten(&self, sequence: u64) -> bool {
        sequence < self.lowest()
    }

    /// Returns what became of `sequence`; `None` if it never ran within the window.
    pub(crate) fn get(&self, sequence: u64) -> Option<&SequenceState> {
        self.sequences.iter().find(|it| it.0 == sequence).map(|it| &it.1)
    }

    /// Returns what became of `sequence`, for change.
    pub(crate) fn get_mut(&mut self, sequence: u64) -> Option<&mut SequenceState> {
        self.sequences.iter_mut().find(|it| it.0 == sequence).map(|it| &mut it.1)
    }

    /// Records that `sequence` runs and forgets the sequences that leave the window.
    ///
    /// Returns the number of bytes of the answers that were forgotten.
    pub(crate) fn start(&mut self, sequence: u64) -> usize {
        self.highest = self.highest.max(sequence);
        let lowest = self.lowest();
        let mut freed = 0;
        self.sequences.retain(|(it, state)| {
            let keep = lowest <= *it;
            freed += if keep { 0 } else { answer_bytes(state) };
            keep
        });
        self.sequences.push_back((sequence, SequenceState::Running));
        freed
    }

    /// Forgets `sequence`, which did not run.
    pub(crate) fn remove(&mut self, sequence: u64) {
        self.sequences.retain(|it| it.0 != sequence);
    }

    /// Returns the number of bytes of all answers kept.
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
