//! Recent rate of a workspace's requests at one node.

use std::time::Duration;

use mux_model::TimePoint;

/// Time constant of the average: requests of this long ago weigh 1/e.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Recent rate of requests, as an exponentially weighted average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandRate {
    /// Requests, weighted by their age.
    weight: f64,
    updated_at: TimePoint,
}

impl DemandRate {
    /// Counts a request.
    pub(crate) fn count(&mut self, now: TimePoint) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the number of requests that are expected within `time`.
    ///
    /// It is rounded to the nearest number: grants that are kept or asked for on behalf of rare
    /// requests would mostly expire unused.
    pub(crate) fn expected(&self, now: TimePoint, time: Duration) -> u32 {
        let rate_per_s = self.weight_at(now) / AVERAGING_TIME.as_secs_f64();
        (rate_per_s * time.as_secs_f64()).round() as u32
    }

    fn weight_at(&self, now: TimePoint) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
