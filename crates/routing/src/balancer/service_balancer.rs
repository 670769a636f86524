//! Load balancer for the upstreams of one service.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{AvailabilityZone, InstanceId, TimePoint, UpstreamId};
use mux_sharing::NodeShares;

use super::{
    BalancerReport, LatencyEstimate, LostReservation, PriorityArbiter, RateLimitChange,
    RetryBudget, RetryBudgetLimits, UpstreamRecord,
    balancer_state::{BalancerState, SATURATED_RETRY_DELAY},
    tracked_upstream::{QuietOutcome, TrackedUpstream},
    zone_return::ZoneStates,
};
use crate::{AcquireError, CallKind, CallOutcome, UpstreamKey, UpstreamSlot};

/// Assumed time to set up a connection before the first measurement.
const INITIAL_DIAL_US: f64 = 6_000.0;
/// Chooses upstreams for the calls to one service and enforces this node's share of its limits.
#[derive(Debug)]
pub struct ServiceBalancer {
    zone: AvailabilityZone,
    state: Mutex<BalancerState>,
}

impl ServiceBalancer {
    /// Creates a balancer without upstreams for a node in `zone` whose process started more than
    /// one retry budget window ago.
    pub fn new(limits: RetryBudgetLimits, zone: AvailabilityZone) -> Self {
        Self::with_retry_budget(limits, zone, RetryBudget::new())
    }

    /// Creates a balancer without upstreams for a node in `zone`, with the given `retry_budget`.
    pub fn with_retry_budget(
        limits: RetryBudgetLimits,
        zone: AvailabilityZone,
        retry_budget: RetryBudget,
    ) -> Self {
        let state = BalancerState {
            retry_limits: limits,
            upstreams: Vec::new(),
            next_entry: 0,
            next_call: 0,
            retry_budget,
            arbiter: PriorityArbiter::default(),
            connection_limit: None,
            nodes: 1,
            zones: ZoneStates::default(),
            warm_up_rule: None,
            drain_limit: Duration::ZERO,
            rate_shares: NodeShares::sole_node(),
            dial_us: INITIAL_DIAL_US,
            report: BalancerReport::default(),
        };
        Self { zone, state: Mutex::new(state) }
    }

    /// Replaces the set of upstreams for new calls; calls in flight to removed upstreams continue.
    pub fn set_upstreams(&self, now: TimePoint, records: &[&UpstreamRecord]) {
        let mut state = self.lock();
        let rule = state.warm_up_rule;
        for upstream in &mut state.upstreams {
            upstream.is_active = false;
        }
        for record in records {
            let mut known = state.upstreams.iter_mut().filter(|it| it.instance == record.instance);
            let same_address = known.find(|it| it.id == record.upstream);
            if let Some(upstream) = same_address {
                upstream.update_record(record);
                upstream.update_warm_up(now, record, rule.as_ref());
                continue;
            }
            let same_zone = record.availability_zone == self.zone;
            let limits = state.retry_limits;
            let is_first_window = state.retry_budget.is_in_first_window(now, &limits);
            let entry = state.next_entry;
            state.next_entry += 1;
            let mut upstream = TrackedUpstream::new(now, entry, record, same_zone, is_first_window);
            let previous = state.upstreams.iter().rfind(|it| it.instance == record.instance);
            if let Some(previous) = previous {
                upstream.adopt_announcements(previous);
            }
            upstream.rate_share = state.rate_shares.share(&upstream.availability_zone);
            upstream.update_warm_up(now, record, rule.as_ref());
            state.upstreams.push(upstream);
        }
        let BalancerState { zones, upstreams, .. } = &mut *state;
        let returned =
            upstreams.iter_mut().filter(|it| zones.has_old_records(&it.availability_zone));
        returned.for_each(|it| it.warm_up.assume_cold(now, rule.as_ref(), it.rate_share));
        state.zones.on_listed();
        state.upstreams.retain(|it| it.is_active || !it.is_idle() || it.must_be_remembered(now));
    }

    /// Sets the number of connections that one upstream accepts from all nodes, and the node count.
    pub fn set_limits(&self, connection_limit: Option<u32>, nodes: u32) {
        let mut state = self.lock();
        state.connection_limit = connection_limit;
        state.nodes = nodes.max(1);
    }

    /// Replaces the limits of the retry budget; what is spent already stays so.
    pub fn set_retry_limits(&self, limits: RetryBudgetLimits) {
        self.lock().retry_limits = limits;
    }

    /// Sets the time within which calls to an upstream that announced its exit have to end.
    pub fn set_drain_limit(&self, drain_limit: Duration) {
        self.lock().drain_limit = drain_limit;
    }

