//! Computes the latency target and the deadline of a request.

use std::time::Duration;

use mux_model::TimePoint;

/// Time for a response to reach its caller: two network transits, which take 3 ms each to the
/// farthest site, and the processing at both ends.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(10);
/// Maximum share of the latency target reserved for the response transit, so that a short target
/// leaves time for the upstreams.
const MAX_TRANSIT_SHARE: f64 = 0.25;

/// The latency target and the deadline of a request, as points in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTiming {
    /// Time from which an answer that meets the coverage target is sent without waiting for more
    /// shards.
    pub target: TimePoint,
    /// Time by which the final answer is sent.
    pub deadline: TimePoint,
}

impl AnswerTiming {
    /// Returns the timing of a request that arrived at `arrived` with `time_left` (`None`: not
    /// stated), on a route with this time limit and latency target.
    ///
    /// The target is measured from the caller's first attempt; if that point has passed, from this
    /// attempt. A retry is recognized by having less time left than the route allows; the
    /// difference is the time since the first attempt. Target and deadline are both brought forward
    /// by the time that the response takes to reach the caller, the deadline by at most a quarter
    /// of the time left.
    pub fn new(
        arrived: TimePoint,
        time_left: Option<Duration>,
        time_limit: Duration,
        latency_target: Duration,
    ) -> Self {
        let allowed = time_left.unwrap_or(time_limit).min(time_limit);
        let elapsed = time_limit.saturating_sub(allowed);
        let transit = RESPONSE_TRANSIT_TIME.min(latency_target.mul_f64(MAX_TRANSIT_SHARE));
        let target = match latency_target.checked_sub(elapsed + transit) {
            Some(left) if !left.is_zero() => left,
            _ => latency_target - transit,
        };
        let deadline = arrived + allowed.saturating_sub(transit.min(allowed / 4));
        Self { target: (arrived + target).min(deadline), deadline }
    }
}
