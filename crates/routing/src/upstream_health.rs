//! Ejects upstreams that keep failing and lets them return by single probe calls.

use std::time::Duration;

use mux_model::{CallFailure, NotRunReason, TimePoint};

/// Consecutive failed connections after which an upstream is ejected.
const CONNECTION_FAILURES: u32 = 3;
/// Consecutive faulty replies after which an upstream is ejected.
const FAULTY_REPLIES: u32 = 5;
/// Consecutive calls given up without a reply, after which an upstream is ejected.
const UNANSWERED_CALLS: u32 = 5;
/// Time without a reply before that.
const UNANSWERED_MS: u64 = 500;
/// Time of the first ejection; doubles with each one that follows.
const BASE_BACKOFF_MS: u64 = 500;
/// Longest ejection.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Consecutive successes after which earlier ejections are forgotten.
const RECOVERED_SUCCESSES: u32 = 20;

/// Whether an upstream takes calls, as far as failed calls say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthPhase {
    /// Takes calls.
    Serving,
    /// Takes none until the time, and then one probe call.
    Ejected {
        /// End of the backoff.
        until: TimePoint,
    },
    /// One probe call is in flight.
    Probing,
}

/// Failures of one upstream in a row, and what follows from them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamHealth {
    phase: HealthPhase,
    changed_at: TimePoint,
    failures: u32,
    unanswered: u32,
    succeeded_at: TimePoint,
    successes: u32,
    ejections: u32,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that was not used before.
    pub(crate) fn new() -> Self {
        Self {
            phase: HealthPhase::Serving,
            changed_at: TimePoint::ZERO,
            failures: 0,
            unanswered: 0,
            succeeded_at: TimePoint::ZERO,
            successes: 0,
            ejections: 0,
        }
    }

    /// Returns the present phase.
    pub(crate) fn phase(&self) -> HealthPhase {
        self.phase
    }

    /// Returns when the phase began.
    pub(crate) fn changed_at(&self) -> TimePoint {
        self.changed_at
    }

    /// Marks the call that is being sent to an ejected upstream as its probe.
    pub(crate) fn begin_probe(&mut self, now: TimePoint) {
        self.enter(now, HealthPhase::Probing);
    }

    /// Takes in that a call was given up before a reply was due, which says nothing.
    pub(crate) fn on_unknown(&mut self, now: TimePoint, jitter: f64) {
        if self.phase == HealthPhase::Probing {
            self.eject(now, self.backoff(jitter));
        }
    }

    /// Takes in that a call was given up although a reply was due.
    ///
    /// Finds an upstream that went silent while its calls are hedged elsewhere.
    pub(crate) fn on_unanswered(&mut self, now: TimePoint, jitter: f64) {
        self.unanswered = self.unanswered.saturating_add(1);
        let is_due = match self.phase {
            HealthPhase::Serving => self.is_silent(now),
            HealthPhase::Probing => true,
            HealthPhase::Ejected { .. } => false,
        };
        if is_due {
            self.eject(now, self.backoff(jitter));
        }
    }

    /// Takes in proof that the upstream works; returns whether it returns from an ejection.
    pub(crate) fn on_success(&mut self, now: TimePoint) -> bool {
        self.failures = 0;
        self.unanswered = 0;
        self.succeeded_at = now;
        self.successes = self.successes.saturating_add(1);
        if RECOVERED_SUCCESSES <= self.successes {
            self.ejections = 0;
        }
        if self.phase == HealthPhase::Serving {
            return false;
        }
        self.enter(now, HealthPhase::Serving);
        true
    }

    /// Takes in a failed call; `jitter` from 0 to 1 spreads the return of many upstreams.
    pub(crate) fn on_failure(&mut self, now: TimePoint, failure: CallFailure, jitter: f64) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
        let is_due = match self.phase {
            HealthPhase::Serving => failures_to_eject(failure) <= self.failures,
            HealthPhase::Probing => true,
            HealthPhase::Ejected { .. } => false,
        };
        if is_due {
            self.eject(now, self.backoff(jitter));
            self.ejections = self.ejections.saturating_add(1);
        }
    }

    fn is_silent(&self, now: TimePoint) -> bool {
        let silence = now.since(self.succeeded_at);
        UNANSWERED_CALLS <= self.unanswered && Duration::from_millis(UNANSWERED_MS) <= silence
    }

    fn eject(&mut self, now: TimePoint, backoff: Duration) {
        self.enter(now, HealthPhase::Ejected { until: now + backoff });
    }

    fn backoff(&self, jitter: f64) -> Duration {
        let factor = 1_u64.checked_shl(self.ejections.min(16)).unwrap_or(u64::MAX);
        let millis = BASE_BACKOFF_MS.saturating_mul(factor).min(MAX_BACKOFF_MS);
        Duration::from_millis(millis).mul_f64(1.0 + 0.5 * jitter)
    }

    fn enter(&mut self, now: TimePoint, phase: HealthPhase) {
        self.phase = phase;
        self.changed_at = now;
    }
}

fn failures_to_eject(failure: CallFailure) -> u32 {
    match failure {
        CallFailure::NotRun { reason: NotRunReason::NotSent, .. }
        | CallFailure::ConnectionLost
        | CallFailure::Silent => CONNECTION_FAILURES,
        _ => FAULTY_REPLIES,
    }
}