    /// Sets the fractions of upstreams' rate limits that this node may use.
    pub fn set_rate_shares(&self, rate_shares: &NodeShares) {
        let mut state = self.lock();
        for upstream in &mut state.upstreams {
            upstream.rate_share = rate_shares.share(&upstream.availability_zone);
        }
        state.rate_shares = rate_shares.clone();
    }

    /// Returns the upstreams that are eligible for new calls.
    pub fn active_upstreams(&self) -> Vec<UpstreamId> {
        self.lock().upstreams.iter().filter(|it| it.is_active).map(|it| it.id).collect()
    }

    /// Returns whether a connection to one of the upstreams is open and not in use.
    pub fn has_free_connection(&self) -> bool {
        self.lock().upstreams.iter().any(|it| it.is_active && it.has_free_connection())
    }

    /// Forgets what calls have shown of upstreams while this node was cut from all of them.
    ///
    /// Answers the end of such a cut: upstreams that seemed to be down would be avoided for seconds.
    pub fn on_reach_returned(&self) {
        self.lock().upstreams.iter_mut().for_each(TrackedUpstream::forget_failures);
    }

    /// Returns the instance at which `slot` is reserved; `None` if it is not eligible for calls any more.
    pub fn instance(&self, slot: UpstreamSlot) -> Option<InstanceId> {
        let state = self.lock();
        let found = state.upstreams.iter().find(|it| it.entry == slot.entry && it.is_active);
        found.map(|it| it.instance.clone())
    }

    /// Returns the maximum number of connections that this node may hold to an upstream.
    pub fn max_connections(&self, key: &UpstreamKey) -> u32 {
        let state = self.lock();
        let known = state.upstreams.iter().find(|it| it.has_key(key));
        known.map_or(0, |it| state.max_connections(it))
    }

    /// Returns the fraction of this node's share of the retry budget that is spent.
    pub fn spent_fraction(&self, now: TimePoint) -> f64 {
        let state = self.lock();
        state.retry_budget.spent_fraction(now, &state.retry_limits, state.budget_nodes())
    }

    /// Returns the counts since the start of the process.
    pub fn report(&self) -> BalancerReport {
        self.lock().report
    }

