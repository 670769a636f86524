//! A request with evidence against it.

use std::time::Duration;

use mux_model::{InstanceId, TimePoint};

use crate::{Evidence, EvidenceSource};

/// Number of crashes for which a request is quarantined.
pub const CRASH_LIMIT: usize = 3;
/// Time from the first end of a process within which further ends belong to the same moment: upstreams
/// that share a rack or a power supply fall together, and a frequent request may run on all of them.
const MOMENT_MS: u64 = 250;
/// Maximum number of crashes that the ends of the first moment count as, so that it alone is never enough
/// for a quarantine. Those of each later moment count as one.
const MAX_CRASHES_OF_FIRST_MOMENT: usize = CRASH_LIMIT - 1;
/// Maximum number of pieces of evidence of one request; those of the same crash get half of it.
const MAX_EVIDENCE_PER_REQUEST: usize = 12;
/// Time from the latest evidence to the next trial, by the number of trials that ended in a crash. After
/// the last one, a request gets no further ones. Each trial of a request that is the cause costs upstreams,
/// which have to be back long before the next one.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(60)];

#[derive(Debug, Clone)]
pub(crate) struct KnownEvidence {
    pub(crate) evidence: Evidence,
    pub(crate) learnt_at: TimePoint,
    /// Whether the store is known to hold the evidence.
    pub(crate) is_shared: bool,
    /// Whether peers need not be told of the evidence: they were, or the store holds it.
    pub(crate) is_passed_on: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct SuspectRequest {
    pub(crate) evidence: Vec<KnownEvidence>,
    pub(crate) last_activity: TimePoint,
    /// When evidence was last seen to be written to the store.
    pub(crate) renewed_at: TimePoint,
    /// When this node may claim a trial again.
    pub(crate) next_trial_at: TimePoint,
    /// Whether evidence is passed on to peers at once.
    pub(crate) is_urgent: bool,
}

impl SuspectRequest {
    /// Creates a request without evidence.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            evidence: Vec::new(),
            last_activity: now,
            renewed_at: now,
            next_trial_at: now,
            is_urgent: false,
        }
    }

    /// Adds evidence that is not known yet, within the limits.
    pub(crate) fn insert(&mut self, new: KnownEvidence) {
        let known = self.evidence.iter_mut().find(|it| it.evidence.key == new.evidence.key);
        if let Some(known) = known {
            known.is_shared |= new.is_shared;
            known.is_passed_on |= new.is_passed_on;
            return;
        }
        let (count, crashes) = (self.evidence.len(), self.crashes());
        let is_trial = !new.evidence.is_crash();
        self.evidence.push(new);
        let needs_room = is_trial || crashes < self.crashes();
        let limit = MAX_EVIDENCE_PER_REQUEST / if needs_room { 1 } else { 2 };
        if limit <= count {
            self.evidence.pop();
        }
    }

    /// Returns the number of crashes: one for each moment at which processes ended, and one more if several
    /// upstreams ended at the first.
    pub(crate) fn crashes(&self) -> usize {
        let ends = self.ends_by_moment();
        let first = ends.first().map_or(0, |it| *it.min(&MAX_CRASHES_OF_FIRST_MOMENT));
        first + ends.len().saturating_sub(1)
    }

    /// Returns whether processes ended at more than one moment.
    pub(crate) fn has_repeated_crash(&self) -> bool {
        1 < self.ends_by_moment().len()
    }

    /// Returns the earliest time, in milliseconds of Unix time, at which an end belongs to a later moment
    /// than those that were known at `known_at`.
    pub(crate) fn next_moment_ms(&self, known_at: TimePoint) -> u64 {
        let known = self.evidence.iter().filter(|it| it.learnt_at <= known_at);
        let ends = known.filter_map(|it| it.evidence.ended_at());
        ends.map(|(time, _)| time.saturating_add(MOMENT_MS)).max().unwrap_or_default()
    }

    /// Returns the number of upstreams whose processes ended at each moment.
    fn ends_by_moment(&self) -> Vec<usize> {
        let mut ends: Vec<(u64, &InstanceId)> =
            self.evidence.iter().filter_map(|it| it.evidence.ended_at()).collect();
        ends.sort_unstable();
        let mut moments: Vec<(u64, Vec<&InstanceId>)> = Vec::new();
        for (time, instance) in ends {
            match moments.last_mut() {
                Some((start, instances)) if time < start.saturating_add(MOMENT_MS) => {
                    if !instances.contains(&instance) {
                        instances.push(instance);
                    }
                }
                _ => moments.push((time, vec![instance])),
            }
        }
        moments.into_iter().map(|(_, instances)| instances.len()).collect()
    }

    pub(crate) fn trial(&self, number: u32) -> Option<&KnownEvidence> {
        let source = EvidenceSource::Trial(number);
        self.evidence.iter().find(|it| it.evidence.key.source == source)
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        CRASH_LIMIT <= self.crashes()
    }

    /// Returns the number of the trial that is due.
    pub(crate) fn due_trial(&self, now: TimePoint) -> Option<u32> {
        let crashes = self.crashes();
        let delay = TRIAL_DELAYS.get(crashes.checked_sub(CRASH_LIMIT)?)?;
        let latest = self.evidence.iter().map(|it| it.learnt_at).max()?;
        let number = u32::try_from(crashes).unwrap_or(u32::MAX);
        let is_due = latest + *delay <= now && self.next_trial_at <= now;
        (is_due && self.trial(number).is_none()).then_some(number)
    }
}
