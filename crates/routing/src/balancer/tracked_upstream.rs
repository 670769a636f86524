//! All that a lane knows of one upstream.

use std::time::Duration;

use mux_model::{CallFailure, InstanceId, NotRunReason, TimePoint, UpstreamId};

use super::{LatencyEstimate, UpstreamRecord, latency_estimator::micros};
use crate::CallOutcome;

/// Weight of a new sample in the speed factor.
const FACTOR_WEIGHT: f64 = 0.15;
/// Bounds of the speed factor.
const FACTOR_RANGE: (f64, f64) = (0.2, 50.0);
/// Time in which what was measured of an upstream's speed loses half of its weight if no reply
/// confirms it, so that one that was slow is tried again.
const FACTOR_HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of a new sample in the share of failed calls.
const FAILURE_WEIGHT: f64 = 0.15;
/// Work of an upstream that has just started, relative to a warm one.
const COLD_FACTOR: f64 = 1.6;
/// Calls without a reply for this many hedge delays make an upstream suspect.
const SUSPECT_DELAYS: u32 = 3;
/// Time for which a suspect upstream is avoided at first; doubles with each further call.
const SUSPECT_TIME: Duration = Duration::from_millis(150);
/// Longest time for which a suspect upstream is avoided.
const MAX_SUSPECT_TIME: Duration = Duration::from_millis(1_200);
/// Time without new calls after a failed dial at first; doubles with each further one.
const DOWN_TIME: Duration = Duration::from_millis(80);
/// Longest time without new calls after a failed dial.
const MAX_DOWN_TIME: Duration = Duration::from_millis(640);
/// Connections that an upstream is taken to accept at least, and shortly after the start of this
/// process until one has carried a reply: it may still hold those of the process before, and resets
/// what is beyond its limit.
const FEWEST_CONNECTIONS: u32 = 1;
/// Time without more connections after one was refused at first; doubles with each further one.
const REFUSED_TIME: Duration = Duration::from_millis(250);
/// Longest time without more connections after one was refused.
const MAX_REFUSED_TIME: Duration = Duration::from_secs(2);
/// Time for which a reported load is used.
const HINT_LIFETIME: Duration = Duration::from_millis(250);
/// Part of the work that a slot in use counts like, though a request does not wait for it.
const BALANCE_WEIGHT: f64 = 0.3;
/// Number of slow calls that a certain failure counts like, in the comparison of costs.
const FAILURE_COST: f64 = 6.0;

/// How far an upstream is to be avoided; a lower one is chosen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Avoidance {
    /// Nothing speaks against it.
    Usable,
    /// A call there is late now: the upstream seems to pause.
    Stalled,
    /// Calls there were given up without a reply.
    Suspect,
}

/// Load that an upstream reported.
#[derive(Debug, Clone, Copy)]
struct LoadHint {
    at: TimePoint,
    busy: u32,
}

/// One upstream of a lane.
#[derive(Debug)]
pub(super) struct TrackedUpstream {
    pub(super) id: UpstreamId,
    pub(super) instance: InstanceId,
    /// Whether new calls may go there.
    pub(super) member: bool,
    same_zone: bool,
    slots: u32,
    cold_until: TimePoint,
    /// Start times of the calls that hold a connection.
    in_flight: Vec<TimePoint>,
    open_connections: u32,
    /// Connections that the upstream is taken to accept from this node.
    accepted_connections: u32,
    /// Refused connections since as many as then were accepted.
    refusals: u32,
    /// Connections that were open when one was refused last, that one included.
    refused_at: u32,
    refused_until: TimePoint,
    factor: f64,
    replied_at: TimePoint,
    failures: f64,
    unanswered: u32,
    suspect_until: TimePoint,
    failed_dials: u32,
    down_until: TimePoint,
    hint: Option<LoadHint>,
}

