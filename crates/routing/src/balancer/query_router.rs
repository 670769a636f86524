//! The routing decisions of one query over the lanes of its shards.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use super::{LatencyEstimate, LatencyEstimator, ServiceBalancer};
use crate::{AcquireError, CallKind, CallOutcome, QueryRefusal, ReplicaRouter, UpstreamHint};

/// Part of the time left within which a reply has to be expected; what is expected is a mean.
const PATIENCE_SHARE: f64 = 0.7;

/// Moments and rank that the calls of a query go by.
#[derive(Debug, Clone, Copy)]
pub struct QueryConstraints {
    /// Rank of the route; zero is the most urgent one.
    pub rank: u32,
    /// When the query began.
    pub started: TimePoint,
    /// Replies that are expected later are not asked for until then, as they would be of little
    /// use.
    pub soft_deadline: TimePoint,
    /// Takes the place of `soft_deadline` after it.
    pub deadline: TimePoint,
}

/// Routes the calls of one query, each shard of which is a service with a lane of its own.
#[derive(Debug)]
pub struct QueryRouter {
    balancers: Vec<Arc<ServiceBalancer>>,
    /// The lane of each upstream, by shard.
    places: Vec<(UpstreamId, usize)>,
    map: Arc<SnapshotMap>,
    pace: Arc<Mutex<LatencyEstimator>>,
    current: LatencyEstimate,
    terms: QueryConstraints,
    refusals: Mutex<Vec<(ShardIndex, AcquireError)>>,
}

impl QueryRouter {
    /// Creates a router for `balancers`, one a shard, whose upstreams it pins.
    pub fn new(
        snapshot: SnapshotId,
        balancers: Vec<Arc<ServiceBalancer>>,
        pace: Arc<Mutex<LatencyEstimator>>,
        terms: QueryConstraints,
    ) -> Self {
        let replicas: Vec<_> = balancers.iter().map(|it| it.members()).collect();
        let mut places = Vec::with_capacity(replicas.iter().map(Vec::len).sum());
        for (idx, members) in replicas.iter().enumerate() {
            places.extend(members.iter().map(|it| (*it, idx)));
        }
        let current = lock(&pace).current(terms.started);
        let map = Arc::new(SnapshotMap::new(snapshot, replicas));
        Self { balancers, places, map, pace, current, terms, refusals: Mutex::default() }
    }

    /// Returns the pinned shards and their upstreams.
    pub fn map(&self) -> &Arc<SnapshotMap> {
        &self.map
    }

    /// Returns the lane of a shard.
    ///
    /// # Panics
    ///
    /// Panics if the query has no such shard.
    pub fn balancer(&self, shard: ShardIndex) -> &Arc<ServiceBalancer> {
        &self.balancers[usize::try_from(shard.0).unwrap_or(usize::MAX)]
    }

    /// Returns the pace that the query goes by.
    pub fn latency_estimate(&self) -> LatencyEstimate {
        self.current
    }

    /// Returns the calls for which no upstream was given, by shard, in order.
    pub fn refusals(&self) -> Vec<(ShardIndex, AcquireError)> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn note_refusal(&self, candidates: &[UpstreamId], error: AcquireError) {
        // Slots are asked for again and again while a call waits.
        if matches!(error, AcquireError::Saturated { .. }) {
            return;
        }
        let place = candidates.first().and_then(|it| self.places.iter().find(|(id, _)| id == it));
        if let Some((_, idx)) = place {
            let shard = ShardIndex(u32::try_from(*idx).unwrap_or(u32::MAX));
            let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
            refusals.push((shard, error));
        }
    }

    fn balancer_of(&self, upstream: UpstreamId) -> Option<&ServiceBalancer> {
        let (_, idx) = self.places.iter().find(|(it, _)| *it == upstream)?;
        Some(&self.balancers[*idx])
    }
}

impl ReplicaRouter for QueryRouter {
    fn admit(&self, _now: TimePoint) -> Result<(), QueryRefusal> {
        Ok(())
    }

    fn finish(&self, _now: TimePoint) {}

    fn acquire(
        &self,
        now: TimePoint,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let balancer = candidates.first().and_then(|it| self.balancer_of(*it));
        let QueryConstraints { rank, soft_deadline, deadline, .. } = self.terms;
        let until = if now < soft_deadline { soft_deadline } else { deadline };
        let patience = until.since(now).mul_f64(PATIENCE_SHARE);
        let balancer = balancer.ok_or(AcquireError::NoReplica)?;
        let acquired =
            balancer.acquire_in_order(now, excluded, kind, &self.current, patience, rank);
        if let Err(error) = acquired {
            self.note_refusal(candidates, error);
        }
        if acquired == Err(AcquireError::TooLate) {
            lock(&self.pace).record_late(now);
        }
        acquired
    }

    fn release(&self, now: TimePoint, upstream: UpstreamId, outcome: CallOutcome) {
        let Some(balancer) = self.balancer_of(upstream) else {
            return;
        };
        if let Some(latency) = balancer.record(now, upstream, outcome, &self.current) {
            lock(&self.pace).record(now, latency);
        }
    }

    fn hedge_delay(&self, _now: TimePoint) -> Option<Duration> {
        Some(self.current.hedge_after)
    }

    fn observe(&self, now: TimePoint, upstream: UpstreamId, hint: UpstreamHint) {
        if let (Some(balancer), Some(busy)) = (self.balancer_of(upstream), hint.in_flight) {
            balancer.record_load(now, upstream, busy);
        }
    }
}

fn lock(pace: &Mutex<LatencyEstimator>) -> MutexGuard<'_, LatencyEstimator> {
    pace.lock().unwrap_or_else(PoisonError::into_inner)
}
