//! Evidence against requests, and the decision whether a request is admitted.

use std::{cmp::Reverse, time::Duration};

use mux_model::{FastMap, FastSet, ServiceName, TimePoint};

use crate::{
    Evidence, EvidenceKey, EvidenceSource, EvidenceUpdate, RequestAdmission, RequestFingerprint,
    recent_answers::RecentAnswers,
    suspect_request::{KnownEvidence, SuspectRequest},
};

/// Maximum number of requests with evidence that are remembered.
pub const MAX_REQUESTS: usize = 2_048;
/// Maximum number of pieces of evidence that wait for their withdrawal from the store.
const MAX_WITHDRAWALS: usize = 4_096;
/// Time from the first crash of a request until it is shared. Most requests that only ran on an upstream
/// which crashed are answered by another one meanwhile.
const SHARING_DELAY: Duration = Duration::from_millis(300);
/// Shortest time without an attempt or new evidence after which a request is forgotten.
pub const IDLE_LIFETIME: Duration = Duration::from_secs(600);
/// Time after which the evidence against a request that still comes is shared again, so that other
/// nodes do not forget it.
const RENEWAL_PERIOD: Duration = Duration::from_secs(240);
/// Time after which a trial without a result no longer keeps other nodes from the next one.
const TRIAL_LIFETIME: Duration = Duration::from_secs(30);
/// Time from a trial that reached no upstream to the next one of the same node.
const TRIAL_PAUSE: Duration = Duration::from_secs(2);
/// Minimum time between two attempts of a node to claim a trial.
const TRIAL_CLAIM_PERIOD: Duration = Duration::from_millis(200);

/// The evidence against requests that is known to this node, its own and that of other nodes.
///
/// A request that was at an upstream when its process ended is a suspect until an upstream of that
/// service has answered it. After [`CRASH_LIMIT`](crate::CRASH_LIMIT) crashes without such an answer it is quarantined. As
/// requests that only ran on upstreams which fell for other reasons may get there too, there are
/// trials, which all nodes share: a reply ends the quarantine, and after two that end in a crash there
/// are no further ones.
#[derive(Debug, Clone)]
pub struct CrashLedger {
    requests: FastMap<RequestFingerprint, SuspectRequest>,
    answers: RecentAnswers,
    withdrawals: Vec<EvidenceKey>,
    next_claim_at: TimePoint,
    idle_lifetime: Duration,
    keeps_store: bool,
}

impl CrashLedger {
    /// Creates an empty ledger that forgets requests after `idle_lifetime` without activity, at least
    /// [`IDLE_LIFETIME`]. Different times at the nodes keep them from removing the same evidence together.
    pub fn new(idle_lifetime: Duration) -> Self {
        Self {
            requests: FastMap::default(),
            answers: RecentAnswers::default(),
            withdrawals: Vec::new(),
            next_claim_at: TimePoint::ZERO,
            idle_lifetime: idle_lifetime.max(IDLE_LIFETIME),
            keeps_store: true,
        }
    }

    /// Sets whether this node removes what it forgets from the store; of many nodes, few have to.
    pub fn set_keeps_store(&mut self, keeps_store: bool) {
        self.keeps_store = keeps_store;
    }

