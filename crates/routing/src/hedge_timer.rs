//! When a second replica is asked.

use std::time::Duration;

use hdrhistogram::Histogram;
use mux_model::TimePoint;

use crate::{HedgePolicy, latency_window::LatencyWindow};

/// Samples before which the measured quantile is not used.
const MIN_SAMPLES: u64 = 50;
/// Longest measured delay, as a multiple of the median; calls that take longer are stragglers.
const MAX_MEDIAN_RATIO: u64 = 5;
/// Shortest measured delay.
const MIN_DELAY_MS: u64 = 1;
/// Time for which a computed delay is used.
const REFRESH_MS: u64 = 200;
/// Share of the extra-load budget that hedges are planned to use; the rest is left to retries.
const BUDGET_SHARE: f64 = 0.75;

/// Measures call latency and derives the hedge delay from it.
#[derive(Debug)]
pub(crate) struct HedgeTimer {
    window: LatencyWindow,
    delay: Option<Duration>,
    computed_at: Option<TimePoint>,
}

impl HedgeTimer {
    /// Creates a timer without samples.
    pub(crate) fn new() -> Self {
        Self { window: LatencyWindow::new(), delay: None, computed_at: None }
    }

    /// Takes in the latency of a call that was replied to.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        self.window.record(now, latency);
    }

    /// Takes in a call that was given up after `elapsed`.
    ///
    /// Left out if it was given up before the hedge delay, as it then says nothing about the tail.
    pub(crate) fn record_at_least(&mut self, now: TimePoint, elapsed: Duration) {
        if self.delay.is_some_and(|it| it <= elapsed) {
            self.window.record(now, elapsed);
        }
    }

    /// Returns the delay under `policy`; `None`: no hedges.
    ///
    /// The quantile is raised where the budget does not pay for a hedge of every call above it, so
    /// that the slowest calls are the ones hedged.
    pub(crate) fn delay(
        &mut self,
        now: TimePoint,
        policy: HedgePolicy,
        budget: Option<f64>,
    ) -> Option<Duration> {
        match policy {
            HedgePolicy::Off => None,
            HedgePolicy::Fixed(delay) => Some(delay),
            HedgePolicy::Quantile(quantile) => {
                let affordable = budget.map_or(0.0, |it| 1.0 - it * BUDGET_SHARE);
                self.measured_delay(now, quantile.max(affordable))
            }
        }
    }

    fn measured_delay(&mut self, now: TimePoint, quantile: f64) -> Option<Duration> {
        let refresh = Duration::from_millis(REFRESH_MS);
        if self.computed_at.is_none_or(|it| refresh <= now.since(it)) {
            self.delay = straggling_latency(&self.window.merged(now), quantile);
            self.computed_at = Some(now);
        }
        self.delay
    }
}

/// Returns the latency, in `latencies` in microseconds, above which a call counts as slow.
///
/// The quantile alone would follow the stragglers where they are more frequent than it allows for.
fn straggling_latency(latencies: &Histogram<u32>, quantile: f64) -> Option<Duration> {
    if latencies.len() < MIN_SAMPLES {
        return None;
    }
    let longest = latencies.value_at_quantile(0.5).saturating_mul(MAX_MEDIAN_RATIO);
    let delay = Duration::from_micros(latencies.value_at_quantile(quantile).min(longest));
    Some(delay.max(Duration::from_millis(MIN_DELAY_MS)))
}
