//! Whether a request may be sent to upstreams.

use crate::Evidence;

/// Whether a request may be sent to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestAdmission {
    /// There is no evidence against the request.
    Clear,
    /// There is evidence, but not enough for a quarantine.
    Suspect,
    /// The request must not be sent.
    Quarantined {
        /// The trial that this node may claim for the request now.
        trial: Option<Evidence>,
    },
}
