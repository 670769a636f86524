//! The latency, load and health of one upstream.

use std::time::Duration;

use mux_model::{CallFailure, NotRunReason, TimePoint};

use super::{HealthTier, ReportedLoad, TrackedUpstream};
use crate::{
    CallOutcome,
    balancer::{LatencyEstimate, latency_estimator::micros},
};

/// Weight of a new sample in the latency factor.
const LATENCY_FACTOR_WEIGHT: f64 = 0.15;
/// Range that samples of the latency factor are clamped to.
const LATENCY_FACTOR_RANGE: (f64, f64) = (0.2, 50.0);
/// Time without a reply after which the measured latency factor loses half of its weight, so that
/// an upstream that was slow is tried again.
const LATENCY_FACTOR_HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of a new sample in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;
/// Number of hedge delays after which a call without a reply makes its upstream suspect.
const SUSPECT_AFTER_HEDGE_DELAYS: u32 = 3;
/// Initial time for which a suspect upstream is avoided; doubles with each further period until a
/// reply.
const SUSPECT_PERIOD: Duration = Duration::from_millis(150);
/// Maximum time for which a suspect upstream is avoided.
const MAX_SUSPECT_PERIOD: Duration = Duration::from_millis(1_200);
/// Time for which a reported load is valid.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(250);
/// Cost added for an upstream whose slots are all in use, even without a queue, as a fraction of
/// the expected latency. A partly used one costs proportionally less.
const SLOT_USE_WEIGHT: f64 = 0.3;
/// Cost added for an upstream at which all calls fail, as a multiple of the hedge delay.
const FAILURE_COST: f64 = 6.0;

impl TrackedUpstream {
    pub(in crate::balancer) fn on_load(&mut self, now: TimePoint, in_flight: u32) {
        self.reported_load = Some(ReportedLoad { reported_at: now, in_flight });
    }

    /// Handles the outcome of a call from the query's point of view. For a reply, returns the
    /// latency normalized to an upstream of average speed without a queue.
    pub(in crate::balancer) fn on_outcome(
        &mut self,
        now: TimePoint,
        outcome: CallOutcome,
        estimate: &LatencyEstimate,
    ) -> Option<Duration> {
        match outcome {
            CallOutcome::Replied(latency) => {
                let normalized = latency.div_f64(self.latency_factor(now) * self.queue_factor(now));
                self.on_reply(now, latency, estimate);
                Some(normalized)
            }
            CallOutcome::Cancelled(elapsed) => {
                self.on_unanswered(now, elapsed, estimate);
                None
            }
            CallOutcome::Failed(failure, elapsed) => {
                self.on_failure(now, failure, elapsed, estimate);
                None
            }
            CallOutcome::Withdrawn => None,
        }
    }

    /// Handles a reply, including one that arrived too late for its query.
    pub(in crate::balancer) fn on_reply(
        &mut self,
        now: TimePoint,
        latency: Duration,
        estimate: &LatencyEstimate,
    ) {
        self.update_latency_factor(now, latency, estimate);
        self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT;
        self.suspect_periods = 0;
        self.suspect_until = TimePoint::ZERO;
    }

    fn on_unanswered(&mut self, now: TimePoint, elapsed: Duration, estimate: &LatencyEstimate) {
        if elapsed < estimate.hedge_delay * SUSPECT_AFTER_HEDGE_DELAYS {
            return;
        }
        if now < self.suspect_until {
            // Further unanswered calls during the same suspect period carry no new information.
            return;
        }
        let period = SUSPECT_PERIOD * (1 << self.suspect_periods.min(8));
        self.suspect_periods += 1;
        self.suspect_until = now + period.min(MAX_SUSPECT_PERIOD);
    }

