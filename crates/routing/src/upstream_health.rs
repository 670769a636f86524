//! Passive health check: ejects upstreams after consecutive failures and readmits them after a
//! successful probe call.

use std::time::Duration;

use mux_model::{CallFailure, NotRunReason, TimePoint};

/// Consecutive failed calls after which an upstream is ejected if the last one could not be sent,
/// lost its connection or found it silent.
const CONNECTION_FAILURES_TO_EJECT: u32 = 3;
/// Consecutive failed calls after which an upstream is ejected if the last one got a faulty reply.
const FAULTY_REPLIES_TO_EJECT: u32 = 5;
/// Number of calls cancelled after more than the upstream's baseline latency, without a success in
/// between, that ejects the upstream.
const UNANSWERED_CALLS_TO_EJECT: u32 = 5;
/// Minimum time since the last success for an ejection because of unanswered calls.
const MIN_SILENCE_MS: u64 = 500;
/// Duration of the first ejection; doubled by each ejection after a failed call, but not after an
/// unanswered or inconclusive one.
const BASE_BACKOFF_MS: u64 = 500;
/// Maximum duration of an ejection, before jitter.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Successes since the last failed call after which the next ejection is as short as the first.
const SUCCESSES_TO_RESET_BACKOFF: u32 = 20;

/// Whether an upstream accepts calls, according to the failures of its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthPhase {
    /// Calls are sent.
    Serving,
    /// No calls are sent during the backoff; the next one is a probe. It is sent earlier if all
    /// other replicas are unavailable.
    Ejected {
        /// End of the backoff.
        until: TimePoint,
    },
    /// One probe call is in flight.
    Probing,
}

/// Health of one upstream, derived from its consecutive failures and successes.
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
    /// Creates the health state of a new upstream.
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

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> HealthPhase {
        self.phase
    }

    /// Returns the start of the current phase.
    pub(crate) fn changed_at(&self) -> TimePoint {
        self.changed_at
    }

    /// Records that the call being sent to an ejected upstream is its probe.
    pub(crate) fn begin_probe(&mut self, now: TimePoint) {
        self.enter(now, HealthPhase::Probing);
    }

    /// Records a call that ended as neither a success nor a failure, such as an early cancellation.
    pub(crate) fn on_inconclusive_call(&mut self, now: TimePoint, jitter: f64) {
        if self.phase == HealthPhase::Probing {
            self.eject(now, self.backoff(jitter));
        }
    }

    /// Records that a call was cancelled after more than the upstream's baseline latency.
    ///
    /// Detects an upstream that stopped replying while hedges to other replicas succeed.
    pub(crate) fn on_unanswered(&mut self, now: TimePoint, jitter: f64) {
        self.unanswered = self.unanswered.saturating_add(1);
        let should_eject = match self.phase {
            HealthPhase::Serving => self.is_silent(now),
            HealthPhase::Probing => true,
            HealthPhase::Ejected { .. } => false,
        };
        if should_eject {
            self.eject(now, self.backoff(jitter));
        }
    }

    /// Records a call that the upstream handled; returns whether this ended an ejection.
    pub(crate) fn on_success(&mut self, now: TimePoint) -> bool {
        self.failures = 0;
        self.unanswered = 0;
        self.succeeded_at = now;
        self.successes = self.successes.saturating_add(1);
        if SUCCESSES_TO_RESET_BACKOFF <= self.successes {
            self.ejections = 0;
        }
        if self.phase == HealthPhase::Serving {
            return false;
        }
        self.enter(now, HealthPhase::Serving);
        true
    }

    /// Records a failed call.
    ///
    /// `jitter` from 0 to 1 spreads the times at which several upstreams are probed.
    pub(crate) fn on_failure(&mut self, now: TimePoint, failure: CallFailure, jitter: f64) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
        let should_eject = match self.phase {
            HealthPhase::Serving => failures_to_eject(failure) <= self.failures,
            HealthPhase::Probing => true,
            HealthPhase::Ejected { .. } => false,
        };
        if should_eject {
            self.eject(now, self.backoff(jitter));
            self.ejections = self.ejections.saturating_add(1);
        }
    }

    fn is_silent(&self, now: TimePoint) -> bool {
        let silence = now.since(self.succeeded_at);
        UNANSWERED_CALLS_TO_EJECT <= self.unanswered
            && Duration::from_millis(MIN_SILENCE_MS) <= silence
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
        CallFailure::NotRun {
            reason: NotRunReason::NotSent | NotRunReason::ConnectionRefused,
            ..
        }
        | CallFailure::ConnectionLost
        | CallFailure::UpstreamEnded
        | CallFailure::Silent => CONNECTION_FAILURES_TO_EJECT,
        _ => FAULTY_REPLIES_TO_EJECT,
    }
}
