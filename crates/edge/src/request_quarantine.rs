//! What this node learns of requests that crash upstreams, and whether it sends them.

use mux_model::{InstanceId, ServiceName, TimePoint};
use mux_quarantine::{
    AttemptKind, Evidence, EvidenceKey, EvidenceSource, RequestAdmission, RequestFingerprint,
    UpstreamProcess,
};
use mux_timer::unix_millis;
use slog::{info, warn};

use crate::edge_state::EdgeState;

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
/// that are known of the request. `suspect_since` is the start of the attempt if the request was a suspect
/// then.
pub(crate) fn record_crash(
    edge: &EdgeState,
    fingerprint: RequestFingerprint,
    service: &ServiceName,
    instance: &InstanceId,
    suspect_since: Option<TimePoint>,
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
        match suspect_since {
            Some(started_at) => it.record_contained(now, started_at, evidence),
            None => it.record(now, evidence),
        }
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
