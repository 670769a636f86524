//! Routing state of one upstream.

use std::time::Duration;

use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};

use crate::{
    CallOutcome, SlotShare, UpstreamCondition, UpstreamHint, UpstreamReport,
    availability::{Availability, ReplicaScore},
    concurrency_limit::ConcurrencyLimit,
    latency_average::LatencyAverage,
    latency_baseline::LatencyBaseline,
    slot_wait_totals::SlotWaitTotals,
    upstream_health::{HealthPhase, UpstreamHealth},
};

/// Initial pause after a shed call, before jitter; doubled by each further one within
/// [`SHED_RESET_MS`] after the end of the last pause.
const SHED_PAUSE_MS: u64 = 20;
/// Maximum pause after a shed call, before jitter, unless the upstream requests a longer one.
const MAX_SHED_PAUSE_MS: u64 = 1_000;
/// Time without a shed call after a pause, after which the next pause is the initial one again.
const SHED_RESET_MS: u64 = 2_000;
/// Maximum pause that an upstream can request.
const MAX_PAUSE_MS: u64 = 30_000;
/// Time for which contrary reports are ignored as outdated after a report that an upstream is
/// draining.
const DRAIN_HOLD_MS: u64 = 2_000;
/// Time after which a reported load is outdated.
const REPORTED_LOAD_LIFETIME_MS: u64 = 2_000;
/// Maximum time for which calls wait for the outcome of a probe call.
const PROBE_WAIT_MS: u64 = 100;
/// Minimum delay before a call retries to acquire a slot.
const MIN_SLOT_WAIT_MS: u64 = 1;
/// Maximum delay before a call retries to acquire a slot.
const MAX_SLOT_WAIT_MS: u64 = 20;
/// Lower bound of the latency in the cost, so that the calls in flight always affect it.
const MIN_LATENCY_US: f64 = 100.0;

/// Routing state of one upstream; the caller synchronizes access to it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    in_flight: u32,
    is_member: bool,
    same_zone: bool,
    limit: ConcurrencyLimit,
    health: UpstreamHealth,
    latency: LatencyAverage,
    baseline: LatencyBaseline,
    paused_at: TimePoint,
    paused_until: TimePoint,
    recent_shed_pauses: u32,
    draining_since: Option<TimePoint>,
    drain_reported_at: TimePoint,
    reported_load: Option<(TimePoint, u32)>,
    slot_waits: SlotWaitTotals,
}

impl UpstreamState {
    /// Creates the state of a new upstream that is not yet part of the service.
    pub(crate) fn new() -> Self {
        Self {
            in_flight: 0,
            is_member: false,
            same_zone: false,
            limit: ConcurrencyLimit::new(TimePoint::ZERO),
            health: UpstreamHealth::new(),
            latency: LatencyAverage::default(),
            baseline: LatencyBaseline::default(),
            paused_at: TimePoint::ZERO,
            paused_until: TimePoint::ZERO,
            recent_shed_pauses: 0,
            draining_since: None,
            drain_reported_at: TimePoint::ZERO,
            reported_load: None,
            slot_waits: SlotWaitTotals::default(),
        }
    }

    /// Adds the upstream to the service.
    pub(crate) fn add_to_service(&mut self, same_zone: bool) {
        self.is_member = true;
        self.same_zone = same_zone;
    }

    /// Removes the upstream from the service; calls in flight continue.
    pub(crate) fn remove_from_service(&mut self) {
        self.is_member = false;
    }

    /// Returns whether the upstream has left the service and has no calls in flight.
    pub(crate) fn is_unused(&self) -> bool {
        !self.is_member && self.in_flight == 0
    }

    /// Returns whether the upstream can accept a call.
    pub(crate) fn availability(&self, now: TimePoint, share: Option<SlotShare>) -> Availability {
        if !self.is_member || self.draining_since.is_some() {
            return Availability::Unavailable;
        }
        match self.health.phase() {
            HealthPhase::Ejected { until } => return self.ejected_availability(now, until),
            HealthPhase::Probing => return self.probing_availability(now),
            HealthPhase::Serving => {}
        }
        if now < self.paused_until {
            return Availability::Paused(self.paused_until.since(now));
        }
        match share {
            Some(share) if self.limit.allowed(share) <= self.in_flight => {
                Availability::Full(self.slot_wait(now, share))
            }
            _ => Availability::Free(self.score(now)),
        }
    }

    /// Reserves a slot for a call that is about to be sent.
    pub(crate) fn reserve(&mut self, now: TimePoint) {
        if matches!(self.health.phase(), HealthPhase::Ejected { .. }) {
            self.health.begin_probe(now);
        }
        self.in_flight += 1;
        self.limit.record_in_flight(self.in_flight);
        self.slot_waits.record_grant();
    }

