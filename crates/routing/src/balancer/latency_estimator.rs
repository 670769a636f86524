//! Estimates of the call latency of one route.

use std::time::Duration;

use mux_model::TimePoint;

/// Initial typical latency, as a fraction of the latency target.
const INITIAL_TYPICAL_SHARE: f64 = 0.1;
/// Initial slow latency, as a fraction of the latency target.
const INITIAL_SLOW_SHARE: f64 = 0.25;
/// Sum of the sizes of the upward and the downward step of an estimate, relative to the estimate.
const QUANTILE_STEP: f64 = 0.06;
/// Latency quantile above which a call counts as slow.
const SLOW_QUANTILE: f64 = 0.95;
/// Hedge delay relative to the slow latency.
const HEDGE_DELAY_FACTOR: f64 = 1.2;
/// Minimum hedge delay; below it, scheduling jitter would trigger hedges.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(4);
/// Minimum hedge delay as a fraction of the latency target: an earlier hedge would bring no gain
/// that the caller notices.
const MIN_HEDGE_DELAY_SHARE: f64 = 0.25;
/// Maximum hedge delay as a fraction of the latency target, which leaves the hedge more than half
/// of the time.
const MAX_HEDGE_DELAY_SHARE: f64 = 0.4;
/// Time without a reply, from the first call rejected as too late, after which the typical latency
/// starts to decay. Without the decay, a route whose calls are all rejected would never get a reply
/// that lowers the estimate.
const STALE_AFTER: Duration = Duration::from_millis(150);
/// Half-life of the decay of a stale typical latency towards its initial value.
const TYPICAL_HALF_LIFE: Duration = Duration::from_millis(250);
/// Extra latency accepted to stay in the availability zone, as a fraction of the latency target.
const CROSS_ZONE_PENALTY_SHARE: f64 = 0.12;

/// Latency estimates of a route at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyEstimate {
    /// Estimated median latency of a call to an upstream of average speed without a queue.
    pub typical: Duration,
    /// Time without a reply after which a call is hedged.
    pub hedge_delay: Duration,
    /// Extra latency accepted to stay in the availability zone.
    pub cross_zone_penalty: Duration,
}

/// Estimates two quantiles of the call latency of one route, normalized by the latency factors of
/// the upstreams.
///
/// After a short overload, all calls of a route with a short latency target could be rejected as
/// too late, so that no reply would correct the estimate. The typical latency therefore decays if
/// no reply follows a rejection.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimator {
    target_us: f64,
    typical_us: f64,
    slow_us: f64,
    /// When a call was first rejected as too late after the last reply; `None` if none was.
    too_late_since: Option<TimePoint>,
}

impl LatencyEstimator {
    /// Creates an estimator without samples for a route with `latency_target`.
    pub fn new(latency_target: Duration) -> Self {
        let target_us = micros(latency_target).max(1.0);
        Self {
            target_us,
            typical_us: target_us * INITIAL_TYPICAL_SHARE,
            slow_us: target_us * INITIAL_SLOW_SHARE,
            too_late_since: None,
        }
    }

    /// Records the latency of a reply, normalized to an upstream of average speed without a queue.
    pub fn record_latency(&mut self, now: TimePoint, latency: Duration) {
        self.typical_us = self.decayed_typical_us(now);
        self.too_late_since = None;
        let sample = micros(latency);
        self.typical_us = update_quantile(self.typical_us, sample, 0.5);
        self.slow_us = update_quantile(self.slow_us, sample, SLOW_QUANTILE).max(self.typical_us);
    }

    /// Records that a call was rejected because its reply was expected too late.
    pub fn record_too_late(&mut self, now: TimePoint) {
        self.too_late_since.get_or_insert(now);
    }

    /// Changes the latency target; keeps the estimates.
    pub fn set_latency_target(&mut self, latency_target: Duration) {
        self.target_us = micros(latency_target).max(1.0);
    }

    /// Returns the estimates at `now`.
    pub fn current(&self, now: TimePoint) -> LatencyEstimate {
        let longest = self.target_us * MAX_HEDGE_DELAY_SHARE;
        let shortest = (self.target_us * MIN_HEDGE_DELAY_SHARE).max(micros(MIN_HEDGE_DELAY));
        let hedge_us = (self.slow_us * HEDGE_DELAY_FACTOR).min(longest).max(shortest);
        LatencyEstimate {
            typical: from_micros(self.decayed_typical_us(now)),
            hedge_delay: from_micros(hedge_us),
            cross_zone_penalty: from_micros(self.target_us * CROSS_ZONE_PENALTY_SHARE),
        }
    }
}

impl LatencyEstimator {
    fn decayed_typical_us(&self, now: TimePoint) -> f64 {
        let initial = self.target_us * INITIAL_TYPICAL_SHARE;
        let stale_for = self.too_late_since.map_or(Duration::ZERO, |it| now.since(it));
        let stale_for = stale_for.saturating_sub(STALE_AFTER);
        if self.typical_us <= initial || stale_for.is_zero() {
            return self.typical_us;
        }
        let weight = 0.5_f64.powf(stale_for.as_secs_f64() / TYPICAL_HALF_LIFE.as_secs_f64());
        initial + (self.typical_us - initial) * weight
    }
}

/// Updates a quantile estimate with one sample. The upward and downward steps balance when the
/// fraction of samples below the estimate is `quantile`.
fn update_quantile(estimate: f64, sample: f64, quantile: f64) -> f64 {
    let step = estimate.max(1.0) * QUANTILE_STEP;
    if estimate < sample { estimate + step * quantile } else { estimate - step * (1.0 - quantile) }
}

pub(super) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn from_micros(micros: f64) -> Duration {
    Duration::from_secs_f64(micros / 1e6)
}
