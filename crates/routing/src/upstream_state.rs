//! All that a router knows of one upstream.

use std::time::Duration;

use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};

use crate::{
    CallOutcome, SlotShare, UpstreamCondition, UpstreamHint, UpstreamReport,
    availability::{Availability, ReplicaScore},
    concurrency_limit::ConcurrencyLimit,
    latency_average::LatencyAverage,
    latency_baseline::LatencyBaseline,
    slot_wait::WaitCounts,
    upstream_health::{HealthPhase, UpstreamHealth},
};

/// Shortest pause after a shed; doubles with each shed that follows soon.
const SHED_PAUSE_MS: u64 = 20;
/// Longest pause after a shed, unless the upstream asks for more.
const MAX_SHED_PAUSE_MS: u64 = 1_000;
/// Time after a pause without a shed, after which the next pause is the shortest again.
const SHED_MEMORY_MS: u64 = 2_000;
/// Longest pause that an upstream can ask for.
const MAX_PAUSE_MS: u64 = 30_000;
/// Time after a sign of draining in which signs of the opposite are taken for outdated.
const DRAIN_SETTLE_MS: u64 = 2_000;
/// Time for which a reported load is used.
const HINT_LIFETIME_MS: u64 = 2_000;
/// Time for which calls wait for the outcome of a probe call.
const PROBE_PATIENCE_MS: u64 = 100;
/// Shortest time after which a call asks for a slot again.
const MIN_SLOT_WAIT_MS: u64 = 1;
/// Longest time after which a call asks for a slot again.
const MAX_SLOT_WAIT_MS: u64 = 20;
/// Latency assumed at least, so that calls in flight always count.
const MIN_LATENCY_US: f64 = 100.0;

/// The state of one upstream; its owner holds the lock.
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
    sheds: u32,
    draining_since: Option<TimePoint>,
    drain_seen_at: TimePoint,
    reported: Option<(TimePoint, u32)>,
    waits: WaitCounts,
}

