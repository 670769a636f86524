//! The phases of a planned stop.

use std::sync::atomic::{AtomicU8, Ordering};

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// The node is in no new address answer and still serves.
    Leaving,
    /// The node refuses new queries as not run and finishes what is in flight.
    Refusing,
}

/// The phase of the planned stop; it only moves forward.
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
            _ => StopPhase::Refusing,
        }
    }

    /// Moves to `phase`; returns whether it was ahead of the present one.
    pub(crate) fn advance(&self, phase: StopPhase) -> bool {
        let code = phase as u8;
        self.phase.fetch_max(code, Ordering::AcqRel) < code
    }
}
