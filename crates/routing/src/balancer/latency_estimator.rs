//! How long the calls of one route usually take.

use std::time::Duration;

use mux_model::TimePoint;

/// Share of the latency target assumed as the usual latency before calls were measured.
const START_TYPICAL_SHARE: f64 = 0.1;
/// Share of the latency target assumed as the slow latency before calls were measured.
const START_SLOW_SHARE: f64 = 0.25;
/// Relative step by which an estimate follows a sample.
const STEP: f64 = 0.06;
/// Quantile of latency above which a call counts as slow.
const SLOW_QUANTILE: f64 = 0.95;
/// Factor on the slow latency after which another replica is asked.
const HEDGE_FACTOR: f64 = 1.2;
/// Shortest delay before another replica is asked; below it, hedges race the scheduler.
const MIN_HEDGE: Duration = Duration::from_millis(4);
/// Shortest delay before another replica is asked, as a share of the latency target: sooner, a
/// second call gains nothing that the caller would notice.
const MIN_HEDGE_SHARE: f64 = 0.25;
/// Longest delay before another replica is asked, as a share of the latency target; leaves the
/// second call half of the time.
const MAX_HEDGE_SHARE: f64 = 0.4;
/// Time without a reply, counted from the first call that was taken for late, after which the usual
/// latency is no longer trusted. A route whose calls are all taken for late makes none, and would
/// never learn that they are not.
const SILENCE: Duration = Duration::from_millis(150);
/// Time in which a usual latency that is no longer trusted goes half of the way back to that assumed
/// before calls were measured.
const TYPICAL_HALF_LIFE: Duration = Duration::from_millis(250);
/// Part of the latency target that a call may take longer to stay in its availability zone.
const ZONE_COST_SHARE: f64 = 0.12;

/// The pace of a route at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyEstimate {
    /// Usual latency of a call to an upstream of average speed.
    pub typical: Duration,
    /// Time after which a call without a reply is taken for slow.
    pub hedge_after: Duration,
    /// Extra latency that is accepted to stay in the availability zone.
    pub zone_cost: Duration,
}

/// Follows two quantiles of the latency of one route, relative to the upstreams' speeds.
///
/// Answers a moment of overload, after which every call of a route with a short target is expected
/// too late: what was measured then is forgotten if no reply follows.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimator {
    target_us: f64,
    typical_us: f64,
    slow_us: f64,
    /// When a call was first taken for late after the latest reply.
    late_since: Option<TimePoint>,
}

impl LatencyEstimator {
    /// Creates a pace for a route with `latency_target`, without samples.
    pub fn new(latency_target: Duration) -> Self {
        let target_us = micros(latency_target).max(1.0);
        Self {
            target_us,
            typical_us: target_us * START_TYPICAL_SHARE,
            slow_us: target_us * START_SLOW_SHARE,
            late_since: None,
        }
    }

    /// Takes in the latency of a reply, divided by the speed factor of the upstream.
    pub fn record(&mut self, now: TimePoint, latency: Duration) {
        self.typical_us = self.trusted_typical_us(now);
        self.late_since = None;
        let sample = micros(latency);
        self.typical_us = follow(self.typical_us, sample, 0.5);
        self.slow_us = follow(self.slow_us, sample, SLOW_QUANTILE).max(self.typical_us);
    }

    /// Takes in that a call was not made because its reply was expected too late.
    pub fn record_late(&mut self, now: TimePoint) {
        self.late_since.get_or_insert(now);
    }

    /// Takes over a changed latency target.
    pub fn set_latency_target(&mut self, latency_target: Duration) {
        self.target_us = micros(latency_target).max(1.0);
    }

    /// Returns the pace at `now`.
    pub fn current(&self, now: TimePoint) -> LatencyEstimate {
        let longest = self.target_us * MAX_HEDGE_SHARE;
        let shortest = (self.target_us * MIN_HEDGE_SHARE).max(micros(MIN_HEDGE));
        let hedge_us = (self.slow_us * HEDGE_FACTOR).min(longest).max(shortest);
        LatencyEstimate {
            typical: from_micros(self.trusted_typical_us(now)),
            hedge_after: from_micros(hedge_us),
            zone_cost: from_micros(self.target_us * ZONE_COST_SHARE),
        }
    }
}

impl LatencyEstimator {
    fn trusted_typical_us(&self, now: TimePoint) -> f64 {
        let assumed = self.target_us * START_TYPICAL_SHARE;
        let silence = self.late_since.map_or(Duration::ZERO, |it| now.since(it));
        let silence = silence.saturating_sub(SILENCE);
        if self.typical_us <= assumed || silence.is_zero() {
            return self.typical_us;
        }
        let weight = 0.5_f64.powf(silence.as_secs_f64() / TYPICAL_HALF_LIFE.as_secs_f64());
        assumed + (self.typical_us - assumed) * weight
    }
}

/// Moves an estimate of a quantile by a step that balances where the share of samples below the
/// estimate is `quantile`.
fn follow(estimate: f64, sample: f64, quantile: f64) -> f64 {
    let step = estimate.max(1.0) * STEP;
    if estimate < sample { estimate + step * quantile } else { estimate - step * (1.0 - quantile) }
}

pub(super) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn from_micros(micros: f64) -> Duration {
    Duration::from_secs_f64(micros / 1e6)
}
