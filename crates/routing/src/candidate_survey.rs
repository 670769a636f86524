//! Chooses one of the replicas of a shard.

use std::time::Duration;

use mux_model::{TimePoint, UpstreamId};
use rand::{Rng, RngExt};

use crate::{
    AcquireError, CallKind,
    availability::{Availability, ReplicaScore},
};

/// Ratio of costs up to which two replicas count as equal.
const EQUAL_COST_RATIO: f64 = 1.1;

/// What was seen of the candidates for one call.
///
/// Two random free candidates are kept, of which the better one is chosen; a choice among all
/// would send every node to the same upstream at once.
#[derive(Debug)]
pub(crate) struct CandidateSurvey {
    kind: CallKind,
    picks: [Option<(UpstreamId, ReplicaScore)>; 2],
    free_count: usize,
    probe_due: Option<UpstreamId>,
    first_back: Option<(TimePoint, UpstreamId)>,
    shortest_wait: Option<Duration>,
}

impl CandidateSurvey {
    /// Creates a survey for a call of `kind`.
    pub(crate) fn new(kind: CallKind) -> Self {
        Self {
            kind,
            picks: [None; 2],
            free_count: 0,
            probe_due: None,
            first_back: None,
            shortest_wait: None,
        }
    }

    /// Takes in one candidate.
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
                self.add_down(TimePoint::ZERO, upstream);
            }
            Availability::Down(until) => self.add_down(until, upstream),
            Availability::Closed => {}
        }
    }

    /// Returns the chosen candidate.
    ///
    /// An ejected candidate is chosen before the end of its backoff if there is no other, so that
    /// a shard is not lost to a backoff alone.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no candidate can take the call now.
    pub(crate) fn choose(&self) -> Result<UpstreamId, AcquireError> {
        if let (CallKind::First, Some(probe)) = (self.kind, self.probe_due) {
            return Ok(probe);
        }
        if let Some(chosen) = self.better_pick() {
            return Ok(chosen);
        }
        if let Some(retry_after) = self.shortest_wait {
            return Err(AcquireError::Saturated { retry_after });
        }
        match (self.kind, self.first_back) {
            (CallKind::First | CallKind::Retry, Some((_, upstream))) => Ok(upstream),
            _ => Err(AcquireError::NoReplica),
        }
    }

    /// Keeps each free candidate with the same probability.
    fn add_free<R: Rng>(&mut self, upstream: UpstreamId, score: ReplicaScore, rng: &mut R) {
        self.free_count += 1;
        let position = rng.random_range(0..self.free_count);
        let last = self.free_count - 1;
        if let Some(pick) = self.picks.get(position).copied() {
            if let Some(slot) = self.picks.get_mut(last) {
                *slot = pick;
            }
            self.picks[position] = Some((upstream, score));
        }
    }

    fn add_down(&mut self, until: TimePoint, upstream: UpstreamId) {
        if self.first_back.is_none_or(|(it, _)| until < it) {
            self.first_back = Some((until, upstream));
        }
    }

    fn better_pick(&self) -> Option<UpstreamId> {
        let (lhs, lhs_score) = self.picks[0]?;
        let Some((rhs, rhs_score)) = self.picks[1] else {
            return Some(lhs);
        };
        Some(if is_better(rhs_score, lhs_score) { rhs } else { lhs })
    }
}

/// Returns whether `lhs` is to be preferred; what the upstream reports comes last.
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
    matches!((lhs.reported, rhs.reported), (Some(lhs), Some(rhs)) if lhs < rhs)
}
