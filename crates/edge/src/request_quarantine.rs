//! This node's knowledge of requests that crash upstreams.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use mux_model::{InstanceId, ServiceName, TimePoint};
use mux_quarantine::{
    AttemptKind, Evidence, EvidenceKey, EvidenceSource, IDLE_LIFETIME, RequestAdmission,
    RequestFingerprint, SharedLedger, UpstreamProcess,
};
use mux_timer::{TimerService, unix_millis};
use slog::{info, warn};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::edge_state::EdgeState;

/// Maximum number of claims of trials that wait for the store; further ones are not made.
const MAX_PENDING_CLAIMS: usize = 16;
/// Time for which a request waits for the claim of its trial; then it is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// A request of the request path to claim a trial in the store.
#[derive(Debug)]
pub(crate) struct TrialClaim {
    pub(crate) trial: Evidence,
    /// Receives whether this node may make the trial.
    pub(crate) granted: oneshot::Sender<bool>,
}

/// The evidence against requests, and what connects it with the task that shares it.
#[derive(Debug)]
pub(crate) struct RequestQuarantine {
    pub(crate) ledger: SharedLedger,
    /// Wakes the task that shares evidence.
    pub(crate) evidence_added: Notify,
    /// Wakes the task that passes evidence on to peers.
    pub(crate) notice_due: Notify,
    claims: mpsc::Sender<TrialClaim>,
    /// The receiver of the claims, until the task that shares evidence takes it.
    pending_claims: Mutex<Option<mpsc::Receiver<TrialClaim>>>,
}

impl RequestQuarantine {
    pub(crate) fn new() -> Self {
        let (claims, pending_claims) = mpsc::channel(MAX_PENDING_CLAIMS);
        Self {
            ledger: SharedLedger::new(IDLE_LIFETIME.mul_f64(1.0 + rand::random::<f64>())),
            evidence_added: Notify::new(),
            notice_due: Notify::new(),
            claims,
            pending_claims: Mutex::new(Some(pending_claims)),
        }
    }

    /// Takes the receiver of the claims; `None` if it was taken before.
    pub(crate) fn take_claims(&self) -> Option<mpsc::Receiver<TrialClaim>> {
        self.pending_claims.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Claims a trial in the store; returns whether this node may make it. A trial that is granted too
    /// late is not made.
    async fn claim(&self, timer: &TimerService, trial: Evidence) -> bool {
        let (granted, result) = oneshot::channel();
        if self.claims.try_send(TrialClaim { trial, granted }).is_err() {
            return false;
        }
        matches!(timer.timeout(CLAIM_TIMEOUT, result).await, Ok(Ok(true)))
    }
}

/// Decides on an attempt to send a request; returns `None` if it is quarantined and must not be sent.
pub(crate) async fn admit_request(
    edge: &EdgeState,
    fingerprint: impl FnOnce() -> RequestFingerprint,
) -> Option<AttemptKind> {
    if edge.quarantine.ledger.is_empty() {
        return Some(AttemptKind::Ordinary);
    }
    let fingerprint = fingerprint();
    let now = edge.timer.now();
    match edge.quarantine.ledger.update(|it| it.admit(now, fingerprint)) {
        RequestAdmission::Clear => Some(AttemptKind::Ordinary),
        RequestAdmission::Suspect => Some(AttemptKind::Suspect),
        RequestAdmission::Quarantined { trial: None } => None,
        RequestAdmission::Quarantined { trial: Some(trial) } => {
            let source = trial.key.source.to_string();
            let is_granted = edge.quarantine.claim(&edge.timer, trial).await;
            info!(edge.logger, "quarantine: trial of a request";
                "fingerprint" => fingerprint.to_string(), "trial" => source,
                "granted" => is_granted);
            is_granted.then_some(AttemptKind::Trial)
        }
    }
}

/// Records that the process of `instance` ended while it ran a request; returns the number of crashes
/// that are known of the request.
pub(crate) fn record_crash(
    edge: &EdgeState,
    fingerprint: RequestFingerprint,
    service: &ServiceName,
    instance: &InstanceId,
) -> usize {
    let started_ms = edge.upstreams().started_ms(instance);
    let process = UpstreamProcess { instance: instance.clone(), started_ms };
    let key = EvidenceKey { fingerprint, source: EvidenceSource::Crash(process) };
    let evidence = Evidence { key, service: service.clone(), observed_ms: unix_millis() };
    let now = edge.timer.now();
    if edge.reach.is_cut() {
        // This node lost its connections because of the cut.
        return edge.quarantine.ledger.update(|it| it.crashes(fingerprint));
    }
    let crashes = edge.quarantine.ledger.update(|it| {
        it.record(now, evidence);
        it.crashes(fingerprint)
    });
    edge.quarantine.evidence_added.notify_one();
    edge.quarantine.notice_due.notify_one();
    if let Some(suppressed) = edge.request_log.allow(now) {
        warn!(edge.logger, "quarantine: evidence against a request";
            "fingerprint" => fingerprint.to_string(), "service" => service.as_str(),
            "instance" => instance.as_str(), "crashes" => crashes,
            "suppressed_lines" => suppressed);
    }
    crashes
}

/// Records a strong sign that a request crashes upstreams: other nodes learn its evidence at once.
pub(crate) fn record_strong_sign(edge: &EdgeState, fingerprint: RequestFingerprint) {
    edge.quarantine.ledger.update(|it| it.mark_urgent(fingerprint));
    edge.quarantine.notice_due.notify_one();
}

/// Ends the trial of a request that this node made.
pub(crate) fn end_trial(edge: &EdgeState, fingerprint: RequestFingerprint) {
    let now = edge.timer.now();
    edge.quarantine.ledger.update(|it| it.end_trial(now, fingerprint));
}

/// Records that a request was answered by `service`, or by all services of a query over many shards.
pub(crate) fn record_answer(
    edge: &EdgeState,
    fingerprint: RequestFingerprint,
    service: Option<&ServiceName>,
) {
    let now = edge.timer.now();
    edge.quarantine.ledger.update(|it| it.on_answered(now, fingerprint, service));
}

/// Records that an upstream of `service` answered a call that was sent at `sent_at`.
pub(crate) fn record_survival(
    edge: &EdgeState,
    fingerprint: impl FnOnce() -> RequestFingerprint,
    service: &ServiceName,
    sent_at: TimePoint,
) {
    if !edge.quarantine.ledger.is_empty() {
        let fingerprint = fingerprint();
        edge.quarantine.ledger.update(|it| it.on_reply(fingerprint, service, sent_at));
    }
}
