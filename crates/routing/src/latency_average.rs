//! Smoothed call latency of one upstream.

use std::time::Duration;

use mux_model::TimePoint;

/// Weight of a sample above the average.
const RISE_WEIGHT: f64 = 0.3;
/// Weight of a sample below the average.
const FALL_WEIGHT: f64 = 0.1;
/// Time without a sample in which the average loses about two thirds.
const IDLE_DECAY_MS: u64 = 5_000;

/// An exponentially weighted average that rises faster than it falls.
///
/// Without samples it decays towards zero, so that an upstream that was slow is tried again.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyAverage {
    average_us: f64,
    sampled_at: TimePoint,
}

impl LatencyAverage {
    /// Takes in a measured latency.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        let sample = as_micros(latency);
        let current = self.current_us(now);
        let weight = if current < sample { RISE_WEIGHT } else { FALL_WEIGHT };
        self.average_us =
            if current == 0.0 { sample } else { current + weight * (sample - current) };
        self.sampled_at = now;
    }

    /// Takes in a call that was given up after `elapsed`; its latency was at least that.
    pub(crate) fn record_at_least(&mut self, now: TimePoint, elapsed: Duration) {
        if self.current_us(now) < as_micros(elapsed) {
            self.record(now, elapsed);
        }
    }

    /// Returns the average in microseconds; zero if nothing is known.
    pub(crate) fn current_us(&self, now: TimePoint) -> f64 {
        let idle = as_micros(now.since(self.sampled_at));
        let decay = as_micros(Duration::from_millis(IDLE_DECAY_MS));
        self.average_us * (-idle / decay).exp()
    }

    /// Returns the average; zero if nothing is known.
    pub(crate) fn current(&self, now: TimePoint) -> Duration {
        Duration::from_secs_f64(self.current_us(now) / 1e6)
    }
}

fn as_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
