//! A balancer whose calls and connections tests name by address.

use std::{
    collections::VecDeque,
    ops::Deref,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{AvailabilityZone, InstanceId, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, UpstreamKey, UpstreamSlot,
    balancer::{LatencyEstimate, RetryBudget, RetryBudgetLimits, ServiceBalancer},
};

/// Returns the key of the instance with the number of `upstream`.
pub(crate) fn key_of(upstream: UpstreamId) -> UpstreamKey {
    let number = upstream.0.port() - 9_000;
    UpstreamKey { instance: InstanceId::from(format!("i-{number}")), upstream }
}

/// Number of calls above which those that have ended are forgotten.
const REMEMBERED_CALLS: usize = 512;

#[derive(Debug)]
struct TestCall {
    started: TimePoint,
    slot: UpstreamSlot,
    has_ended: bool,
}

/// Remembers the slots of calls, so that tests name a call by its upstream and start.
#[derive(Debug)]
pub(crate) struct TestBalancer {
    balancer: Arc<ServiceBalancer>,
    calls: Mutex<VecDeque<TestCall>>,
}

impl Deref for TestBalancer {
    type Target = ServiceBalancer;

    fn deref(&self) -> &ServiceBalancer {
        &self.balancer
    }
}

impl TestBalancer {
    pub(crate) fn new(limits: RetryBudgetLimits, zone: AvailabilityZone) -> Self {
        Self { balancer: Arc::new(ServiceBalancer::new(limits, zone)), calls: Mutex::default() }
    }

    pub(crate) fn with_retry_budget(
        limits: RetryBudgetLimits,
        zone: AvailabilityZone,
        retry_budget: RetryBudget,
    ) -> Self {
        let balancer = ServiceBalancer::with_retry_budget(limits, zone, retry_budget);
        Self { balancer: Arc::new(balancer), calls: Mutex::default() }
    }

    /// Returns the balancer itself, for a router.
    pub(crate) fn shared(&self) -> Arc<ServiceBalancer> {
        Arc::clone(&self.balancer)
    }

    pub(crate) fn is_in_closed_zone(&self, upstream: UpstreamId) -> bool {
        self.balancer.is_in_closed_zone(&key_of(upstream))
    }

    pub(crate) fn acquire(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<UpstreamId, AcquireError> {
        self.remember(now, self.balancer.acquire(now, excluded, kind, estimate, max_latency))
    }

    pub(crate) fn acquire_by_rank(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
        rank: u32,
    ) -> Result<UpstreamId, AcquireError> {
        let balancer = &self.balancer;
        let acquired = balancer.acquire_by_rank(now, excluded, kind, estimate, max_latency, rank);
        self.remember(now, acquired)
    }

    /// Returns the slot of the latest call that began at `started` and has not ended.
    pub(crate) fn slot(&self, upstream: UpstreamId, started: TimePoint) -> Option<UpstreamSlot> {
        let calls = self.lock();
        let is_named = |it: &&TestCall| it.started == started && it.slot.upstream == upstream;
        calls.iter().rfind(|it| is_named(it) && !it.has_ended).map(|it| it.slot)
    }

    pub(crate) fn begin_call(&self, upstream: UpstreamId, started: TimePoint) {
        self.slot(upstream, started).into_iter().for_each(|it| self.balancer.begin_call(it));
    }

    pub(crate) fn end_call(&self, upstream: UpstreamId, started: TimePoint) {
        if let Some(slot) = self.slot(upstream, started) {
            self.balancer.end_call(slot);
            let mut calls = self.lock();
            calls.iter_mut().filter(|it| it.slot == slot).for_each(|it| it.has_ended = true);
        }
    }

    /// Records the outcome of the latest call to `upstream`.
    pub(crate) fn record_outcome(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        outcome: CallOutcome,
        estimate: &LatencyEstimate,
    ) -> Option<Duration> {
        let latest = self.latest_slot(upstream);
        self.balancer.record_outcome(now, latest, outcome, estimate)
    }

    pub(crate) fn record_late_reply(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        latency: Duration,
        estimate: &LatencyEstimate,
    ) {
        self.balancer.record_late_reply(now, self.latest_slot(upstream), latency, estimate);
    }

    pub(crate) fn instance(&self, upstream: UpstreamId) -> Option<InstanceId> {
        self.balancer.instance(self.latest_slot(upstream))
    }

    pub(crate) fn max_connections(&self, upstream: UpstreamId) -> u32 {
        self.balancer.max_connections(&key_of(upstream))
    }

    pub(crate) fn record_connections(&self, upstream: UpstreamId, open: u32) {
        self.balancer.record_connections(&key_of(upstream), open);
    }

    pub(crate) fn record_load(&self, now: TimePoint, upstream: UpstreamId, in_flight: u32) {
        self.balancer.record_load(now, &key_of(upstream), in_flight);
    }

    pub(crate) fn record_connection_accepted(&self, now: TimePoint, upstream: UpstreamId) {
        self.balancer.record_connection_accepted(now, &key_of(upstream));
    }

    pub(crate) fn record_new_connection_failed(&self, now: TimePoint, upstream: UpstreamId) {
        self.balancer.record_new_connection_failed(now, &key_of(upstream));
    }

    pub(crate) fn record_connect(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        elapsed: Option<Duration>,
    ) {
        self.balancer.record_connect(now, &key_of(upstream), elapsed);
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<TestCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn latest_slot(&self, upstream: UpstreamId) -> UpstreamSlot {
        let calls = self.lock();
        let latest = calls.iter().rfind(|it| it.slot.upstream == upstream);
        latest.expect("a call to the upstream was made").slot
    }

    fn remember(
        &self,
        now: TimePoint,
        acquired: Result<UpstreamSlot, AcquireError>,
    ) -> Result<UpstreamId, AcquireError> {
        let slot = acquired?;
        let mut calls = self.lock();
        calls.push_back(TestCall { started: now, slot, has_ended: false });
        if REMEMBERED_CALLS < calls.len() && calls[0].has_ended {
            calls.pop_front();
        }
        Ok(slot.upstream)
    }
}
