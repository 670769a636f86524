//! Detection of inflated call latency at one upstream.

use std::time::Duration;

use mux_model::TimePoint;

/// Weight of a new sample in the recent latency.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Upper bound of a sample, as a multiple of the baseline; limits the effect of stragglers.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Ratio of recent latency to the baseline above which latency counts as inflated.
const INFLATED_RATIO: f64 = 2.0;
/// Time constant of the baseline's rise: it follows a lasting increase by about two thirds in it.
const BASELINE_DRIFT_MS: u64 = 30_000;
/// Number of initial samples, whose mean is the initial baseline; until then, latency never counts
/// as inflated.
const INITIAL_SAMPLES: u32 = 30;

/// Compares recent latency with a baseline that falls at once and rises slowly.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyBaseline {
    recent: f64,
    baseline: f64,
    samples: u32,
    sampled_at: TimePoint,
}

impl LatencyBaseline {
    /// Records the latency of a call.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.samples < INITIAL_SAMPLES {
            self.add_initial_sample(sample);
        } else {
            let sample = sample.min(self.baseline * MAX_SAMPLE_RATIO);
            self.recent += SAMPLE_WEIGHT * (sample - self.recent);
            self.update_baseline(now);
        }
        self.sampled_at = now;
    }

    /// Returns the baseline latency; zero without samples.
    pub(crate) fn value(&self) -> Duration {
        Duration::from_secs_f64(self.baseline)
    }

    /// Returns whether recent latency exceeds the baseline by more than [`INFLATED_RATIO`].
    pub(crate) fn is_inflated(&self) -> bool {
        INITIAL_SAMPLES <= self.samples && self.baseline * INFLATED_RATIO < self.recent
    }

    fn add_initial_sample(&mut self, sample: f64) {
        self.samples += 1;
        self.recent += (sample - self.recent) / f64::from(self.samples);
        self.baseline = self.recent;
    }

    fn update_baseline(&mut self, now: TimePoint) {
        if self.recent < self.baseline {
            self.baseline = self.recent;
            return;
        }
        let elapsed = now.since(self.sampled_at).as_secs_f64();
        let drift = Duration::from_millis(BASELINE_DRIFT_MS).as_secs_f64();
        self.baseline += (self.recent - self.baseline) * (elapsed / drift).min(1.0);
    }
}
