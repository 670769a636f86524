//! Selection of one of the replicas of a shard.

use std::time::Duration;

use mux_model::{TimePoint, UpstreamId};
use rand::{Rng, RngExt};

use crate::{
    AcquireError, CallKind,
    availability::{Availability, ReplicaScore},
};

/// Ratio up to which two costs count as equal.
const EQUAL_COST_RATIO: f64 = 1.1;

/// Selects one of the candidates for a call by the power of two random choices.
///
/// Of two randomly sampled free candidates, the better one is selected. If the best of all were
/// selected, all nodes would send their calls to the same upstream at once.
#[derive(Debug)]
pub(crate) struct CandidateSelector {
    kind: CallKind,
    samples: [Option<(UpstreamId, ReplicaScore)>; 2],
    free_count: usize,
    probe_due: Option<UpstreamId>,
    earliest_backoff_end: Option<(TimePoint, UpstreamId)>,
    shortest_wait: Option<Duration>,
}

impl CandidateSelector {
    /// Creates a selector for a call of `kind`.
    pub(crate) fn new(kind: CallKind) -> Self {
        Self {
            kind,
            samples: [None; 2],
            free_count: 0,
            probe_due: None,
            earliest_backoff_end: None,
            shortest_wait: None,
        }
    }

    /// Adds a candidate with its availability.
    pub(crate) fn add<R: Rng>(
        &mut self,
        upstream: UpstreamId,
        availability: Availability,
        rng: &mut R,
    ) {
        match availability {
            Availability::Free(score) => self.add_free(upstream, score, rng),
            Availability::Full(wait) | Availability::Paused(wait) => {
                let shortest = self.shortest_wait.map_or(wait, |it| it.min(wait));
                self.shortest_wait = Some(shortest);
            }
            Availability::ProbeDue => {
                self.probe_due = Some(upstream);
                self.add_ejected(TimePoint::ZERO, upstream);
            }
            Availability::Ejected(until) => self.add_ejected(until, upstream),
            Availability::Unavailable => {}
        }
    }

    /// Returns the selected candidate.
    ///
    /// If every candidate is ejected or unavailable, a first call or retry goes to the ejected one
    /// whose backoff ends first, as its probe, so that backoffs alone do not make a shard
    /// unavailable.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no candidate can accept the call now.
    pub(crate) fn choose(&self) -> Result<UpstreamId, AcquireError> {
        if let (CallKind::First, Some(probe)) = (self.kind, self.probe_due) {
            return Ok(probe);
        }
        if let Some(chosen) = self.better_sample() {
            return Ok(chosen);
        }
        if let Some(retry_after) = self.shortest_wait {
            return Err(AcquireError::Saturated { retry_after });
        }
        match (self.kind, self.earliest_backoff_end) {
            (CallKind::First | CallKind::Retry | CallKind::Resend, Some((_, upstream))) => {
                Ok(upstream)
            }
            _ => Err(AcquireError::NoReplica),
        }
    }

    /// Samples each free candidate with the same probability (reservoir sampling).
    fn add_free<R: Rng>(&mut self, upstream: UpstreamId, score: ReplicaScore, rng: &mut R) {
        self.free_count += 1;
        let position = rng.random_range(0..self.free_count);
        let last = self.free_count - 1;
        if let Some(sample) = self.samples.get(position).copied() {
            if let Some(slot) = self.samples.get_mut(last) {
                *slot = sample;
            }
            self.samples[position] = Some((upstream, score));
        }
    }

    fn add_ejected(&mut self, until: TimePoint, upstream: UpstreamId) {
        if self.earliest_backoff_end.is_none_or(|(it, _)| until < it) {
            self.earliest_backoff_end = Some((until, upstream));
        }
    }

    fn better_sample(&self) -> Option<UpstreamId> {
        let (lhs, lhs_score) = self.samples[0]?;
        let Some((rhs, rhs_score)) = self.samples[1] else {
            return Some(lhs);
        };
        Some(if is_better(rhs_score, lhs_score) { rhs } else { lhs })
    }
}

/// Returns whether `lhs` is preferred: by cost, then zone, then the load that upstreams report.
fn is_better(lhs: ReplicaScore, rhs: ReplicaScore) -> bool {
    if lhs.cost * EQUAL_COST_RATIO < rhs.cost {
        return true;
    }
    if rhs.cost * EQUAL_COST_RATIO < lhs.cost {
        return false;
    }
    if lhs.same_zone != rhs.same_zone {
        return lhs.same_zone;
    }
    matches!((lhs.reported_load, rhs.reported_load), (Some(lhs), Some(rhs)) if lhs < rhs)
}
