//! State that a balancer keeps for one upstream.

use std::time::Duration;

use mux_model::{AvailabilityZone, CallFailure, InstanceId, NotRunReason, TimePoint, UpstreamId};

use super::{
    LatencyEstimate, RateLimitChange, UpstreamRecord,
    latency_estimator::micros,
    rate_limit::{RateLimit, update_rate_limit},
};
use crate::{CallKind, CallOutcome};

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
/// Initial backoff for new connections after a failed dial; doubles with each further failure.
const DIAL_BACKOFF: Duration = Duration::from_millis(80);
/// Maximum backoff after a failed dial.
const MAX_DIAL_BACKOFF: Duration = Duration::from_millis(640);
/// Minimum of the assumed connection limit. Also its initial value for an upstream first seen
/// within one retry budget window after the start of this process: it may still hold connections of
/// the previous process on this node, and resets connections beyond its limit.
const MIN_CONNECTIONS: u32 = 1;
/// Initial backoff for additional connections after one was refused; doubles with each refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff for additional connections after one was refused.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(2);
/// Initial delay of a new connection after one was refused while no other is open; doubles with each
/// refusal. Without a connection, calls can only wait.
const REDIAL_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay of a new connection after one was refused while no other is open.
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(400);
/// Time for which a reported load is valid.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(250);
/// Cost added for an upstream whose slots are all in use, even without a queue, as a fraction of
/// the expected latency. A partly used one costs proportionally less.
const SLOT_USE_WEIGHT: f64 = 0.3;
/// Cost added for an upstream at which all calls fail, as a multiple of the hedge delay.
const FAILURE_COST: f64 = 6.0;
/// Longest time for which an upstream may ask for no calls. A malformed period must not take an
/// upstream out of service for the life of this process.
const MAX_QUIET_PERIOD: Duration = Duration::from_secs(300);
/// Time for which the announcement of an exit or of a rate limit is remembered without a record of the
/// upstream, because an older copy of the record may reappear.
const ANNOUNCEMENT_MEMORY: Duration = Duration::from_secs(600);
/// Part of the drain limit in which a leaving upstream may still be called if its service has no
/// other one. The rest is for requests that are already on their way through this node.
const LEAVING_USE_SHARE: f64 = 0.5;

/// Health of an upstream as seen by this node; upstreams of a lower tier are chosen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum HealthTier {
    /// No sign of a problem.
    Healthy,
    /// A call in flight is late, so the upstream may have stopped responding.
    Stalled,
    /// A recent call ended without a reply after several hedge delays.
    Suspect,
    /// It announced in a reply that it is about to exit.
    Leaving,
}

/// Effect of a request of an upstream to receive no calls for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuietOutcome {
    /// No calls are made for this time, which is at most the longest allowed one.
    Started(Duration),
    /// An earlier request lasts at least as long.
    AlreadyQuiet,
}

/// Running and queued requests that an upstream reported.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    reported_at: TimePoint,
    in_flight: u32,
}

/// One upstream of a balancer.
#[derive(Debug)]
pub(super) struct TrackedUpstream {
    pub(super) id: UpstreamId,
    pub(super) instance: InstanceId,
    /// Whether the upstream is eligible for new calls.
    pub(super) is_active: bool,
    same_zone: bool,
    slots: u32,
    /// Start times of the calls that hold a reserved connection.
    call_starts: Vec<TimePoint>,
    /// Connections that are open or being set up.
    open_connections: u32,
    /// Maximum number of connections that the upstream is assumed to accept from this node.
    assumed_connection_limit: u32,
    /// Consecutive refusals; reset when a connection is accepted and at least as many are open as
    /// at the last refusal.
    refusals: u32,
    /// Open connections at the last refusal, including the refused one.
    open_at_refusal: u32,
    refusal_backoff_until: TimePoint,
    /// Time until which no connection is tried after a refusal if none is open.
    redial_at: TimePoint,
    measured_latency_factor: f64,
    last_reply_at: TimePoint,
    failure_rate: f64,
    suspect_periods: u32,
    suspect_until: TimePoint,
    failed_dials: u32,
    dial_backoff_until: TimePoint,
    reported_load: Option<ReportedLoad>,
    /// Start of the upstream's process in milliseconds of Unix time; 0 if unknown.
    started_ms: u64,
    /// When a reply first announced that the upstream is about to exit.
    leaving_since: Option<TimePoint>,
    /// End of the time for which the upstream asked for no calls.
    quiet_until: TimePoint,
    pub(super) rate_limit: Option<RateLimit>,
    pub(super) availability_zone: AvailabilityZone,
    /// Fraction of the upstream's rate limit that this node may use.
    pub(super) rate_share: f64,
}

