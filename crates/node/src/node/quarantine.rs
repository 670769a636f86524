//! Requests that crash upstreams: evidence against them, and their admission.

use mux_model::{ServiceName, TimePoint, UpstreamId};
use mux_quarantine::{
    AttemptKind, Evidence, EvidenceKey, EvidenceSource, RequestAdmission, RequestFingerprint,
    SharedLedger, UpstreamProcess,
};
use mux_timer::unix_millis;
use slog::{info, warn};

use super::Node;
use crate::dispatch::{ProblemCode, QueryCommand, QueryProblem};

impl Node {
    /// Returns the evidence against requests.
    pub(crate) fn quarantine(&self) -> &SharedLedger {
        &self.quarantine
    }

    /// Decides on an attempt to run a query; returns how it is made.
    ///
    /// # Errors
    ///
    /// Returns the problem to report to the caller if the query is quarantined.
    pub(crate) fn admit_query(&self, command: &QueryCommand) -> Result<AttemptKind, QueryProblem> {
        if self.quarantine.is_empty() {
            return Ok(AttemptKind::Ordinary);
        }
        let now = self.timer.now();
        let fingerprint = fingerprint(command);
        match self.quarantine.update(|it| it.admit(now, fingerprint)) {
            RequestAdmission::Clear => Ok(AttemptKind::Ordinary),
            RequestAdmission::Suspect => Ok(AttemptKind::Suspect),
            RequestAdmission::Quarantined { trial: Some(trial) }
                if self.makes_trials(&command.service) =>
            {
                info!(self.logger, "quarantine: trial of a query";
                    "fingerprint" => fingerprint.to_string(),
                    "trial" => trial.key.source.to_string());
                self.quarantine.update(|it| it.record(now, trial));
                Ok(AttemptKind::Trial)
            }
            RequestAdmission::Quarantined { .. } => {
                let message = "queries with this content have crashed several upstreams";
                Err(QueryProblem::not_run(ProblemCode::Quarantined, message))
            }
        }
    }

    /// Ends the trial of a query that this node made.
    pub(crate) fn end_trial(&self, command: &QueryCommand) {
        let now = self.timer.now();
        self.quarantine.update(|it| it.end_trial(now, fingerprint(command)));
    }

    /// Records that the process of `upstream` ended while it ran a query; returns the number of
    /// crashes that are known of the query. `suspect_since` is the start of the attempt if the query was
    /// a suspect then.
    pub(crate) fn record_crash(
        &self,
        command: &QueryCommand,
        upstream: UpstreamId,
        suspect_since: Option<TimePoint>,
    ) -> usize {
        let now = self.timer.now();
        let fingerprint = fingerprint(command);
        if self.is_cut() {
            // This node lost its connections because of the cut.
            return self.quarantine.update(|it| it.crashes(fingerprint));
        }
        let instance = upstream.to_string().into();
        let observed_ms = unix_millis();
        // Upstreams of this interface do not tell when they started. Processes that ended at the same
        // moment count as one crash.
        let process = UpstreamProcess { instance, started_ms: observed_ms };
        let key = EvidenceKey { fingerprint, source: EvidenceSource::Crash(process) };
        let evidence = Evidence { key, service: command.service.clone(), observed_ms };
        let crashes = self.quarantine.update(|it| {
            match suspect_since {
                Some(started_at) => it.record_contained(now, started_at, evidence),
                None => it.record(now, evidence),
            }
            it.crashes(fingerprint)
        });
        warn!(self.logger, "quarantine: evidence against a query";
            "fingerprint" => fingerprint.to_string(), "service" => command.service.as_str(),
            "upstream" => upstream.to_string(), "crashes" => crashes);
        crashes
    }

    /// Records a strong sign that a query crashes upstreams: other nodes learn its evidence with the next
    /// exchange.
    pub(crate) fn record_strong_sign(&self, command: &QueryCommand) {
        self.quarantine.update(|it| it.mark_urgent(fingerprint(command)));
    }

    /// Records that all shards answered a query.
    pub(crate) fn record_answer(&self, command: &QueryCommand) {
        let now = self.timer.now();
        self.quarantine.update(|it| it.on_answered(now, fingerprint(command), None));
    }

    /// Records that an upstream replied to a call of a query that was sent at `sent_at`.
    pub(crate) fn record_survival(&self, command: &QueryCommand, sent_at: TimePoint) {
        if !self.quarantine.is_empty() {
            let fingerprint = fingerprint(command);
            self.quarantine.update(|it| it.on_reply(fingerprint, &command.service, sent_at));
        }
    }

    /// Returns whether this node makes the trials of quarantined queries of a service: one of its home
    /// nodes does, so that all nodes together make few.
    fn makes_trials(&self, service: &ServiceName) -> bool {
        let runtime = self.registry.find(service);
        let homes = runtime.map(|it| self.home_names(it.definition())).unwrap_or_default();
        homes.iter().min() == Some(self.name())
    }
}

/// Returns the identity of a query by its content. Callers of this interface are not identified.
fn fingerprint(command: &QueryCommand) -> RequestFingerprint {
    RequestFingerprint::of_parts(&[command.service.as_str().as_bytes(), &command.body])
}