impl UpstreamState {
    /// Creates the state of an upstream that was not used before.
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
            sheds: 0,
            draining_since: None,
            drain_seen_at: TimePoint::ZERO,
            reported: None,
            waits: WaitCounts::default(),
        }
    }

    /// Makes the upstream a member of the service.
    pub(crate) fn join(&mut self, same_zone: bool) {
        self.is_member = true;
        self.same_zone = same_zone;
    }

    /// Takes the upstream out of the service; calls in flight go on.
    pub(crate) fn leave(&mut self) {
        self.is_member = false;
    }

    /// Returns whether nothing depends on this state any more.
    pub(crate) fn is_over(&self) -> bool {
        !self.is_member && self.in_flight == 0
    }

    /// Returns whether the upstream can take a call.
    pub(crate) fn availability(&self, now: TimePoint, share: Option<SlotShare>) -> Availability {
        if !self.is_member || self.draining_since.is_some() {
            return Availability::Closed;
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

    /// Counts a call that is being sent.
    pub(crate) fn reserve(&mut self, now: TimePoint) {
        if matches!(self.health.phase(), HealthPhase::Ejected { .. }) {
            self.health.begin_probe(now);
        }
        self.in_flight += 1;
        self.limit.record_in_flight(self.in_flight);
        self.waits.record_grant();
    }

    /// Counts a first call that has to wait for this upstream or another.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.waits.record_wait(wait);
    }

    /// Returns the waits since the last time, and forgets them.
    pub(crate) fn take_waits(&mut self) -> WaitCounts {
        std::mem::take(&mut self.waits)
    }

    /// Returns until when the upstream wants no calls, if it is a member and paused.
    pub(crate) fn paused_until(&self, now: TimePoint) -> Option<TimePoint> {
        Some(self.paused_until).filter(|it| now < *it)
    }

    /// Returns whether new work may go here at all.
    pub(crate) fn is_open(&self) -> bool {
        self.is_member && self.draining_since.is_none()
    }

    /// Returns the smoothed latency of calls.
    pub(crate) fn latency(&self, now: TimePoint) -> Duration {
        self.latency.current(now)
    }

    /// Ends a call; `jitter` from 0 to 1 spreads the return of many upstreams.
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

    /// Takes in what the upstream says about itself.
    pub(crate) fn observe(&mut self, now: TimePoint, hint: UpstreamHint) {
        if let Some(reported) = hint.in_flight {
            self.reported = Some((now, reported));
        }
        if hint.draining {
            self.on_draining(now);
            return;
        }
        let settled = Duration::from_millis(DRAIN_SETTLE_MS) <= now.since(self.drain_seen_at);
        if self.draining_since.is_some() && settled {
            self.draining_since = None;
            self.limit = ConcurrencyLimit::new(now);
        }
    }

    /// Describes the upstream.
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
        if now < until { Availability::Down(until) } else { Availability::ProbeDue }
    }

    fn probing_availability(&self, now: TimePoint) -> Availability {
        let patience_end = self.health.changed_at() + Duration::from_millis(PROBE_PATIENCE_MS);
        if now < patience_end {
            return Availability::Paused(self.latency.current(now).clamp(min_wait(), max_wait()));
        }
        Availability::Closed
    }

    fn slot_wait(&self, now: TimePoint, share: SlotShare) -> Duration {
        let wait = self.latency.current(now) / self.limit.allowed(share);
        wait.clamp(min_wait(), max_wait())
    }

    fn score(&self, now: TimePoint) -> ReplicaScore {
        let latency = self.latency.current_us(now).max(MIN_LATENCY_US);
        let lifetime = Duration::from_millis(HINT_LIFETIME_MS);
        let fresh = self.reported.filter(|(at, _)| now.since(*at) <= lifetime);
        ReplicaScore {
            cost: latency * f64::from(self.in_flight + 1),
            same_zone: self.same_zone,
            reported: fresh.map(|(_, reported)| reported),
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
            self.limit.cut_queue(now, self.in_flight, share);
        } else {
            self.limit.grow(now, share);
        }
    }

    fn on_cancelled(&mut self, now: TimePoint, elapsed: Duration, jitter: f64) {
        self.latency.record_at_least(now, elapsed);
        if self.baseline.usual() < elapsed {
            self.health.on_unanswered(now, jitter);
        } else {
            self.health.on_unknown(now, jitter);
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
                self.latency.record_at_least(now, elapsed);
                self.limit.cut_late(now, self.in_flight);
                self.health.on_unknown(now, jitter);
            }
            CallFailure::Silent => {
                self.latency.record_at_least(now, elapsed);
                self.health.on_failure(now, failure, jitter);
            }
            CallFailure::ConnectionLost | CallFailure::UpstreamError | CallFailure::BadReply => {
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
            NotRunReason::NotSent => {
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
                self.limit.cut_late(now, self.in_flight);
            }
            NotRunReason::SnapshotMissing
            | NotRunReason::Rejected
            | NotRunReason::WrongInstance => {
                self.health.on_success(now);
            }
        }
    }

    fn on_shed(&mut self, now: TimePoint, retry_after: Option<Duration>, jitter: f64) {
        self.limit.cut_shed(now, self.in_flight, jitter);
        if now < self.paused_until {
            // Sent before the pause began, so that it says nothing new about its length.
            self.pause(now, retry_after.unwrap_or_default());
            return;
        }
        let memory = Duration::from_millis(SHED_MEMORY_MS);
        if memory < now.since(self.paused_until) {
            self.sheds = 0;
        }
        let factor = 1_u64.checked_shl(self.sheds.min(16)).unwrap_or(u64::MAX);
        let millis = SHED_PAUSE_MS.saturating_mul(factor).min(MAX_SHED_PAUSE_MS);
        let shortest = Duration::from_millis(millis).mul_f64(1.0 + 0.5 * jitter);
        self.sheds = self.sheds.saturating_add(1);
        self.pause(now, retry_after.unwrap_or_default().max(shortest));
    }

    fn on_draining(&mut self, now: TimePoint) {
        self.draining_since.get_or_insert(now);
        self.drain_seen_at = now;
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
