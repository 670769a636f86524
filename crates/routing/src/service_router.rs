//! Routing of one service: replica choice, limits, admission and hedging.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{FastMap, TimePoint, UpstreamId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, QueryRefusal, ReplicaRouter, RoutingPolicy,
    SlotShare, UpstreamHint, UpstreamPlace,
};

const SATURATED_RETRY: Duration = Duration::from_millis(2);
const REFUSED_RETRY: Duration = Duration::from_millis(100);

/// Chooses replicas for one service and keeps its limits.
#[derive(Debug)]
pub struct ServiceRouter {
    state: Mutex<RouterState>,
}

#[derive(Debug)]
struct RouterState {
    policy: RoutingPolicy,
    upstreams: FastMap<UpstreamId, UpstreamState>,
    queries: u32,
    rng: SmallRng,
}

#[derive(Debug, Default)]
struct UpstreamState {
    in_flight: u32,
    draining: bool,
    member: bool,
}

impl ServiceRouter {
    /// Creates a router for `upstreams`; `seed` starts its random choices.
    pub fn new(policy: RoutingPolicy, upstreams: &[UpstreamPlace], seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let state =
            RouterState { policy: policy.clone(), upstreams: FastMap::default(), queries: 0, rng };
        let router = Self { state: Mutex::new(state) };
        router.update(policy, upstreams);
        router
    }

    /// Replaces the policy and the set of upstreams; upstreams that stay keep their state.
    pub fn update(&self, policy: RoutingPolicy, upstreams: &[UpstreamPlace]) {
        let mut state = self.lock();
        state.policy = policy;
        state.upstreams.retain(|_, it| {
            it.member = false;
            0 < it.in_flight
        });
        for place in upstreams {
            state.upstreams.entry(place.upstream).or_default().member = true;
        }
    }

    fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouterState {
    fn ceiling(&self) -> u32 {
        let nodes = self.policy.sharing_nodes;
        self.policy.slots_per_upstream.map_or(u32::MAX, |it| SlotShare::new(it, nodes).ceiling)
    }

    fn choose(&mut self, usable: &[UpstreamId]) -> Option<UpstreamId> {
        let (&first, rest) = usable.split_first()?;
        if rest.is_empty() {
            return Some(first);
        }
        let idx = self.rng.random_range(0..usable.len());
        let step = self.rng.random_range(1..usable.len());
        let lhs = usable[idx];
        let rhs = usable[(idx + step) % usable.len()];
        let in_flight =
            |it: &UpstreamId| self.upstreams.get(it).map_or(u32::MAX, |it| it.in_flight);
        Some(if in_flight(&rhs) < in_flight(&lhs) { rhs } else { lhs })
    }
}

impl ReplicaRouter for ServiceRouter {
    fn admit(&self, _now: TimePoint) -> Result<(), QueryRefusal> {
        let mut state = self.lock();
        if state.policy.queries_in_flight <= state.queries {
            return Err(QueryRefusal { retry_after: REFUSED_RETRY });
        }
        state.queries += 1;
        Ok(())
    }

    fn finish(&self, _now: TimePoint) {
        let mut state = self.lock();
        state.queries = state.queries.saturating_sub(1);
    }

    fn acquire(
        &self,
        _now: TimePoint,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        _kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let mut state = self.lock();
        let ceiling = state.ceiling();
        let up: Vec<UpstreamId> = candidates
            .iter()
            .filter(|it| !excluded.contains(it))
            .filter(|it| state.upstreams.get(it).is_some_and(|it| it.member && !it.draining))
            .copied()
            .collect();
        if up.is_empty() {
            return Err(AcquireError::NoReplica);
        }
        let free: Vec<UpstreamId> =
            up.into_iter().filter(|it| state.upstreams[it].in_flight < ceiling).collect();
        let chosen =
            state.choose(&free).ok_or(AcquireError::Saturated { retry_after: SATURATED_RETRY })?;
        if let Some(upstream) = state.upstreams.get_mut(&chosen) {
            upstream.in_flight += 1;
        }
        Ok(chosen)
    }

    fn release(&self, _now: TimePoint, upstream: UpstreamId, _outcome: CallOutcome) {
        let mut state = self.lock();
        if let Some(upstream) = state.upstreams.get_mut(&upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    fn hedge_delay(&self, _now: TimePoint) -> Option<Duration> {
        match self.lock().policy.hedge {
            HedgePolicy::Fixed(delay) => Some(delay),
            HedgePolicy::Off | HedgePolicy::Quantile(_) => None,
        }
    }

    fn observe(&self, _now: TimePoint, upstream: UpstreamId, hint: UpstreamHint) {
        if let Some(upstream) = self.lock().upstreams.get_mut(&upstream) {
            upstream.draining = hint.draining;
        }
    }
}
