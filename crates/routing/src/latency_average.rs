//! Smoothed call latency of one upstream.

use std::time::Duration;

use mux_model::TimePoint;

/// Weight of a sample above the average.
const RISE_WEIGHT: f64 = 0.3;
/// Weight of a sample below the average.
const FALL_WEIGHT: f64 = 0.1;
/// Time constant of the decay without samples: the average falls by about two thirds in it.
const IDLE_DECAY_MS: u64 = 5_000;

/// An exponentially weighted average that rises faster than it falls.
///
/// Without samples it decays towards zero, so that a formerly slow upstream gets calls again.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyAverage {
    average_us: f64,
    sampled_at: TimePoint,
}

impl LatencyAverage {
    /// Records the latency of a call.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        let sample = as_micros(latency);
        let current = self.current_us(now);
        let weight = if current < sample { RISE_WEIGHT } else { FALL_WEIGHT };
        self.average_us =
            if current == 0.0 { sample } else { current + weight * (sample - current) };
        self.sampled_at = now;
    }

    /// Records a call that ended without a reply after `elapsed`, a lower bound of its latency.
    pub(crate) fn record_lower_bound(&mut self, now: TimePoint, elapsed: Duration) {
        if self.current_us(now) < as_micros(elapsed) {
            self.record(now, elapsed);
        }
    }

    /// Returns the average in microseconds; zero without samples.
    pub(crate) fn current_us(&self, now: TimePoint) -> f64 {
        let idle = as_micros(now.since(self.sampled_at));
        let decay = as_micros(Duration::from_millis(IDLE_DECAY_MS));
        self.average_us * (-idle / decay).exp()
    }

    /// Returns the average; zero without samples.
    pub(crate) fn current(&self, now: TimePoint) -> Duration {
        Duration::from_secs_f64(self.current_us(now) / 1e6)
    }
}

fn as_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
