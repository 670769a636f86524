//! Availability of an upstream for a call, and its score among other replicas.

use std::time::Duration;

use mux_model::TimePoint;

/// Whether an upstream can accept a call now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Availability {
    /// Accepts calls.
    Free(ReplicaScore),
    /// At its limit; a slot is expected to be free after this time.
    Full(Duration),
    /// Gets no calls for about this time, because of a pause or a probe call in flight.
    Paused(Duration),
    /// The backoff of its ejection has ended; the next first call serves as the probe.
    ProbeDue,
    /// Ejected until this time.
    Ejected(TimePoint),
    /// Removed, draining, or without a reply to its probe call for too long.
    Unavailable,
}

impl Availability {
    /// Returns whether a slot can be reserved for a call, including a probe.
    pub(crate) fn is_reservable(self) -> bool {
        matches!(self, Self::Free(_) | Self::ProbeDue | Self::Ejected(_))
    }
}

/// Criteria for the selection between two replicas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReplicaScore {
    /// Expected latency of one more call, given the calls in flight; lower is better.
    pub(crate) cost: f64,
    /// Whether the upstream is in this node's availability zone.
    pub(crate) same_zone: bool,
    /// Requests in flight recently reported by the upstream.
    pub(crate) reported_load: Option<u32>,
}