impl TrackedUpstream {
    /// Creates an upstream without calls; `is_start` shortly after the start of this process.
    pub(super) fn new(
        now: TimePoint,
        record: &UpstreamRecord,
        same_zone: bool,
        is_start: bool,
    ) -> Self {
        Self {
            id: record.upstream,
            instance: record.instance.clone(),
            member: true,
            same_zone,
            slots: record.slots.max(1),
            cold_until: now + record.warmup_left,
            in_flight: Vec::new(),
            open_connections: 0,
            accepted_connections: if is_start { FEWEST_CONNECTIONS } else { u32::MAX },
            refusals: 0,
            refused_at: 0,
            refused_until: TimePoint::ZERO,
            factor: 1.0,
            replied_at: now,
            failures: 0.0,
            unanswered: 0,
            suspect_until: TimePoint::ZERO,
            failed_dials: 0,
            down_until: TimePoint::ZERO,
            hint: None,
        }
    }

    /// Takes over what the upstream says of itself now.
    pub(super) fn renew(&mut self, now: TimePoint, record: &UpstreamRecord) {
        self.member = true;
        self.slots = record.slots.max(1);
        self.cold_until = now + record.warmup_left;
    }

    pub(super) fn busy(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub(super) fn is_down(&self, now: TimePoint) -> bool {
        now < self.down_until
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn start_call(&mut self, now: TimePoint) {
        self.in_flight.push(now);
    }

    /// Ends the call that started at `started`; the connection is free again.
    pub(super) fn end_call(&mut self, started: TimePoint) {
        if let Some(idx) = self.in_flight.iter().position(|it| *it == started) {
            self.in_flight.swap_remove(idx);
        }
    }

    pub(super) fn set_open_connections(&mut self, open: u32) {
        self.open_connections = open;
    }

    /// Returns whether a connection is open or being set up.
    pub(super) fn has_connection(&self) -> bool {
        0 < self.open_connections
    }

    /// Returns whether a connection is open that no call uses.
    pub(super) fn has_free_connection(&self) -> bool {
        self.busy() < self.open_connections
    }

    /// Takes in that a new connection carried its first reply: one more is worth a try.
    pub(super) fn on_connection_accepted(&mut self, now: TimePoint) {
        self.failed_dials = 0;
        self.down_until = TimePoint::ZERO;
        if self.refused_at <= self.open_connections {
            self.refusals = 0;
        }
        if self.refused_until <= now {
            let next = self.open_connections.saturating_add(1);
            self.accepted_connections = self.accepted_connections.max(next);
        }
    }

    /// Takes in that a new connection was reset before it carried a reply: those that are open
    /// are all that can be had for a while.
    pub(super) fn on_connection_refused(&mut self, now: TimePoint) {
        let time = REFUSED_TIME * (1 << self.refusals.min(8));
        self.refusals += 1;
        self.refused_until = now + time.min(MAX_REFUSED_TIME);
        self.refused_at = self.open_connections;
        let others = self.open_connections.saturating_sub(1);
        self.accepted_connections = others.max(FEWEST_CONNECTIONS);
    }

    /// Returns the connections that the upstream is taken to accept from this node.
    pub(super) fn accepted_connections(&self) -> u32 {
        self.accepted_connections
    }

    pub(super) fn on_dial_failed(&mut self, now: TimePoint) {
        let time = DOWN_TIME * (1 << self.failed_dials.min(8));
        self.failed_dials += 1;
        self.down_until = now + time.min(MAX_DOWN_TIME);
    }

    pub(super) fn on_load(&mut self, now: TimePoint, busy: u32) {
        self.hint = Some(LoadHint { at: now, busy });
    }

    /// Takes in how a call ended for its query; returns the latency at average speed if it says
    /// something about the pace of the route.
    pub(super) fn on_outcome(
        &mut self,
        now: TimePoint,
        outcome: CallOutcome,
        pace: &LatencyEstimate,
    ) -> Option<Duration> {
        match outcome {
            CallOutcome::Replied(latency) => {
                let normal = latency.div_f64(self.speed_factor(now) * self.queue_factor(now));
                self.on_reply(now, latency, pace);
                Some(normal)
            }
            CallOutcome::Cancelled(elapsed) => {
                self.on_unanswered(now, elapsed, pace);
                None
            }
            CallOutcome::Failed(failure, elapsed) => {
                self.on_failure(now, failure, elapsed, pace);
                None
            }
            CallOutcome::Withdrawn => None,
        }
    }

    /// Takes in a reply, also one that came too late for its query.
    pub(super) fn on_reply(&mut self, now: TimePoint, latency: Duration, pace: &LatencyEstimate) {
        self.record_factor(now, latency, pace);
        self.failures -= self.failures * FAILURE_WEIGHT;
        self.unanswered = 0;
        self.suspect_until = TimePoint::ZERO;
    }

    fn on_unanswered(&mut self, now: TimePoint, elapsed: Duration, pace: &LatencyEstimate) {
        if elapsed < pace.hedge_after * SUSPECT_DELAYS {
            return;
        }
        if now < self.suspect_until {
            // The other calls of the same pause say nothing new.
            return;
        }
        let time = SUSPECT_TIME * (1 << self.unanswered.min(8));
        self.unanswered += 1;
        self.suspect_until = now + time.min(MAX_SUSPECT_TIME);
    }

    fn on_failure(
        &mut self,
        now: TimePoint,
        failure: CallFailure,
        elapsed: Duration,
        pace: &LatencyEstimate,
    ) {
        match failure {
            // A dial that failed is counted by the pool.
            CallFailure::NotRun { reason: NotRunReason::NotSent, .. } => {}
            CallFailure::Silent | CallFailure::DeadlinePassed => {
                self.on_unanswered(now, elapsed, pace);
            }
            _ => self.failures += (1.0 - self.failures) * FAILURE_WEIGHT,
        }
    }

    fn record_factor(&mut self, now: TimePoint, latency: Duration, pace: &LatencyEstimate) {
        let usual = micros(pace.typical).max(1.0) * self.queue_factor(now);
        let (least, most) = FACTOR_RANGE;
        let sample = (micros(latency) / usual).clamp(least, most);
        let known = self.speed_factor(now);
        self.factor = known + (sample - known) * FACTOR_WEIGHT;
        self.replied_at = now;
    }

    /// Returns the time that work takes there relative to other upstreams.
    fn speed_factor(&self, now: TimePoint) -> f64 {
        let age = now.since(self.replied_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / FACTOR_HALF_LIFE.as_secs_f64());
        self.factor.powf(weight)
    }

    /// Returns the requests that the upstream has, as far as this node knows.
    fn load(&self, now: TimePoint) -> u32 {
        let reported = self.hint.filter(|it| now.since(it.at) <= HINT_LIFETIME);
        reported.map_or(0, |it| it.busy).max(self.busy())
    }

    /// Returns how much longer a request takes that has to wait for a slot.
    fn queue_factor(&self, now: TimePoint) -> f64 {
        let waiting = (self.load(now) + 1).saturating_sub(self.slots);
        1.0 + f64::from(waiting) / f64::from(self.slots)
    }

    /// Returns the time that a call started now is expected to take, in microseconds.
    pub(super) fn expected_us(&self, now: TimePoint, pace: &LatencyEstimate) -> f64 {
        let cold = if now < self.cold_until { COLD_FACTOR } else { 1.0 };
        micros(pace.typical) * self.speed_factor(now) * cold * self.queue_factor(now)
    }

    /// Returns how far the upstream is to be avoided now.
    pub(super) fn avoidance(&self, now: TimePoint, pace: &LatencyEstimate) -> Avoidance {
        if now < self.suspect_until {
            return Avoidance::Suspect;
        }
        let patience = pace.hedge_after.mul_f64(self.speed_factor(now).clamp(1.0, 3.0));
        if self.in_flight.iter().any(|it| patience < now.since(*it)) {
            return Avoidance::Stalled;
        }
        Avoidance::Usable
    }

    /// Returns the expected time with what else speaks against the upstream turned into time, in
    /// microseconds.
    pub(super) fn cost(&self, now: TimePoint, pace: &LatencyEstimate, dial_us: f64) -> f64 {
        let expected = self.expected_us(now, pace);
        // Room that is free anywhere is used evenly before any of it runs out.
        let balance = expected * BALANCE_WEIGHT * f64::from(self.load(now)) / f64::from(self.slots);
        let zone = if self.same_zone { 0.0 } else { micros(pace.zone_cost) };
        let dial = if self.has_free_connection() { 0.0 } else { dial_us };
        let failure = self.failures * FAILURE_COST * micros(pace.hedge_after);
        expected + balance + zone + dial + failure
    }
}
