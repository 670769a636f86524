//! Routing of one service: replica selection, limits, admission and hedging.

use std::{
    sync::{Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use mux_model::{CallFailure, ShardIndex, TimePoint, UpstreamId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    AcquireError, CallKind, CallOutcome, CallReservation, QueryRefusal, ReplicaRouter,
    RouterReport, RoutingPolicy, UpstreamHint, UpstreamLocation, UpstreamSlot,
    availability::Availability, call_accounting::CallAccounting,
    candidate_selector::CandidateSelector, hedge_delay_estimator::HedgeDelayEstimator,
    query_admission::QueryAdmission, router_settings::RouterSettings,
    upstream_table::UpstreamTable,
};

/// Maximum number of selections for one call; a concurrent call may take the selected slot first.
const MAX_SELECTION_ATTEMPTS: u32 = 3;
/// Suggested retry delay after concurrent calls took the selected slot each time.
const CONTENDED_RETRY_DELAY_MS: u64 = 1;

/// Selects replicas for the calls of one service and enforces its limits.
///
/// Each kind of state has its own lock, which is held only for short computations. To avoid
/// deadlock, `admission` is locked before any other lock that is held at the same time.
#[derive(Debug)]
pub struct ServiceRouter {
    settings: RwLock<RouterSettings>,
    upstreams: UpstreamTable,
    admission: Mutex<QueryAdmission>,
    accounting: Mutex<CallAccounting>,
    hedge_delay_estimator: Mutex<HedgeDelayEstimator>,
    rng: Mutex<SmallRng>,
}

impl ServiceRouter {
    /// Creates a router for `locations`; `seed` initializes its random number generator.
    pub fn new(policy: RoutingPolicy, locations: &[UpstreamLocation], seed: u64) -> Self {
        let upstreams = UpstreamTable::new();
        upstreams.update(locations, &policy.availability_zone);
        Self {
            settings: RwLock::new(RouterSettings::new(&policy)),
            upstreams,
            admission: Mutex::new(QueryAdmission::new()),
            accounting: Mutex::new(CallAccounting::new()),
            hedge_delay_estimator: Mutex::new(HedgeDelayEstimator::new()),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Replaces the policy and the set of upstreams.
    ///
    /// Upstreams that remain keep their state. Removed upstreams get no new calls, and their state
    /// is dropped when their last call in flight has ended.
    pub fn update(&self, policy: RoutingPolicy, locations: &[UpstreamLocation]) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) =
            RouterSettings::new(&policy);
        self.upstreams.update(locations, &policy.availability_zone);
    }

    /// Returns the current state of the router.
    pub fn report(&self, now: TimePoint) -> RouterReport {
        let settings = self.settings();
        let upstreams = self.upstreams.report(now, settings.share);
        let admission = *lock(&self.admission);
        let hedge_delay = self.hedge_delay(now);
        let mut accounting = lock(&self.accounting);
        RouterReport {
            upstreams,
            queries_in_flight: admission.in_flight(),
            query_limit: admission.limit(&settings),
            budget_left: settings.budget_ratio.map(|_| accounting.tokens()),
            hedge_delay,
            overloaded: accounting.is_overloaded(now),
            counts: accounting.counts(),
        }
    }

    /// Reserves a slot at one of `candidates` that is not in `excluded`. The service lists each address
    /// once, so it identifies the reservation.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no candidate can accept the call now.
    pub fn acquire(
        &self,
        now: TimePoint,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let settings = self.settings();
        if !lock(&self.accounting).try_charge(now, kind, &settings) {
            return Err(AcquireError::BudgetExhausted);
        }
        let acquired = self.reserve(now, &settings, candidates, excluded, kind);
        if let (CallKind::First, Err(AcquireError::Saturated { retry_after })) = (kind, acquired) {
            self.record_wait(now, &settings, candidates, retry_after);
        }
        lock(&self.accounting).record_acquire(now, kind, acquired, &settings);
        acquired
    }

    /// Releases the slot and records the outcome of the call.
    pub fn release(&self, now: TimePoint, upstream: UpstreamId, outcome: CallOutcome) {
        let settings = self.settings();
        let jitter = self.jitter();
        self.upstreams.with(upstream, |it| it.release(now, settings.share, outcome, jitter));
        self.upstreams.remove_if_unused(upstream);
        self.record_latency(now, outcome);
        lock(&self.accounting).record_outcome(now, outcome);
    }

    /// Records the status that an upstream reported.
    pub fn observe(&self, now: TimePoint, upstream: UpstreamId, hint: UpstreamHint) {
        self.upstreams.with(upstream, |it| it.observe(now, hint));
    }

    fn settings(&self) -> RouterSettings {
        *self.settings.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn reserve(
        &self,
        now: TimePoint,
        settings: &RouterSettings,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let mut rng = self.fork_rng();
        for _ in 0..MAX_SELECTION_ATTEMPTS {
            let mut selector = CandidateSelector::new(kind);
            for &upstream in candidates.iter().filter(|it| !excluded.contains(it)) {
                selector.add(upstream, self.availability(now, settings, upstream), &mut rng);
            }
            let chosen = selector.choose()?;
            if self.try_reserve(now, settings, chosen) {
                return Ok(chosen);
            }
        }
        Err(AcquireError::Saturated {
            retry_after: Duration::from_millis(CONTENDED_RETRY_DELAY_MS),
        })
    }

    fn availability(
        &self,
        now: TimePoint,
        settings: &RouterSettings,
        upstream: UpstreamId,
    ) -> Availability {
        let availability = self.upstreams.with(upstream, |it| it.availability(now, settings.share));
        availability.unwrap_or(Availability::Unavailable)
    }

    fn try_reserve(&self, now: TimePoint, settings: &RouterSettings, upstream: UpstreamId) -> bool {
        let reserved = self.upstreams.with(upstream, |state| {
            let is_reservable = state.availability(now, settings.share).is_reservable();
            if is_reservable {
                state.reserve(now);
            }
            is_reservable
        });
        reserved.unwrap_or(false)
    }

    /// Distributes the wait of a first call evenly over the candidates at their limit.
    ///
    /// Paused candidates are left out, as they serve none of the waiting calls. If no candidate is
    /// at its limit, the wait is distributed over all of them.
    fn record_wait(
        &self,
        now: TimePoint,
        settings: &RouterSettings,
        candidates: &[UpstreamId],
        wait: Duration,
    ) {
        let is_full = |it: &&UpstreamId| {
            matches!(self.availability(now, settings, **it), Availability::Full(_))
        };
        let full: Vec<UpstreamId> = candidates.iter().filter(is_full).copied().collect();
        let busy_candidates = if full.is_empty() { candidates } else { &full };
        let wait_share = wait / u32::try_from(busy_candidates.len()).unwrap_or(u32::MAX).max(1);
        for &upstream in busy_candidates {
            self.upstreams.with(upstream, |it| it.record_wait(wait_share));
        }
    }

    fn record_latency(&self, now: TimePoint, outcome: CallOutcome) {
        let mut hedge_delay_estimator = lock(&self.hedge_delay_estimator);
        match outcome {
            CallOutcome::Replied(latency) => hedge_delay_estimator.record(now, latency),
            CallOutcome::Cancelled(elapsed)
            | CallOutcome::Failed(CallFailure::Silent | CallFailure::DeadlinePassed, elapsed) => {
                hedge_delay_estimator.record_lower_bound(now, elapsed);
            }
            CallOutcome::Failed(..) | CallOutcome::Withdrawn => {}
        }
    }

    fn jitter(&self) -> f64 {
        lock(&self.rng).random()
    }

    fn fork_rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(lock(&self.rng).random())
    }
}

impl ReplicaRouter for ServiceRouter {
    fn admit(&self, now: TimePoint) -> Result<(), QueryRefusal> {
        let settings = self.settings();
        let jitter = self.jitter();
        let mut admission = lock(&self.admission);
        if admission.should_adapt(now) {
            let wait = self.upstreams.take_slot_wait_summary(now, settings.share);
            let slots_are_scarce = admission.adapt(now, wait, &settings);
            lock(&self.accounting).set_slots_scarce(slots_are_scarce);
        }
        if admission.try_admit(now, &settings) {
            return Ok(());
        }
        let retry_after = admission.retry_delay(now, jitter);
        drop(admission);
        lock(&self.accounting).record_refused_query();
        Err(QueryRefusal { retry_after })
    }

    fn finish(&self, now: TimePoint) {
        lock(&self.admission).finish(now);
    }

    fn acquire(
        &self,
        now: TimePoint,
        shard: ShardIndex,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<CallReservation, AcquireError> {
        let acquired = self.acquire(now, candidates, excluded, kind);
        acquired.map(|it| CallReservation { shard, slot: UpstreamSlot::at_address(it) })
    }

    fn has_replica(&self, now: TimePoint, _shard: ShardIndex, candidates: &[UpstreamId]) -> bool {
        let settings = self.settings();
        candidates
            .iter()
            .any(|it| !matches!(self.availability(now, &settings, *it), Availability::Unavailable))
    }

    fn release(&self, now: TimePoint, reservation: CallReservation, outcome: CallOutcome) {
        self.release(now, reservation.upstream(), outcome);
    }

    fn hedge_delay(&self, now: TimePoint) -> Option<Duration> {
        let settings = self.settings();
        lock(&self.hedge_delay_estimator).delay(now, settings.hedge, settings.budget_ratio)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