    fn on_failure(
        &mut self,
        now: TimePoint,
        failure: CallFailure,
        elapsed: Duration,
        estimate: &LatencyEstimate,
    ) {
        match failure {
            // The connection pool reports failed dials separately.
            CallFailure::NotRun {
                reason: NotRunReason::NotSent | NotRunReason::ConnectionRefused,
                ..
            } => {}
            CallFailure::Silent | CallFailure::DeadlinePassed => {
                self.on_unanswered(now, elapsed, estimate);
            }
            _ => self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT,
        }
    }

    fn update_latency_factor(
        &mut self,
        now: TimePoint,
        latency: Duration,
        estimate: &LatencyEstimate,
    ) {
        let expected = micros(estimate.typical).max(1.0) * self.queue_factor(now);
        let (least, most) = LATENCY_FACTOR_RANGE;
        let sample = (micros(latency) / expected).clamp(least, most);
        let previous = self.latency_factor(now);
        self.measured_latency_factor = previous + (sample - previous) * LATENCY_FACTOR_WEIGHT;
        self.last_reply_at = now;
    }

    /// Returns the latency of this upstream relative to the average, decayed towards 1 without
    /// replies.
    fn latency_factor(&self, now: TimePoint) -> f64 {
        let age = now.since(self.last_reply_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / LATENCY_FACTOR_HALF_LIFE.as_secs_f64());
        self.measured_latency_factor.powf(weight)
    }

    /// Returns the number of requests at the upstream, as far as this node knows.
    fn load(&self, now: TimePoint) -> u32 {
        let reported =
            self.reported_load.filter(|it| now.since(it.reported_at) <= REPORTED_LOAD_LIFETIME);
        reported.map_or(0, |it| it.in_flight).max(self.in_flight())
    }

    /// Returns whether a new request would not queue, as far as this node knows.
    pub(in crate::balancer) fn has_free_slot(&self, now: TimePoint) -> bool {
        self.load(now) < self.slots
    }

    /// Returns the factor by which queuing for a slot increases the latency of a new request.
    fn queue_factor(&self, now: TimePoint) -> f64 {
        let waiting = (self.load(now) + 1).saturating_sub(self.slots);
        1.0 + f64::from(waiting) / f64::from(self.slots)
    }

    /// Returns the expected latency of a call that starts now, in microseconds.
    pub(in crate::balancer) fn expected_latency_us(
        &self,
        now: TimePoint,
        estimate: &LatencyEstimate,
    ) -> f64 {
        micros(estimate.typical) * self.latency_factor(now) * self.queue_factor(now)
    }

    /// Returns the current health tier.
    pub(in crate::balancer) fn health_tier(
        &self,
        now: TimePoint,
        estimate: &LatencyEstimate,
    ) -> HealthTier {
        if self.is_leaving() {
            return HealthTier::Leaving;
        }
        if now < self.suspect_until {
            return HealthTier::Suspect;
        }
        let stall_threshold =
            estimate.hedge_delay.mul_f64(self.latency_factor(now).clamp(1.0, 3.0));
        if self.reserved_calls.iter().any(|it| stall_threshold < now.since(it.reserved_at)) {
            return HealthTier::Stalled;
        }
        HealthTier::Healthy
    }

    /// Returns the expected latency plus penalties for slot use, another zone, a missing connection
    /// and failures, in microseconds.
    pub(in crate::balancer) fn cost(
        &self,
        now: TimePoint,
        estimate: &LatencyEstimate,
        dial_us: f64,
    ) -> f64 {
        let expected = self.expected_latency_us(now, estimate);
        // Spreads calls evenly over the upstreams before any of them runs out of slots.
        let slot_use =
            expected * SLOT_USE_WEIGHT * f64::from(self.load(now)) / f64::from(self.slots);
        let zone = if self.same_zone { 0.0 } else { micros(estimate.cross_zone_penalty) };
        let dial = if self.has_free_connection() { 0.0 } else { dial_us };
        let failure = self.failure_rate * FAILURE_COST * micros(estimate.hedge_delay);
        expected + slot_use + zone + dial + failure
    }
}
