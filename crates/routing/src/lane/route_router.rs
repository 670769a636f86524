//! The routing decisions of one query over the lanes of its shards.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use super::{CallPace, RoutePace, ServiceLane};
use crate::{AcquireError, CallKind, CallOutcome, QueryRefusal, ReplicaRouter, UpstreamHint};

/// Part of the time left within which a reply has to be expected; what is expected is a mean.
const PATIENCE_SHARE: f64 = 0.7;

/// Moments and rank that the calls of a query go by.
#[derive(Debug, Clone, Copy)]
pub struct RouteTerms {
    /// Rank of the route; zero is the most urgent one.
    pub rank: u32,
    /// When the query began.
    pub started: TimePoint,
    /// Replies that are expected later are not asked for until then, as they would be of little
    /// use.
    pub due: TimePoint,
    /// Takes the place of `due` after it.
    pub deadline: TimePoint,
}

/// Routes the calls of one query, each shard of which is a service with a lane of its own.
#[derive(Debug)]
pub struct RouteRouter {
    lanes: Vec<Arc<ServiceLane>>,
    /// The lane of each upstream, by shard.
    places: Vec<(UpstreamId, usize)>,
    map: Arc<SnapshotMap>,
    pace: Arc<Mutex<RoutePace>>,
    current: CallPace,
    terms: RouteTerms,
    refusals: Mutex<Vec<(ShardIndex, AcquireError)>>,
}

impl RouteRouter {
    /// Creates a router for `lanes`, one a shard, whose upstreams it pins.
    pub fn new(
        snapshot: SnapshotId,
        lanes: Vec<Arc<ServiceLane>>,
        pace: Arc<Mutex<RoutePace>>,
        terms: RouteTerms,
    ) -> Self {
        let replicas: Vec<_> = lanes.iter().map(|it| it.members()).collect();
        let mut places = Vec::with_capacity(replicas.iter().map(Vec::len).sum());
        for (idx, members) in replicas.iter().enumerate() {
            places.extend(members.iter().map(|it| (*it, idx)));
        }
        let current = lock(&pace).current(terms.started);
        let map = Arc::new(SnapshotMap::new(snapshot, replicas));
        Self { lanes, places, map, pace, current, terms, refusals: Mutex::default() }
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
    pub fn lane(&self, shard: ShardIndex) -> &Arc<ServiceLane> {
        &self.lanes[usize::try_from(shard.0).unwrap_or(usize::MAX)]
    }

    /// Returns the pace that the query goes by.
    pub fn pace(&self) -> CallPace {
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

    fn lane_of(&self, upstream: UpstreamId) -> Option<&ServiceLane> {
        let (_, idx) = self.places.iter().find(|(it, _)| *it == upstream)?;
        Some(&self.lanes[*idx])
    }
}

impl ReplicaRouter for RouteRouter {
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
        let lane = candidates.first().and_then(|it| self.lane_of(*it));
        let RouteTerms { rank, due, deadline, .. } = self.terms;
        let until = if now < due { due } else { deadline };
        let patience = until.since(now).mul_f64(PATIENCE_SHARE);
        let lane = lane.ok_or(AcquireError::NoReplica)?;
        let acquired = lane.acquire_in_order(now, excluded, kind, &self.current, patience, rank);
        if let Err(error) = acquired {
            self.note_refusal(candidates, error);
        }
        if acquired == Err(AcquireError::ReplyTooLate) {
            lock(&self.pace).record_late(now);
        }
        acquired
    }

    fn release(&self, now: TimePoint, upstream: UpstreamId, outcome: CallOutcome) {
        let Some(lane) = self.lane_of(upstream) else {
            return;
        };
        if let Some(latency) = lane.record(now, upstream, outcome, &self.current) {
            lock(&self.pace).record(now, latency);
        }
    }

    fn hedge_delay(&self, _now: TimePoint) -> Option<Duration> {
        Some(self.current.hedge_after)
    }

    fn observe(&self, now: TimePoint, upstream: UpstreamId, hint: UpstreamHint) {
        if let (Some(lane), Some(busy)) = (self.lane_of(upstream), hint.in_flight) {
            lane.record_load(now, upstream, busy);
        }
    }
}

fn lock(pace: &Mutex<RoutePace>) -> MutexGuard<'_, RoutePace> {
    pace.lock().unwrap_or_else(PoisonError::into_inner)
}
