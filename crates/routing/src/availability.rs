//! Whether an upstream can take a call, and how good a choice it is.

use std::time::Duration;

use mux_model::TimePoint;

/// Whether an upstream can take a call now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Availability {
    /// It can.
    Free(ReplicaScore),
    /// It is at its limit for about this time.
    Full(Duration),
    /// It takes none for about this time, at its own wish or until the outcome of a probe call.
    Paused(Duration),
    /// Its ejection is over; a first call serves as the probe.
    ProbeDue,
    /// It is ejected until this time.
    Down(TimePoint),
    /// It takes no new work.
    Closed,
}

impl Availability {
    /// Returns whether a call may be sent, if need be as a probe.
    pub(crate) fn is_free(self) -> bool {
        matches!(self, Self::Free(_) | Self::ProbeDue | Self::Down(_))
    }
}

/// What the choice between two replicas rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReplicaScore {
    /// Expected time of one more call; less is better.
    pub(crate) cost: f64,
    /// Whether the upstream is in this node's availability zone.
    pub(crate) same_zone: bool,
    /// Requests in flight there as the upstream reported them lately.
    pub(crate) reported: Option<u32>,
}
