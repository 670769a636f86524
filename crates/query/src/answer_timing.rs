//! When the answer to a request is due.

use std::time::Duration;

use mux_model::TimePoint;

/// Time that an answer needs to reach its caller: two crossings of the network, three milliseconds
/// each at the farthest site, and the work of both ends.
const RETURN_TIME: Duration = Duration::from_millis(10);
/// Most of the latency target that is set aside for the way, so that a short target leaves time
/// for the upstreams.
const MAX_RETURN_SHARE: f64 = 0.25;

/// The moments that a request is measured by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTiming {
    /// By when an answer that is complete enough is sent.
    pub target: TimePoint,
    /// By when the final answer is sent.
    pub deadline: TimePoint,
}

impl AnswerTiming {
    /// Returns the moments of a request that arrived at `arrived` with `time_left`, on a route with
    /// this time limit and latency target.
    ///
    /// The latency target counts from the caller's first attempt. A caller that comes again has
    /// less time left than the route allows, by which the attempt before can be told.
    pub fn new(
        arrived: TimePoint,
        time_left: Option<Duration>,
        time_limit: Duration,
        latency_target: Duration,
    ) -> Self {
        let allowed = time_left.unwrap_or(time_limit).min(time_limit);
        let elapsed = time_limit.saturating_sub(allowed);
        let on_the_way = RETURN_TIME.min(latency_target.mul_f64(MAX_RETURN_SHARE));
        let target = match latency_target.checked_sub(elapsed + on_the_way) {
            Some(left) if !left.is_zero() => left,
            _ => latency_target - on_the_way,
        };
        let deadline = arrived + allowed.saturating_sub(on_the_way.min(allowed / 4));
        Self { target: (arrived + target).min(deadline), deadline }
    }
}
