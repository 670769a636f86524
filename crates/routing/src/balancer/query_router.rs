//! Routing decisions of one query across the balancers of its shards.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use super::{LatencyEstimate, LatencyEstimator, ServiceBalancer};
use crate::{AcquireError, CallKind, CallOutcome, CallReservation, QueryRefusal, ReplicaRouter};

/// Maximum expected latency of a call as a fraction of the time left; the rest is headroom, because
/// the actual latency varies around the estimate.
const MAX_LATENCY_SHARE: f64 = 0.7;

/// Priority and time limits of the calls of a query.
#[derive(Debug, Clone, Copy)]
pub struct QueryConstraints {
    /// Priority rank of the route; zero is the most urgent.
    pub rank: u32,
    /// Start time of the query.
    pub started: TimePoint,
    /// Until this time, calls are rejected if their reply is expected after it, as late replies are
    /// of little use.
    pub soft_deadline: TimePoint,
    /// Limit for the expected reply time once `soft_deadline` has passed.
    pub deadline: TimePoint,
}

/// Routes the calls of one query; each shard is a service with its own balancer.
///
/// The balancer of a shard chooses among all its upstreams, whatever the candidates are. `release` records the outcome; [`ServiceBalancer::end_call`] frees the connection,
/// unless the call was withdrawn.
#[derive(Debug)]
pub struct QueryRouter {
    balancers: Vec<Arc<ServiceBalancer>>,
    map: Arc<SnapshotMap>,
    latency_estimator: Arc<Mutex<LatencyEstimator>>,
    latency_estimate: LatencyEstimate,
    constraints: QueryConstraints,
    refusals: Mutex<Vec<(ShardIndex, AcquireError)>>,
}

impl QueryRouter {
    /// Creates a router for `balancers`, one per shard, with the upstreams that are active now.
    pub fn new(
        snapshot: SnapshotId,
        balancers: Vec<Arc<ServiceBalancer>>,
        latency_estimator: Arc<Mutex<LatencyEstimator>>,
        constraints: QueryConstraints,
    ) -> Self {
        let replicas: Vec<_> = balancers.iter().map(|it| it.active_upstreams()).collect();
        let without_upstream = replicas.iter().enumerate().filter(|(_, it)| it.is_empty());
        let refusals =
            without_upstream.map(|(idx, _)| (shard_index(idx), AcquireError::NoReplica)).collect();
        let latency_estimate = lock(&latency_estimator).current(constraints.started);
        let map = Arc::new(SnapshotMap::new(snapshot, replicas));
        Self {
            balancers,
            map,
            latency_estimator,
            latency_estimate,
            constraints,
            refusals: Mutex::new(refusals),
        }
    }

    /// Returns the shards and the upstreams that were active when the router was created.
    pub fn map(&self) -> &Arc<SnapshotMap> {
        &self.map
    }

    /// Returns the balancer of a shard.
    ///
    /// # Panics
    ///
    /// Panics if the query does not have the shard.
    pub fn balancer(&self, shard: ShardIndex) -> &Arc<ServiceBalancer> {
        &self.balancers[usize::try_from(shard.0).unwrap_or(usize::MAX)]
    }

    /// Returns the latency estimates taken at the start of the query.
    pub fn latency_estimate(&self) -> LatencyEstimate {
        self.latency_estimate
    }

    /// Returns the shards and errors of the calls that got no upstream, in chronological order,
    /// except those that were told to wait. The shards without an upstream come first.
    pub fn refusals(&self) -> Vec<(ShardIndex, AcquireError)> {
        lock(&self.refusals).clone()
    }

    /// Returns the longest latency of a call that is sent now and still useful.
    fn max_latency(&self, now: TimePoint) -> Duration {
        let QueryConstraints { soft_deadline, deadline, .. } = self.constraints;
        let reply_by = if now < soft_deadline { soft_deadline } else { deadline };
        reply_by.since(now).mul_f64(MAX_LATENCY_SHARE)
    }

    fn record_refusal(&self, shard: ShardIndex, error: AcquireError) {
        // A waiting call retries every few milliseconds; recording each attempt would make the list
        // too long.
        if !matches!(error, AcquireError::Saturated { .. }) {
            lock(&self.refusals).push((shard, error));
        }
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
        shard: ShardIndex,
        _candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<CallReservation, AcquireError> {
        let acquired = self.balancer(shard).acquire_by_rank(
            now,
            excluded,
            kind,
            &self.latency_estimate,
            self.max_latency(now),
            self.constraints.rank,
        );
        if let Err(error) = acquired {
            self.record_refusal(shard, error);
        }
        if acquired == Err(AcquireError::ReplyTooLate) {
            lock(&self.latency_estimator).record_too_late(now);
        }
        acquired.map(|slot| CallReservation { shard, slot })
    }

    fn has_replica(&self, now: TimePoint, shard: ShardIndex, _candidates: &[UpstreamId]) -> bool {
        let max_latency = self.max_latency(now);
        self.balancer(shard).has_upstream(now, &self.latency_estimate, max_latency)
    }

    fn release(&self, now: TimePoint, reservation: CallReservation, outcome: CallOutcome) {
        let CallReservation { shard, slot } = reservation;
        let balancer = self.balancer(shard);
        let latency = balancer.record_outcome(now, slot, outcome, &self.latency_estimate);
        if let Some(latency) = latency {
            lock(&self.latency_estimator).record_latency(now, latency);
        }
    }

    fn hedge_delay(&self, _now: TimePoint) -> Option<Duration> {
        Some(self.latency_estimate.hedge_delay)
    }
}

fn shard_index(idx: usize) -> ShardIndex {
    ShardIndex(u32::try_from(idx).unwrap_or(u32::MAX))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