impl TrackedUpstream {
    /// Creates an upstream without calls; `is_first_window` tells whether this process is in its
    /// first retry budget window.
    pub(super) fn new(
        now: TimePoint,
        record: &UpstreamRecord,
        same_zone: bool,
        is_first_window: bool,
    ) -> Self {
        Self {
            id: record.upstream,
            instance: record.instance.clone(),
            is_active: true,
            same_zone,
            slots: record.slots.max(1),
            call_starts: Vec::new(),
            open_connections: 0,
            assumed_connection_limit: if is_first_window { MIN_CONNECTIONS } else { u32::MAX },
            refusals: 0,
            open_at_refusal: 0,
            refusal_backoff_until: TimePoint::ZERO,
            redial_at: TimePoint::ZERO,
            measured_latency_factor: 1.0,
            last_reply_at: now,
            failure_rate: 0.0,
            suspect_periods: 0,
            suspect_until: TimePoint::ZERO,
            failed_dials: 0,
            dial_backoff_until: TimePoint::ZERO,
            reported_load: None,
            started_ms: record.started_ms,
            leaving_since: None,
            quiet_until: TimePoint::ZERO,
            rate_limit: None,
            availability_zone: record.availability_zone.clone(),
            rate_share: 1.0,
        }
    }

    /// Adopts what the same process announced at its previous address.
    pub(super) fn adopt_announcements(&mut self, previous: &Self) {
        if previous.started_ms == self.started_ms {
            self.leaving_since = previous.leaving_since;
            self.quiet_until = previous.quiet_until;
            self.rate_limit = previous.rate_limit;
        }
    }

    /// Applies a newer registry record and makes the upstream eligible for new calls.
    pub(super) fn update_record(&mut self, record: &UpstreamRecord) {
        self.is_active = true;
        self.slots = record.slots.max(1);
        if self.started_ms != record.started_ms {
            self.started_ms = record.started_ms;
            self.leaving_since = None;
            self.quiet_until = TimePoint::ZERO;
            self.rate_limit = None;
        }
    }

    /// Records the announcement that the upstream is about to exit; returns whether it is new.
    pub(super) fn on_leaving(&mut self, now: TimePoint) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records the upstream's request to receive no calls for `period`.
    pub(super) fn on_quiet(&mut self, now: TimePoint, period: Duration) -> QuietOutcome {
        let period = period.min(MAX_QUIET_PERIOD);
        if now + period <= self.quiet_until {
            return QuietOutcome::AlreadyQuiet;
        }
        self.quiet_until = now + period;
        QuietOutcome::Started(period)
    }

    /// Records the rate limit that a reply to a call sent at `sent_at` states, if any.
    pub(super) fn on_rate_limit(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        rate: Option<f64>,
    ) -> Option<RateLimitChange> {
        update_rate_limit(&mut self.rate_limit, now, sent_at, rate, self.rate_share)
    }

