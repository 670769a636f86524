//! State that a balancer keeps for one upstream.

mod connections;
mod latency;

use std::time::Duration;

use mux_model::{AvailabilityZone, InstanceId, TimePoint, UpstreamId};

use super::{
    RateLimitChange, UpstreamRecord, WarmUpRule,
    rate_limit::{RateLimit, update_rate_limit},
    warm_up::WarmUp,
};
use crate::{CallKind, UpstreamKey};

/// Minimum of the assumed connection limit. Also its initial value for an upstream first seen
/// within one retry budget window after the start of this process: it may still hold connections of
/// the previous process on this node, and resets connections beyond its limit.
const MIN_CONNECTIONS: u32 = 1;
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

/// A call that holds a reserved connection.
#[derive(Debug, Clone, Copy)]
struct ReservedCall {
    /// Number of the call among those of the balancer.
    number: u64,
    reserved_at: TimePoint,
    /// Whether the task of the call has begun, which releases the connection when it ends.
    has_begun: bool,
}

/// One upstream of a balancer.
#[derive(Debug)]
pub(super) struct TrackedUpstream {
    /// Number of the upstream in its balancer; never used for another one.
    pub(super) entry: u64,
    pub(super) id: UpstreamId,
    pub(super) instance: InstanceId,
    /// Whether the upstream is eligible for new calls.
    pub(super) is_active: bool,
    same_zone: bool,
    slots: u32,
    reserved_calls: Vec<ReservedCall>,
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
    pub(super) warm_up: WarmUp,
    /// Version and warm-up time of the latest record that was applied.
    applied_record: Option<((u64, u64), Duration)>,
    pub(super) availability_zone: AvailabilityZone,
    /// Fraction of the upstream's rate limit that this node may use.
    pub(super) rate_share: f64,
}

impl TrackedUpstream {
    /// Creates an upstream without calls; `is_first_window` tells whether this process is in its
    /// first retry budget window.
    pub(super) fn new(
        now: TimePoint,
        entry: u64,
        record: &UpstreamRecord,
        same_zone: bool,
        is_first_window: bool,
    ) -> Self {
        Self {
            entry,
            id: record.upstream,
            instance: record.instance.clone(),
            is_active: true,
            same_zone,
            slots: record.slots.max(1),
            reserved_calls: Vec::new(),
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
            warm_up: WarmUp::default(),
            applied_record: None,
            availability_zone: record.availability_zone.clone(),
            rate_share: 1.0,
        }
    }

    /// Returns whether this is the upstream with `key`.
    pub(super) fn has_key(&self, key: &UpstreamKey) -> bool {
        self.instance == key.instance && self.id == key.upstream
    }

    /// Adopts what the same process announced at its previous address.
    pub(super) fn adopt_announcements(&mut self, previous: &Self) {
        if previous.started_ms == self.started_ms {
            self.leaving_since = previous.leaving_since;
            self.quiet_until = previous.quiet_until;
            self.rate_limit = previous.rate_limit;
            self.warm_up = previous.warm_up.clone();
            self.applied_record = previous.applied_record;
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
            self.warm_up = WarmUp::default();
        }
    }

    /// Applies the warm-up time of a record that differs from the one applied last. A record that is
    /// listed again does not show that the upstream is cold again.
    pub(super) fn update_warm_up(
        &mut self,
        now: TimePoint,
        record: &UpstreamRecord,
        rule: Option<&WarmUpRule>,
    ) {
        let applied = Some((record.version(), record.warm_up_left));
        if std::mem::replace(&mut self.applied_record, applied) != applied {
            self.warm_up.on_entry(now, record.warm_up_left, rule, self.rate_share);
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

    /// Returns the time until the rate limit and the bound of a cold upstream allow a call of this node;
    /// `None` if they allow one now.
    pub(super) fn time_to_grant(&self, now: TimePoint, kind: CallKind) -> Option<Duration> {
        let limit = self.rate_limit.as_ref();
        let time = limit.map_or(Duration::ZERO, |it| it.time_to_grant(now, self.rate_share, kind));
        let time = time.max(self.warm_up.time_to_grant(now, self.rate_share, kind));
        (!time.is_zero()).then_some(time)
    }

    /// Records at the bounds without a grant that a call found none.
    pub(super) fn record_missing_grants(&mut self, now: TimePoint, kind: CallKind) {
        let share = self.rate_share;
        let limit = self.rate_limit.as_mut();
        if let Some(limit) = limit.filter(|it| !it.time_to_grant(now, share, kind).is_zero()) {
            limit.on_missing();
        }
        self.warm_up.record_missing(now, share);
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
        self.leaving_since.is_some_and(is_recent)
            || is_rate_limited
            || now < self.quiet_until
            || self.warm_up.is_cold(now)
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.reserved_calls.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.reserved_calls.is_empty()
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn start_call(&mut self, now: TimePoint, kind: CallKind, number: u64) {
        self.reserved_calls.push(ReservedCall { number, reserved_at: now, has_begun: false });
        if let Some(limit) = &mut self.rate_limit {
            limit.use_grant(now, self.rate_share, kind);
        }
        self.warm_up.on_call(now, self.rate_share);
    }

    /// Records that the task of a call has begun.
    pub(super) fn begin_call(&mut self, number: u64) {
        if let Some(call) = self.reserved_calls.iter_mut().find(|it| it.number == number) {
            call.has_begun = true;
        }
    }

    /// Releases the connection of a call; returns whether it was reserved.
    pub(super) fn end_call(&mut self, number: u64) -> bool {
        let idx = self.reserved_calls.iter().position(|it| it.number == number);
        idx.map(|it| self.reserved_calls.swap_remove(it)).is_some()
    }

    /// Releases the oldest connection reserved for longer than `limit` for a call that has not begun, and
    /// returns its age.
    pub(super) fn release_lost_reservation(
        &mut self,
        now: TimePoint,
        limit: Duration,
    ) -> Option<Duration> {
        let unused = self.reserved_calls.iter().filter(|it| !it.has_begun);
        let ReservedCall { number, reserved_at, .. } = *unused.min_by_key(|it| it.reserved_at)?;
        let age = now.since(reserved_at);
        (limit < age && self.end_call(number)).then_some(age)
    }

    /// Releases the connection of a call that is not made, and returns its grants.
    pub(super) fn withdraw_call(&mut self, number: u64) {
        if !self.end_call(number) {
            return;
        }
        if let Some(limit) = &mut self.rate_limit {
            limit.return_grant();
        }
        self.warm_up.return_grant();
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
}
