//! Detects that calls to one upstream take longer than they used to.

use std::time::Duration;

use mux_model::TimePoint;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Largest sample that is taken in, as a multiple of the baseline; bounds the effect of stragglers.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Ratio of recent latency to the baseline above which latency counts as inflated.
const INFLATED_RATIO: f64 = 2.0;
/// Time in which the baseline follows a lasting change of latency by about two thirds.
const BASELINE_DRIFT_MS: u64 = 30_000;
/// Samples before which nothing is judged.
const MIN_SAMPLES: u32 = 30;

/// Recent latency against a baseline that falls at once and rises slowly.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyBaseline {
    recent: f64,
    baseline: f64,
    samples: u32,
    sampled_at: TimePoint,
}

impl LatencyBaseline {
    /// Takes in a measured latency.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.samples < MIN_SAMPLES {
            self.learn(sample);
        } else {
            let sample = sample.min(self.baseline * MAX_SAMPLE_RATIO);
            self.recent += SAMPLE_WEIGHT * (sample - self.recent);
            self.follow(now);
        }
        self.sampled_at = now;
    }

    /// Returns the usual latency; zero if nothing is known.
    pub(crate) fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.baseline)
    }

    /// Returns whether calls take markedly longer than the baseline.
    pub(crate) fn is_inflated(&self) -> bool {
        MIN_SAMPLES <= self.samples && self.baseline * INFLATED_RATIO < self.recent
    }

    fn learn(&mut self, sample: f64) {
        self.samples += 1;
        self.recent += (sample - self.recent) / f64::from(self.samples);
        self.baseline = self.recent;
    }

    fn follow(&mut self, now: TimePoint) {
        if self.recent < self.baseline {
            self.baseline = self.recent;
            return;
        }
        let elapsed = now.since(self.sampled_at).as_secs_f64();
        let drift = Duration::from_millis(BASELINE_DRIFT_MS).as_secs_f64();
        self.baseline += (self.recent - self.baseline) * (elapsed / drift).min(1.0);
    }
}
