//! Seeded sampling of service times and faults.

use std::{f64::consts::TAU, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::leaf_settings::LatencySettings;

/// Quantile function of the normal distribution at 0.99.
const NORMAL_P99: f64 = 2.326_347_874;

/// Random number source of one upstream.
#[derive(Debug)]
pub(crate) struct BehaviourSampler {
    rng: SmallRng,
}

impl BehaviourSampler {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Samples the service time of a request: log-normal, or constant for a straggler.
    pub(crate) fn sample_latency(&mut self, settings: &LatencySettings) -> Duration {
        if self.sample_event(settings.straggler_share) {
            return from_millis(settings.straggler_ms);
        }
        let sigma = (settings.p99_ms / settings.median_ms).ln() / NORMAL_P99;
        from_millis(settings.median_ms * (sigma * self.sample_normal()).exp())
    }

    /// Samples whether an event of the given probability occurs.
    pub(crate) fn sample_event(&mut self, probability: f64) -> bool {
        0.0 < probability && self.rng.random::<f64>() < probability
    }

    /// Samples the standard normal distribution with the Box-Muller transform.
    fn sample_normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        radius * (TAU * self.rng.random::<f64>()).cos()
    }
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}
