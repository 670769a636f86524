//! The phases of a planned stop.

use std::sync::atomic::{AtomicU8, Ordering};

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The node is no longer advertised to callers and still admits queries.
    Leaving,
    /// The node rejects new queries as not run and finishes those in flight.
    Rejecting,
}

/// The current phase of the planned stop, which only moves forward.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    phase: AtomicU8,
}

impl StopState {
    /// Returns the phase.
    pub(crate) fn phase(&self) -> StopPhase {
        match self.phase.load(Ordering::Acquire) {
            0 => StopPhase::Serving,
            1 => StopPhase::Leaving,
            _ => StopPhase::Rejecting,
        }
    }

    /// Moves forward to `phase`; returns `false` if that phase was already reached.
    pub(crate) fn advance(&self, phase: StopPhase) -> bool {
        let code = phase as u8;
        self.phase.fetch_max(code, Ordering::AcqRel) < code
    }
}