    /// Reserves a connection for a call of `kind`.
    ///
    /// Prefers upstreams in the best health tier, then the lowest cost, mainly the expected
    /// latency. Rejects a call whose expected latency exceeds `max_latency`: under overload,
    /// queuing would delay all requests, including those that could still be answered in time.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no upstream can accept the call now.
    pub fn acquire(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<UpstreamSlot, AcquireError> {
        self.lock().reserve(now, excluded, kind, estimate, max_latency)
    }

    /// Returns whether an upstream can accept a first call, at once or after a wait; reserves nothing.
    pub fn has_upstream(
        &self,
        now: TimePoint,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> bool {
        let chosen = self.lock().choose(now, &[], CallKind::First, estimate, max_latency);
        matches!(chosen, Ok(_) | Err(AcquireError::Saturated { .. }))
    }

    /// Reserves a connection like [`Self::acquire`], but yields to waiting calls of more urgent
    /// routes. `rank` is the priority rank of the route; zero is the most urgent.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no upstream can accept the call now, or if it has to yield.
    pub fn acquire_by_rank(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
        rank: u32,
    ) -> Result<UpstreamSlot, AcquireError> {
        let mut state = self.lock();
        // A hedge that finds no connection does not count as waiting, as another call to its shard is
        // already in flight.
        let is_waiting = kind != CallKind::Hedge;
        if state.arbiter.must_yield(now, rank) {
            if is_waiting {
                state.arbiter.on_refused(now, rank);
            }
            return Err(AcquireError::Saturated { retry_after: SATURATED_RETRY_DELAY });
        }
        let acquired = state.reserve(now, excluded, kind, estimate, max_latency);
        match acquired {
            Ok(_) => state.arbiter.on_granted(now, rank),
            Err(AcquireError::Saturated { .. }) if is_waiting => {
                state.arbiter.on_refused(now, rank);
            }
            Err(_) => {}
        }
        acquired
    }

    /// Records the outcome of a call from the query's point of view. The connection stays reserved
    /// until [`Self::end_call`], except for that of a withdrawn call.
    ///
    /// For a reply, returns the latency normalized to an upstream of average speed without a queue.
    pub fn record_outcome(
        &self,
        now: TimePoint,
        slot: UpstreamSlot,
        outcome: CallOutcome,
        estimate: &LatencyEstimate,
    ) -> Option<Duration> {
        self.with_slot(slot, |it| {
            if outcome == CallOutcome::Withdrawn {
                it.withdraw_call(slot.call);
            }
            it.on_outcome(now, outcome, estimate)
        })?
    }

    /// Records that the task of a call has begun; it ends with [`Self::end_call`].
    pub fn begin_call(&self, slot: UpstreamSlot) {
        self.with_slot(slot, |it| it.begin_call(slot.call));
    }

    /// Returns the number of connections that are reserved for calls.
    pub fn reserved_connections(&self) -> u32 {
        self.lock().upstreams.iter().map(TrackedUpstream::in_flight).sum()
    }

    /// Releases the connections that have been reserved for longer than `limit` although their calls have
    /// not begun, and returns them. A call that begins later is made without a reservation.
    pub fn release_lost_reservations(
        &self,
        now: TimePoint,
        limit: Duration,
    ) -> Vec<LostReservation> {
        let mut state = self.lock();
        let max_connections: Vec<_> =
            state.upstreams.iter().map(|it| state.max_connections(it)).collect();
        let mut lost = Vec::new();
        for (upstream, max_connections) in state.upstreams.iter_mut().zip(max_connections) {
            while let Some(age) = upstream.release_lost_reservation(now, limit) {
                lost.push(LostReservation {
                    instance: upstream.instance.clone(),
                    upstream: upstream.id,
                    is_active: upstream.is_active,
                    age,
                    reserved: upstream.in_flight(),
                    max_connections,
                });
            }
        }
        lost
    }

    /// Releases the connection of a call; a second time has no effect.
    pub fn end_call(&self, slot: UpstreamSlot) {
        self.with_slot(slot, |it| it.end_call(slot.call));
    }

    /// Records a reply that arrived after its query had ended.
    pub fn record_late_reply(
        &self,
        now: TimePoint,
        slot: UpstreamSlot,
        latency: Duration,
        estimate: &LatencyEstimate,
    ) {
        self.with_slot(slot, |it| it.on_reply(now, latency, estimate));
    }

    /// Records the number of running and queued requests that an upstream reported.
    pub fn record_load(&self, now: TimePoint, key: &UpstreamKey, in_flight: u32) {
        self.with_key(key, |it| it.on_load(now, in_flight));
    }

    /// Records that a reply of `instance` announced its exit; returns whether this is new.
    ///
    /// Answers a rolling replacement of upstreams whose records lag behind: from the first such reply
    /// on, the others get the calls. If the service has no other upstream, this one is called for a
    /// part of the drain limit.
    pub fn record_leaving(&self, now: TimePoint, instance: &InstanceId) -> bool {
        self.with_instance(instance, |it| it.on_leaving(now)).unwrap_or_default()
    }

    /// Records the request of `instance` to receive no calls from this node for `period`; returns
    /// `None` if the instance is not known.
    ///
    /// Answers upstreams that reject calls while they recover from an overload: without calls, their
    /// queues drain.
    pub fn record_quiet(
        &self,
        now: TimePoint,
        instance: &InstanceId,
        period: Duration,
    ) -> Option<QuietOutcome> {
        self.with_instance(instance, |it| it.on_quiet(now, period))
    }

    /// Records the rate limit that a reply of `instance` to a call sent at `sent_at` states, in requests
    /// per second for all nodes together; returns how it changes what is known.
    pub fn record_rate_limit(
        &self,
        now: TimePoint,
        instance: &InstanceId,
        sent_at: TimePoint,
        rate: Option<f64>,
    ) -> Option<RateLimitChange> {
        self.with_instance(instance, |it| it.on_rate_limit(now, sent_at, rate))?
    }

    /// Returns the number of upstreams that state a rate limit.
    pub fn rate_limited_upstreams(&self) -> usize {
        self.lock().upstreams.iter().filter(|it| it.is_active && it.is_rate_limited()).count()
    }

    fn with_slot<T>(
        &self,
        slot: UpstreamSlot,
        update: impl FnOnce(&mut TrackedUpstream) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        state.upstreams.iter_mut().find(|it| it.entry == slot.entry).map(update)
    }

    pub(super) fn with_key<T>(
        &self,
        key: &UpstreamKey,
        update: impl FnOnce(&mut TrackedUpstream) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        state.upstreams.iter_mut().find(|it| it.has_key(key)).map(update)
    }

    pub(super) fn with_instance<T>(
        &self,
        instance: &InstanceId,
        update: impl FnOnce(&mut TrackedUpstream) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        // If an instance has changed its address, the current one is later in the list.
        state.upstreams.iter_mut().rev().find(|it| it.instance == *instance).map(update)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
