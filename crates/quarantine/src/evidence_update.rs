//! Evidence that the store lacks or has to lose.

use mux_model::TimePoint;

use crate::{Evidence, EvidenceKey};

/// Evidence that has to be written to the store or removed from it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceUpdate {
    /// Evidence to write, and when this node learnt of it.
    pub writes: Vec<(Evidence, TimePoint)>,
    /// Evidence to remove.
    pub withdrawals: Vec<EvidenceKey>,
}