    /// Returns the time until the rate limit allows a call of this node; `None` if it allows one now.
    pub(super) fn time_to_grant(&self, now: TimePoint, kind: CallKind) -> Option<Duration> {
        let time = self.rate_limit.as_ref()?.time_to_grant(now, self.rate_share, kind);
        (!time.is_zero()).then_some(time)
    }

    pub(super) fn is_rate_limited(&self) -> bool {
        self.rate_limit.is_some()
    }

    /// Returns the time for which the upstream wants no calls; `None` if it accepts them.
    pub(super) fn quiet_time_left(&self, now: TimePoint) -> Option<Duration> {
        (now < self.quiet_until).then(|| self.quiet_until.since(now))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns whether the upstream announced its exit so long ago that it must not be called, even
    /// if its service has no other one.
    pub(super) fn has_left(&self, now: TimePoint, drain_limit: Duration) -> bool {
        let limit = drain_limit.mul_f64(LEAVING_USE_SHARE);
        self.leaving_since.is_some_and(|it| limit <= now.since(it))
    }

    /// Returns whether this state is needed although no record of the upstream is known: its record
    /// may reappear, and what it announced in its replies still holds then.
    pub(super) fn must_be_remembered(&self, now: TimePoint) -> bool {
        let is_recent = |it: TimePoint| now.since(it) < ANNOUNCEMENT_MEMORY;
        let is_rate_limited = self.rate_limit.is_some_and(|it| is_recent(it.confirmed_at()));
        self.leaving_since.is_some_and(is_recent) || is_rate_limited || now < self.quiet_until
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.call_starts.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.call_starts.is_empty()
    }

    pub(super) fn is_in_dial_backoff(&self, now: TimePoint) -> bool {
        now < self.dial_backoff_until
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn start_call(&mut self, now: TimePoint, kind: CallKind) {
        self.call_starts.push(now);
        if let Some(limit) = &mut self.rate_limit {
            limit.use_grant(now, self.rate_share, kind);
        }
    }

    /// Releases the connection of the call that started at `started`.
    pub(super) fn end_call(&mut self, started: TimePoint) {
        if let Some(idx) = self.call_starts.iter().position(|it| *it == started) {
            self.call_starts.swap_remove(idx);
        }
    }

    /// Releases the connection that was reserved last; calls are withdrawn at once, before others
    /// start.
    pub(super) fn withdraw_call(&mut self) {
        if let Some(latest) = self.call_starts.iter().max().copied() {
            self.end_call(latest);
        }
        if let Some(limit) = &mut self.rate_limit {
            limit.return_grant();
        }
    }

    pub(super) fn set_open_connections(&mut self, open: u32) {
        self.open_connections = open;
    }

    /// Returns whether a connection is open or being set up.
    pub(super) fn has_connection(&self) -> bool {
        0 < self.open_connections
    }

    /// Returns whether a connection is open or being set up besides the one that just failed, which
    /// is still counted.
    pub(super) fn has_other_connection(&self) -> bool {
        1 < self.open_connections
    }

    /// Returns whether a connection that is open or being set up is not reserved by a call.
    pub(super) fn has_free_connection(&self) -> bool {
        self.in_flight() < self.open_connections
    }

    /// Handles the first reply on a new connection: raises the assumed limit to allow one more,
    /// unless a refusal backoff is running.
    pub(super) fn on_connection_accepted(&mut self, now: TimePoint) {
        self.failed_dials = 0;
        self.dial_backoff_until = TimePoint::ZERO;
        if self.open_at_refusal <= self.open_connections {
            self.refusals = 0;
        }
        if self.refusal_backoff_until <= now {
            let next = self.open_connections.saturating_add(1);
            self.assumed_connection_limit = self.assumed_connection_limit.max(next);
        }
    }

    /// Handles the refusal of a new connection: limits this node to the remaining open connections
    /// until one is accepted after a backoff.
    pub(super) fn on_connection_refused(&mut self, now: TimePoint) {
        let redial_delay = REDIAL_DELAY * (1 << self.refusals.min(8));
        self.redial_at = now + redial_delay.min(MAX_REDIAL_DELAY);
        let backoff = REFUSAL_BACKOFF * (1 << self.refusals.min(8));
        self.refusals += 1;
        self.refusal_backoff_until = now + backoff.min(MAX_REFUSAL_BACKOFF);
        self.open_at_refusal = self.open_connections;
        let others = self.open_connections.saturating_sub(1);
        self.assumed_connection_limit = others.max(MIN_CONNECTIONS);
    }

    /// Returns whether a new connection may be reset.
    pub(super) fn may_refuse_connection(&self) -> bool {
        self.assumed_connection_limit != u32::MAX
    }

    /// Returns the time until a new connection is tried, if a call would need one and the upstream has
    /// just refused one.
    pub(super) fn refusal_time_left(&self, now: TimePoint) -> Option<Duration> {
        let is_refused = self.open_connections == 0 && now < self.redial_at;
        is_refused.then(|| self.redial_at.since(now))
    }

    /// Returns the maximum number of connections that the upstream is assumed to accept from this
    /// node.
    pub(super) fn assumed_connection_limit(&self) -> u32 {
        self.assumed_connection_limit
    }

    /// Forgets failures that had their cause at this node.
    pub(super) fn forget_failures(&mut self) {
        self.failed_dials = 0;
        self.dial_backoff_until = TimePoint::ZERO;
        self.refusals = 0;
        self.refusal_backoff_until = TimePoint::ZERO;
        self.redial_at = TimePoint::ZERO;
        self.failure_rate = 0.0;
        self.suspect_periods = 0;
        self.suspect_until = TimePoint::ZERO;
    }

    pub(super) fn on_dial_failed(&mut self, now: TimePoint) {
        let backoff = DIAL_BACKOFF * (1 << self.failed_dials.min(8));
        self.failed_dials += 1;
        self.dial_backoff_until = now + backoff.min(MAX_DIAL_BACKOFF);
    }

    pub(super) fn on_load(&mut self, now: TimePoint, in_flight: u32) {
        self.reported_load = Some(ReportedLoad { reported_at: now, in_flight });
    }

    /// Handles the outcome of a call from the query's point of view. For a reply, returns the
    /// latency normalized to an upstream of average speed without a queue.
    pub(super) fn on_outcome(
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
    pub(super) fn on_reply(
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
    pub(super) fn has_free_slot(&self, now: TimePoint) -> bool {
        self.load(now) < self.slots
    }

    /// Returns the factor by which queuing for a slot increases the latency of a new request.
    fn queue_factor(&self, now: TimePoint) -> f64 {
        let waiting = (self.load(now) + 1).saturating_sub(self.slots);
        1.0 + f64::from(waiting) / f64::from(self.slots)
    }

    /// Returns the expected latency of a call that starts now, in microseconds.
    pub(super) fn expected_latency_us(&self, now: TimePoint, estimate: &LatencyEstimate) -> f64 {
        micros(estimate.typical) * self.latency_factor(now) * self.queue_factor(now)
    }

    /// Returns the current health tier.
    pub(super) fn health_tier(&self, now: TimePoint, estimate: &LatencyEstimate) -> HealthTier {
        if self.is_leaving() {
            return HealthTier::Leaving;
        }
        if now < self.suspect_until {
            return HealthTier::Suspect;
        }
        let stall_threshold =
            estimate.hedge_delay.mul_f64(self.latency_factor(now).clamp(1.0, 3.0));
        if self.call_starts.iter().any(|it| stall_threshold < now.since(*it)) {
            return HealthTier::Stalled;
        }
        HealthTier::Healthy
    }

    /// Returns the expected latency plus penalties for slot use, another zone, a missing connection
    /// and failures, in microseconds.
    pub(super) fn cost(&self, now: TimePoint, estimate: &LatencyEstimate, dial_us: f64) -> f64 {
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
