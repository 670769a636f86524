//! Seeded choice of service times and faults.

use std::{f64::consts::TAU, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::leaf_settings::LatencySettings;

/// Quantile function of the normal distribution at 0.99.
const NORMAL_P99: f64 = 2.326_347_874;

/// Source of everything random in one upstream.
#[derive(Debug)]
pub(crate) struct LatencyModel {
    rng: SmallRng,
}

impl LatencyModel {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Draws the time that a request takes: log-normal, or that of a straggler.
    pub(crate) fn draw(&mut self, settings: &LatencySettings) -> Duration {
        if self.happens(settings.straggler_share) {
            return from_millis(settings.straggler_ms);
        }
        let sigma = (settings.p99_ms / settings.median_ms).ln() / NORMAL_P99;
        from_millis(settings.median_ms * (sigma * self.draw_normal()).exp())
    }

    /// Draws whether something with this share happens.
    pub(crate) fn happens(&mut self, share: f64) -> bool {
        0.0 < share && self.rng.random::<f64>() < share
    }

    /// Box-Muller transform.
    fn draw_normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        radius * (TAU * self.rng.random::<f64>()).cos()
    }
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}