    /// Adds a part of the time that a first call waits for a slot; the wait is divided among the
    /// candidates that it waits for.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.slot_waits.record_wait(wait);
    }

    /// Returns the waits since the last call of this method, and resets them.
    pub(crate) fn take_slot_waits(&mut self) -> SlotWaitTotals {
        std::mem::take(&mut self.slot_waits)
    }

    /// Returns the end of the current pause; `None` if the upstream is not paused.
    pub(crate) fn paused_until(&self, now: TimePoint) -> Option<TimePoint> {
        Some(self.paused_until).filter(|it| now < *it)
    }

    /// Returns whether the upstream is part of the service and not draining.
    pub(crate) fn accepts_new_calls(&self) -> bool {
        self.is_member && self.draining_since.is_none()
    }

    /// Returns the smoothed call latency.
    pub(crate) fn latency(&self, now: TimePoint) -> Duration {
        self.latency.current(now)
    }

    /// Releases the slot of a call that ended with `outcome`.
    ///
    /// `jitter` from 0 to 1 spreads the times at which several upstreams are used again.
    pub(crate) fn release(
        &mut self,
        now: TimePoint,
        share: Option<SlotShare>,
        outcome: CallOutcome,
        jitter: f64,
    ) {
        match outcome {
            CallOutcome::Replied(latency) => self.on_reply(now, share, latency),
            CallOutcome::Failed(failure, elapsed) => {
                self.on_failure(now, share, failure, elapsed, jitter);
            }
            CallOutcome::Withdrawn => self.on_cancelled(now, Duration::ZERO, jitter),
            CallOutcome::Cancelled(elapsed) => self.on_cancelled(now, elapsed, jitter),
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the status that the upstream reported.
    pub(crate) fn observe(&mut self, now: TimePoint, hint: UpstreamHint) {
        if let Some(reported_load) = hint.in_flight {
            self.reported_load = Some((now, reported_load));
        }
        if hint.draining {
            self.on_draining(now);
            return;
        }
        let hold_elapsed =
            Duration::from_millis(DRAIN_HOLD_MS) <= now.since(self.drain_reported_at);
        if self.draining_since.is_some() && hold_elapsed {
            self.draining_since = None;
            self.limit = ConcurrencyLimit::new(now);
        }
    }

    /// Returns the current state of the upstream for status pages.
    pub(crate) fn report(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        share: Option<SlotShare>,
    ) -> UpstreamReport {
        let (condition, since) = self.condition(now);
        UpstreamReport {
            upstream,
            in_flight: self.in_flight,
            limit: share.map(|it| self.limit.allowed(it)),
            latency: self.latency.current(now),
            condition,
            condition_age: now.since(since),
        }
    }

    fn condition(&self, now: TimePoint) -> (UpstreamCondition, TimePoint) {
        if !self.is_member {
            return (UpstreamCondition::Removed, now);
        }
        if let Some(since) = self.draining_since {
            return (UpstreamCondition::Draining, since);
        }
        match self.health.phase() {
            HealthPhase::Ejected { .. } => (UpstreamCondition::Ejected, self.health.changed_at()),
            HealthPhase::Probing => (UpstreamCondition::Probing, self.health.changed_at()),
            HealthPhase::Serving if now < self.paused_until => {
                (UpstreamCondition::Paused, self.paused_at)
            }
            HealthPhase::Serving => (UpstreamCondition::Serving, self.health.changed_at()),
        }
    }

    fn ejected_availability(&self, now: TimePoint, until: TimePoint) -> Availability {
        let until = until.max(self.paused_until);
        if now < until { Availability::Ejected(until) } else { Availability::ProbeDue }
    }

    fn probing_availability(&self, now: TimePoint) -> Availability {
        let probe_wait_end = self.health.changed_at() + Duration::from_millis(PROBE_WAIT_MS);
        if now < probe_wait_end {
            return Availability::Paused(self.latency.current(now).clamp(min_wait(), max_wait()));
        }
        Availability::Unavailable
    }

    fn slot_wait(&self, now: TimePoint, share: SlotShare) -> Duration {
        let wait = self.latency.current(now) / self.limit.allowed(share);
        wait.clamp(min_wait(), max_wait())
    }

    fn score(&self, now: TimePoint) -> ReplicaScore {
        let latency = self.latency.current_us(now).max(MIN_LATENCY_US);
        let lifetime = Duration::from_millis(REPORTED_LOAD_LIFETIME_MS);
        let fresh = self.reported_load.filter(|(at, _)| now.since(*at) <= lifetime);
        ReplicaScore {
            cost: latency * f64::from(self.in_flight + 1),
            same_zone: self.same_zone,
            reported_load: fresh.map(|(_, reported_load)| reported_load),
        }
    }

    fn on_reply(&mut self, now: TimePoint, share: Option<SlotShare>, latency: Duration) {
        self.latency.record(now, latency);
        self.baseline.record(now, latency);
        if self.health.on_success(now) {
            self.limit = ConcurrencyLimit::new(now);
            return;
        }
        let Some(share) = share else {
            return;
        };
        if self.baseline.is_inflated() {
            self.limit.shrink_on_inflated_latency(now, self.in_flight, share);
        } else {
            self.limit.grow(now, share);
        }
    }

    fn on_cancelled(&mut self, now: TimePoint, elapsed: Duration, jitter: f64) {
        self.latency.record_lower_bound(now, elapsed);
        if self.baseline.value() < elapsed {
            self.health.on_unanswered(now, jitter);
        } else {
            self.health.on_inconclusive_call(now, jitter);
        }
    }

    fn on_failure(
        &mut self,
        now: TimePoint,
        share: Option<SlotShare>,
        failure: CallFailure,
        elapsed: Duration,
        jitter: f64,
    ) {
        match failure {
            CallFailure::NotRun { reason, retry_after } => {
                self.on_not_run(now, share, reason, retry_after, jitter);
            }
            CallFailure::DeadlinePassed => {
                self.latency.record_lower_bound(now, elapsed);
                self.limit.shrink_on_missed_deadline(now, self.in_flight);
                self.health.on_inconclusive_call(now, jitter);
            }
            CallFailure::Silent => {
                self.latency.record_lower_bound(now, elapsed);
                self.health.on_failure(now, failure, jitter);
            }
            CallFailure::ConnectionLost
            | CallFailure::UpstreamEnded
            | CallFailure::UpstreamError
            | CallFailure::BadReply => {
                self.health.on_failure(now, failure, jitter);
            }
        }
    }

    fn on_not_run(
        &mut self,
        now: TimePoint,
        share: Option<SlotShare>,
        reason: NotRunReason,
        retry_after: Option<Duration>,
        jitter: f64,
    ) {
        match reason {
            NotRunReason::NotSent | NotRunReason::ConnectionRefused => {
                let failure = CallFailure::NotRun { reason, retry_after };
                self.health.on_failure(now, failure, jitter);
                self.pause(now, retry_after.unwrap_or_default());
            }
            NotRunReason::Shed => {
                self.health.on_success(now);
                if share.is_some() {
                    self.on_shed(now, retry_after, jitter);
                }
            }
            NotRunReason::Draining => self.on_draining(now),
            NotRunReason::DeadlinePassed => {
                self.health.on_success(now);
                self.limit.shrink_on_missed_deadline(now, self.in_flight);
            }
            NotRunReason::SnapshotMissing
            | NotRunReason::Rejected
            | NotRunReason::WrongInstance => {
                self.health.on_success(now);
            }
        }
    }

    fn on_shed(&mut self, now: TimePoint, retry_after: Option<Duration>, jitter: f64) {
        self.limit.shrink_on_shed(now, self.in_flight, jitter);
        if now < self.paused_until {
            // The call was sent before the pause began, so the pause may still be long enough.
            self.pause(now, retry_after.unwrap_or_default());
            return;
        }
        let reset_after = Duration::from_millis(SHED_RESET_MS);
        if reset_after < now.since(self.paused_until) {
            self.recent_shed_pauses = 0;
        }
        let factor = 1_u64.checked_shl(self.recent_shed_pauses.min(16)).unwrap_or(u64::MAX);
        let millis = SHED_PAUSE_MS.saturating_mul(factor).min(MAX_SHED_PAUSE_MS);
        let shortest = Duration::from_millis(millis).mul_f64(1.0 + 0.5 * jitter);
        self.recent_shed_pauses = self.recent_shed_pauses.saturating_add(1);
        self.pause(now, retry_after.unwrap_or_default().max(shortest));
    }

    fn on_draining(&mut self, now: TimePoint) {
        self.draining_since.get_or_insert(now);
        self.drain_reported_at = now;
    }

    fn pause(&mut self, now: TimePoint, pause: Duration) {
        if self.paused_until <= now {
            self.paused_at = now;
        }
        let pause = pause.min(Duration::from_millis(MAX_PAUSE_MS));
        self.paused_until = self.paused_until.max(now + pause);
    }
}

fn min_wait() -> Duration {
    Duration::from_millis(MIN_SLOT_WAIT_MS)
}

fn max_wait() -> Duration {
    Duration::from_millis(MAX_SLOT_WAIT_MS)
}
