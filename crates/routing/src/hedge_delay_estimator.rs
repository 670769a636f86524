//! Delay after which a hedge is sent to another replica.

use std::time::Duration;

use hdrhistogram::Histogram;
use mux_model::TimePoint;

use crate::{HedgePolicy, latency_window::LatencyWindow};

/// Minimum number of samples for a measured delay.
const MIN_SAMPLES: u64 = 50;
/// Maximum measured delay, as a multiple of the median; slower calls are stragglers.
const MAX_MEDIAN_RATIO: u64 = 5;
/// Minimum measured delay.
const MIN_DELAY_MS: u64 = 1;
/// Time after which a measured delay is computed anew.
const REFRESH_INTERVAL_MS: u64 = 200;
/// Share of the extra-load budget planned for hedges; the rest is left for retries.
const HEDGE_BUDGET_SHARE: f64 = 0.75;

/// Records call latencies and derives the hedge delay from them.
#[derive(Debug)]
pub(crate) struct HedgeDelayEstimator {
    window: LatencyWindow,
    delay: Option<Duration>,
    computed_at: Option<TimePoint>,
}

impl HedgeDelayEstimator {
    /// Creates an estimator without samples.
    pub(crate) fn new() -> Self {
        Self { window: LatencyWindow::new(), delay: None, computed_at: None }
    }

    /// Records the latency of a call that got a reply.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        self.window.record(now, latency);
    }

    /// Records a call that ended without a reply after `elapsed`.
    ///
    /// Calls that ended before the hedge delay are skipped, as they do not affect the tail latency.
    pub(crate) fn record_lower_bound(&mut self, now: TimePoint, elapsed: Duration) {
        if self.delay.is_some_and(|it| it <= elapsed) {
            self.window.record(now, elapsed);
        }
    }

    /// Returns the hedge delay under `policy`; `None`: no hedges.
    ///
    /// If the budget does not suffice to hedge every call above the quantile, the quantile is
    /// raised, so that the budget is used for the slowest calls.
    pub(crate) fn delay(
        &mut self,
        now: TimePoint,
        policy: HedgePolicy,
        budget_ratio: Option<f64>,
    ) -> Option<Duration> {
        match policy {
            HedgePolicy::Off => None,
            HedgePolicy::Fixed(delay) => Some(delay),
            HedgePolicy::Quantile(quantile) => {
                let budget_quantile = budget_ratio.map_or(0.0, |it| 1.0 - it * HEDGE_BUDGET_SHARE);
                self.measured_delay(now, quantile.max(budget_quantile))
            }
        }
    }

    fn measured_delay(&mut self, now: TimePoint, quantile: f64) -> Option<Duration> {
        let refresh = Duration::from_millis(REFRESH_INTERVAL_MS);
        if self.computed_at.is_none_or(|it| refresh <= now.since(it)) {
            self.delay = slow_call_threshold(&self.window.merged(now), quantile);
            self.computed_at = Some(now);
        }
        self.delay
    }
}

/// Returns the latency above which a call counts as slow; `None` with too few samples. `latencies`
/// is in microseconds.
///
/// Bounded by a multiple of the median, as frequent stragglers would raise the quantile to their
/// own latency.
fn slow_call_threshold(latencies: &Histogram<u32>, quantile: f64) -> Option<Duration> {
    if latencies.len() < MIN_SAMPLES {
        return None;
    }
    let max_delay_us = latencies.value_at_quantile(0.5).saturating_mul(MAX_MEDIAN_RATIO);
    let delay = Duration::from_micros(latencies.value_at_quantile(quantile).min(max_delay_us));
    Some(delay.max(Duration::from_millis(MIN_DELAY_MS)))
}