    /// Returns whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests with evidence, and how many of them are quarantined.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.requests.values().filter(|it| it.is_quarantined());
        (self.requests.len(), quarantined.count())
    }

    /// Returns the number of crashes of which a request is the possible cause.
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> usize {
        self.requests.get(&fingerprint).map_or(0, SuspectRequest::crashes)
    }

    /// Decides on an attempt to send a request.
    pub fn admit(&mut self, now: TimePoint, fingerprint: RequestFingerprint) -> RequestAdmission {
        self.end_old_trial(now, fingerprint);
        let Some(request) = self.requests.get_mut(&fingerprint) else {
            return RequestAdmission::Clear;
        };
        request.last_activity = now;
        if !request.is_quarantined() {
            return RequestAdmission::Suspect;
        }
        let number = request.due_trial(now).filter(|_| self.next_claim_at <= now);
        let trial = number.map(|number| {
            self.next_claim_at = now + TRIAL_CLAIM_PERIOD;
            let known = &request.evidence[0].evidence;
            let source = EvidenceSource::Trial(number);
            Evidence { key: EvidenceKey { fingerprint, source }, ..known.clone() }
        });
        RequestAdmission::Quarantined { trial }
    }

    /// Ends a trial that this node made. Without a reply or a crash it proves nothing, and another one may
    /// follow.
    pub fn end_trial(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        let Some(request) = self.requests.get_mut(&fingerprint) else {
            return;
        };
        let number = u32::try_from(request.crashes()).unwrap_or(u32::MAX);
        let source = EvidenceSource::Trial(number);
        let ended: Vec<_> =
            request.evidence.extract_if(.., |it| it.evidence.key.source == source).collect();
        request.next_trial_at = now + TRIAL_PAUSE;
        self.withdraw(ended);
    }

    /// Ends a trial without a result whose node may have stopped meanwhile.
    fn end_old_trial(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        let is_old = self.requests.get(&fingerprint).is_some_and(|request| {
            let number = u32::try_from(request.crashes()).unwrap_or(u32::MAX);
            request.trial(number).is_some_and(|it| it.learnt_at + TRIAL_LIFETIME <= now)
        });
        if is_old {
            self.end_trial(now, fingerprint);
        }
    }

    /// Records evidence that this node observed.
    pub fn record(&mut self, now: TimePoint, evidence: Evidence) {
        self.insert(now, evidence, false);
    }

    /// Records evidence that this node observed during an attempt which began at `started_at`, while the
    /// request was a suspect.
    ///
    /// Such an attempt makes its calls one at a time, so that it loses no upstream by the cause of the ends
    /// that were known before. Its evidence is dated later than these, and counts on its own.
    pub fn record_contained(
        &mut self,
        now: TimePoint,
        started_at: TimePoint,
        mut evidence: Evidence,
    ) {
        if let Some(request) = self.requests.get(&evidence.key.fingerprint) {
            evidence.observed_ms = evidence.observed_ms.max(request.next_moment_ms(started_at));
        }
        self.insert(now, evidence, false);
    }

    /// Records evidence that another node sent, which the store may lack.
    pub fn on_peer_evidence(&mut self, now: TimePoint, evidence: Evidence) {
        let fingerprint = evidence.key.fingerprint;
        self.insert(now, evidence, false);
        self.mark_urgent(fingerprint);
    }

    /// Makes the evidence against a request, if there is any, due to be passed on to peers at once: there
    /// is a strong sign that it crashes upstreams.
    ///
    /// Answers a caller that repeats its request at another node before the store has the evidence.
    pub fn mark_urgent(&mut self, fingerprint: RequestFingerprint) {
        if let Some(request) = self.requests.get_mut(&fingerprint) {
            request.is_urgent = true;
        }
    }

    /// Returns up to `limit` pieces of evidence against urgent requests that were not passed on to peers,
    /// and takes them for passed on.
    pub fn take_notice(&mut self, limit: usize) -> Vec<Evidence> {
        let urgent = self.requests.values_mut().filter(|it| it.is_urgent);
        let evidence = urgent.flat_map(|it| &mut it.evidence);
        let pending = evidence.filter(|it| !it.is_passed_on && it.evidence.is_crash());
        let notice = pending.take(limit).map(|it| {
            it.is_passed_on = true;
            it.evidence.clone()
        });
        notice.collect()
    }

    /// Records evidence that the store holds.
    pub fn on_stored(&mut self, now: TimePoint, evidence: Evidence) {
        self.insert(now, evidence, true);
    }

    /// Records that the store no longer holds a piece of evidence.
    pub fn on_removed(&mut self, key: &EvidenceKey) {
        self.retain_evidence(key.fingerprint, |it| it.evidence.key != *key || !it.is_shared);
    }

    /// Handles a complete listing of the store; evidence that is not listed counts as removed.
    pub fn on_listing(&mut self, listed: &FastSet<EvidenceKey>) {
        self.requests.retain(|_, request| {
            request.evidence.retain(|it| !it.is_shared || listed.contains(&it.evidence.key));
            !request.evidence.is_empty()
        });
    }

    /// Records that the store was restored from an older copy, which may lack evidence.
    pub fn on_store_restored(&mut self) {
        for request in self.requests.values_mut() {
            request.evidence.iter_mut().for_each(|it| it.is_shared = false);
        }
    }

    /// Records that an upstream of `service` answered a call of the request that was sent at `sent_at`:
    /// the crashes of this service that were known then had other reasons.
    pub fn on_reply(
        &mut self,
        fingerprint: RequestFingerprint,
        service: &ServiceName,
        sent_at: TimePoint,
    ) {
        let Some(request) = self.requests.get_mut(&fingerprint) else {
            return;
        };
        let is_refuted =
            |it: &KnownEvidence| it.evidence.service == *service && it.learnt_at <= sent_at;
        let refuted: Vec<_> = request.evidence.extract_if(.., |it| is_refuted(it)).collect();
        if request.crashes() == 0 {
            let request = self.requests.remove(&fingerprint);
            let trials = request.map(|it| it.evidence).unwrap_or_default();
            self.withdraw(trials);
        }
        self.withdraw(refuted);
    }

    /// Records that a request was answered by `service`, or by all its services if `None`. For some time,
    /// crashes of these are not taken for evidence against it.
    pub fn on_answered(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        service: Option<&ServiceName>,
    ) {
        self.answers.record(now, fingerprint, service);
    }

    /// Drops a piece of evidence that turned out to be wrong.
    pub fn retract(&mut self, key: &EvidenceKey) {
        self.retain_evidence(key.fingerprint, |it| it.evidence.key != *key);
    }

    /// Drops the crashes that this node learnt of at `since` or later and has not shared: it lost its
    /// connections because it was cut from all upstreams.
    pub fn retract_crashes_since(&mut self, since: TimePoint) {
        self.requests.retain(|_, request| {
            request
                .evidence
                .retain(|it| it.is_shared || !it.evidence.is_crash() || it.learnt_at < since);
            !request.evidence.is_empty()
        });
    }

    /// Returns whether the store lacks evidence that has to be shared now.
    pub fn has_due_evidence(&self, now: TimePoint) -> bool {
        self.due_evidence(now).next().is_some()
    }

    /// Returns the evidence that the store lacks and that has to be shared now, with the number of pieces
    /// against the same request.
    fn due_evidence(&self, now: TimePoint) -> impl Iterator<Item = (usize, &KnownEvidence)> {
        let with_counts = self.requests.values().flat_map(|request| {
            let delay = if request.has_repeated_crash() { Duration::ZERO } else { SHARING_DELAY };
            request.evidence.iter().map(move |it| (request.evidence.len(), delay, it))
        });
        let due =
            with_counts.filter(move |(_, delay, it)| !it.is_shared && it.learnt_at + *delay <= now);
        due.map(|(count, _, it)| (count, it))
    }

    /// Returns up to `limit` changes that the store lacks; evidence against requests that crashed most
    /// processes comes first.
    pub fn pending_update(&mut self, now: TimePoint, limit: usize) -> EvidenceUpdate {
        for request in self.requests.values_mut() {
            let is_due = request.renewed_at + RENEWAL_PERIOD <= now;
            if is_due && request.renewed_at < request.last_activity {
                request.evidence.iter_mut().for_each(|it| it.is_shared = false);
            }
        }
        let mut writes: Vec<_> = self.due_evidence(now).collect();
        writes.sort_by_key(|(count, it)| (Reverse(*count), it.learnt_at));
        let writes: Vec<_> = writes
            .into_iter()
            .take(limit)
            .map(|(_, it)| (it.evidence.clone(), it.learnt_at))
            .collect();
        let withdrawals = self.withdrawals.iter().take(limit - writes.len()).cloned().collect();
        EvidenceUpdate { writes, withdrawals }
    }

    /// Records that the store has applied an update.
    pub fn on_update_stored(&mut self, now: TimePoint, update: &EvidenceUpdate) {
        for (evidence, _) in &update.writes {
            let Some(request) = self.requests.get_mut(&evidence.key.fingerprint) else {
                // It was refuted while it was written.
                self.withdrawals.push(evidence.key.clone());
                continue;
            };
            request.renewed_at = now;
            let known = request.evidence.iter_mut().find(|it| it.evidence.key == evidence.key);
            match known {
                Some(known) => known.is_shared = true,
                None => self.withdrawals.push(evidence.key.clone()),
            }
        }
        self.withdrawals.retain(|it| !update.withdrawals.contains(it));
    }

    /// Forgets requests without activity; their evidence is withdrawn from the store.
    pub fn expire(&mut self, now: TimePoint) {
        let lifetime = self.idle_lifetime;
        let is_idle = |it: &SuspectRequest| it.last_activity + lifetime <= now;
        let idle: Vec<_> = self.requests.extract_if(|_, it| is_idle(it)).collect();
        if !self.keeps_store {
            return;
        }
        for (_, request) in idle {
            self.withdraw(request.evidence);
        }
    }

    /// Returns up to `limit` pieces of evidence for other nodes; those against requests that crashed
    /// most processes come first, and newer ones before older ones.
    pub fn summary(&self, limit: usize) -> Vec<Evidence> {
        let mut known: Vec<_> = self
            .requests
            .values()
            .flat_map(|request| request.evidence.iter().map(|it| (request.crashes(), it)))
            .collect();
        known.sort_by_key(|(crashes, it)| (Reverse(*crashes), Reverse(it.learnt_at)));
        known.into_iter().take(limit).map(|(_, it)| it.evidence.clone()).collect()
    }

    fn insert(&mut self, now: TimePoint, evidence: Evidence, is_shared: bool) {
        // All nodes read what the store holds.
        let is_passed_on = is_shared;
        let fingerprint = evidence.key.fingerprint;
        if evidence.is_crash() && self.answers.contains(now, fingerprint, &evidence.service) {
            if is_shared {
                self.withdrawals.push(evidence.key);
                self.withdrawals.truncate(MAX_WITHDRAWALS);
            }
            return;
        }
        if !self.requests.contains_key(&fingerprint) && MAX_REQUESTS <= self.requests.len() {
            self.evict_one();
        }
        let request = self.requests.entry(fingerprint).or_insert_with(|| SuspectRequest::new(now));
        request.last_activity = now;
        if is_shared {
            request.renewed_at = now;
        }
        request.insert(KnownEvidence { evidence, learnt_at: now, is_shared, is_passed_on });
    }

    /// Forgets the request with the fewest crashes, and of these the one that was idle for longest.
    fn evict_one(&mut self) {
        let requests = self.requests.iter();
        let oldest = requests.min_by_key(|(_, it)| (it.crashes(), it.last_activity));
        let Some(fingerprint) = oldest.map(|(it, _)| *it) else {
            return;
        };
        let evicted = self.requests.remove(&fingerprint).filter(|_| self.keeps_store);
        if let Some(request) = evicted {
            self.withdraw(request.evidence);
        }
    }

    /// Queues evidence for its removal from the store.
    fn withdraw(&mut self, evidence: Vec<KnownEvidence>) {
        let shared = evidence.into_iter().filter(|it| it.is_shared);
        self.withdrawals.extend(shared.map(|it| it.evidence.key));
        self.withdrawals.truncate(MAX_WITHDRAWALS);
    }

    fn retain_evidence(
        &mut self,
        fingerprint: RequestFingerprint,
        is_kept: impl Fn(&KnownEvidence) -> bool,
    ) {
        let Some(request) = self.requests.get_mut(&fingerprint) else {
            return;
        };
        request.evidence.retain(is_kept);
        if request.evidence.is_empty() {
            self.requests.remove(&fingerprint);
        }
    }
}
