//! Routing of one service: replica choice, limits, admission and hedging.

use std::{
    sync::{Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use mux_model::{CallFailure, TimePoint, UpstreamId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    AcquireError, CallKind, CallOutcome, QueryRefusal, ReplicaRouter, RouterReport, RoutingPolicy,
    UpstreamHint, UpstreamLocation, availability::Availability, call_accounts::CallAccounts,
    candidate_survey::CandidateSurvey, hedge_timer::HedgeTimer, query_admission::QueryAdmission,
    router_settings::RouterSettings, upstream_table::UpstreamTable,
};

/// Surveys of the candidates for one call, as another call may take the chosen slot in between.
const MAX_SURVEYS: u32 = 3;
/// Time to ask again after every chosen slot was taken in between.
const CONTENDED_RETRY_MS: u64 = 1;

/// Chooses replicas for the calls of one service and keeps its limits.
///
/// Each kind of state has its own lock, and no lock is held while another thread is waited for.
/// Where two are held, the one of the admission is taken first.
#[derive(Debug)]
pub struct ServiceRouter {
    settings: RwLock<RouterSettings>,
    upstreams: UpstreamTable,
    admission: Mutex<QueryAdmission>,
    accounts: Mutex<CallAccounts>,
    hedges: Mutex<HedgeTimer>,
    rng: Mutex<SmallRng>,
}

impl ServiceRouter {
    /// Creates a router for `places`; `seed` starts its random choices.
    pub fn new(policy: RoutingPolicy, places: &[UpstreamLocation], seed: u64) -> Self {
        let upstreams = UpstreamTable::new();
        upstreams.update(places, &policy.availability_zone);
        Self {
            settings: RwLock::new(RouterSettings::new(&policy)),
            upstreams,
            admission: Mutex::new(QueryAdmission::new()),
            accounts: Mutex::new(CallAccounts::new()),
            hedges: Mutex::new(HedgeTimer::new()),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Replaces the policy and the set of upstreams.
    ///
    /// Upstreams that stay keep their state. Those that are left out get no new calls, and are
    /// forgotten when the last call in flight there has ended.
    pub fn update(&self, policy: RoutingPolicy, places: &[UpstreamLocation]) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) =
            RouterSettings::new(&policy);
        self.upstreams.update(places, &policy.availability_zone);
    }

    /// Describes what the router is doing.
    pub fn report(&self, now: TimePoint) -> RouterReport {
        let settings = self.settings();
        let upstreams = self.upstreams.report(now, settings.share);
        let admission = *lock(&self.admission);
        let hedge_delay = self.hedge_delay(now);
        let mut accounts = lock(&self.accounts);
        RouterReport {
            upstreams,
            queries_in_flight: admission.in_flight(),
            query_limit: admission.limit(&settings),
            budget_left: settings.budget.map(|_| accounts.tokens()),
            hedge_delay,
            overloaded: accounts.is_overloaded(now),
            counts: accounts.counts(),
        }
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
        for _ in 0..MAX_SURVEYS {
            let mut survey = CandidateSurvey::new(kind);
            for &upstream in candidates.iter().filter(|it| !excluded.contains(it)) {
                survey.add(upstream, self.availability(now, settings, upstream), &mut rng);
            }
            let chosen = survey.choose()?;
            if self.try_reserve(now, settings, chosen) {
                return Ok(chosen);
            }
        }
        Err(AcquireError::Saturated { retry_after: Duration::from_millis(CONTENDED_RETRY_MS) })
    }

    fn availability(
        &self,
        now: TimePoint,
        settings: &RouterSettings,
        upstream: UpstreamId,
    ) -> Availability {
        let availability = self.upstreams.with(upstream, |it| it.availability(now, settings.share));
        availability.unwrap_or(Availability::Closed)
    }

    fn try_reserve(&self, now: TimePoint, settings: &RouterSettings, upstream: UpstreamId) -> bool {
        let reserved = self.upstreams.with(upstream, |state| {
            let is_free = state.availability(now, settings.share).is_free();
            if is_free {
                state.reserve(now);
            }
            is_free
        });
        reserved.unwrap_or(false)
    }

    /// Divides the wait of a first call between the candidates that it waits for.
    ///
    /// Those that are paused serve none of the waiting calls, unless all are.
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
        let waited_for = if full.is_empty() { candidates } else { &full };
        let part = wait / u32::try_from(waited_for.len()).unwrap_or(u32::MAX).max(1);
        for &upstream in waited_for {
            self.upstreams.with(upstream, |it| it.record_wait(part));
        }
    }

    fn record_latency(&self, now: TimePoint, outcome: CallOutcome) {
        let mut hedges = lock(&self.hedges);
        match outcome {
            CallOutcome::Replied(latency) => hedges.record(now, latency),
            CallOutcome::Cancelled(elapsed)
            | CallOutcome::Failed(CallFailure::Silent | CallFailure::DeadlinePassed, elapsed) => {
                hedges.record_at_least(now, elapsed);
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
        if admission.is_due(now) {
            let wait = self.upstreams.take_slot_wait(now, settings.share);
            let is_saturated = admission.adapt(now, wait, &settings);
            lock(&self.accounts).set_saturated(is_saturated);
        }
        if admission.try_admit(now, &settings) {
            return Ok(());
        }
        let retry_after = admission.time_to_return(now, jitter);
        drop(admission);
        lock(&self.accounts).record_refused_query();
        Err(QueryRefusal { retry_after })
    }

    fn finish(&self, now: TimePoint) {
        lock(&self.admission).finish(now);
    }

    fn acquire(
        &self,
        now: TimePoint,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        kind: CallKind,
    ) -> Result<UpstreamId, AcquireError> {
        let settings = self.settings();
        if !lock(&self.accounts).try_pay(now, kind, &settings) {
            return Err(AcquireError::BudgetExhausted);
        }
        let acquired = self.reserve(now, &settings, candidates, excluded, kind);
        if let (CallKind::First, Err(AcquireError::Saturated { retry_after })) = (kind, acquired) {
            self.record_wait(now, &settings, candidates, retry_after);
        }
        lock(&self.accounts).record_acquire(now, kind, acquired, &settings);
        acquired
    }

    fn release(&self, now: TimePoint, upstream: UpstreamId, outcome: CallOutcome) {
        let settings = self.settings();
        let jitter = self.jitter();
        self.upstreams.with(upstream, |it| it.release(now, settings.share, outcome, jitter));
        self.upstreams.remove_if_over(upstream);
        self.record_latency(now, outcome);
        lock(&self.accounts).record_outcome(now, outcome);
    }

    fn hedge_delay(&self, now: TimePoint) -> Option<Duration> {
        let settings = self.settings();
        lock(&self.hedges).delay(now, settings.hedge, settings.budget)
    }

    fn observe(&self, now: TimePoint, upstream: UpstreamId, hint: UpstreamHint) {
        self.upstreams.with(upstream, |it| it.observe(now, hint));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
