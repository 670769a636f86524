//! Load balancer for the upstreams of one service.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{AvailabilityZone, InstanceId, TimePoint, UpstreamId};
use rand::RngExt;

use super::{
    BalancerReport, LatencyEstimate, PriorityArbiter, RateLimitChange, RateShares, RetryBudget,
    RetryBudgetLimits, UpstreamRecord,
    tracked_upstream::{HealthTier, QuietOutcome, TrackedUpstream},
};
use crate::{AcquireError, CallKind, CallOutcome};

/// Delay before a call retries to reserve a connection when all are in use.
const SATURATED_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Assumed time to set up a connection before the first measurement.
const INITIAL_DIAL_US: f64 = 6_000.0;
/// Weight of a new sample in the moving average of the connection setup time.
const DIAL_WEIGHT: f64 = 0.2;
/// Largest relative random surcharge on a cost, so that nodes with the same view do not all choose
/// the same upstream.
const COST_JITTER: f64 = 0.1;
/// Maximum connections per upstream slot that one node holds; requests on more would only queue.
const CONNECTIONS_PER_SLOT: u32 = 3;
/// Fraction of an upstream's connection limit that is divided among the nodes; the rest is headroom
/// for nodes that have not discovered each other yet.
const SHARED_CONNECTIONS_FRACTION: f64 = 0.9;

/// Factor by which the expected latency may exceed the limit at an upstream with a free slot. A call
/// there delays no other one, so it is rejected only if it is almost certainly useless.
const FREE_SLOT_ALLOWANCE: f64 = 4.0;

#[derive(Debug)]
struct BalancerState {
    retry_limits: RetryBudgetLimits,
    upstreams: Vec<TrackedUpstream>,
    retry_budget: RetryBudget,
    arbiter: PriorityArbiter,
    connection_limit: Option<u32>,
    nodes: u32,
    /// Time within which calls to an upstream that announced its exit have to end.
    drain_limit: Duration,
    rate_shares: RateShares,
    dial_us: f64,
    report: BalancerReport,
}

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
            retry_budget,
            arbiter: PriorityArbiter::default(),
            connection_limit: None,
            nodes: 1,
            drain_limit: Duration::ZERO,
            rate_shares: RateShares::sole_node(),
            dial_us: INITIAL_DIAL_US,
            report: BalancerReport::default(),
        };
        Self { zone, state: Mutex::new(state) }
    }

    /// Replaces the set of upstreams for new calls; calls in flight to removed upstreams continue.
    pub fn set_upstreams(&self, now: TimePoint, records: &[&UpstreamRecord]) {
        let mut state = self.lock();
        for upstream in &mut state.upstreams {
            upstream.is_active = false;
        }
        for record in records {
            let mut known = state.upstreams.iter_mut().filter(|it| it.instance == record.instance);
            let same_address = known.find(|it| it.id == record.upstream);
            if let Some(upstream) = same_address {
                upstream.update_record(record);
                continue;
            }
            let same_zone = record.availability_zone == self.zone;
            let limits = state.retry_limits;
            let is_first_window = state.retry_budget.is_in_first_window(now, &limits);
            let mut upstream = TrackedUpstream::new(now, record, same_zone, is_first_window);
            let previous = state.upstreams.iter().rfind(|it| it.instance == record.instance);
            if let Some(previous) = previous {
                upstream.adopt_announcements(previous);
            }
            upstream.rate_share = state.rate_shares.share(&upstream.availability_zone);
            state.upstreams.push(upstream);
        }
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
    pub fn set_rate_shares(&self, rate_shares: &RateShares) {
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

    /// Returns the instance registered at the address `upstream`.
    pub fn instance(&self, upstream: UpstreamId) -> Option<InstanceId> {
        let state = self.lock();
        let found = state.upstreams.iter().find(|it| it.id == upstream && it.is_active);
        found.map(|it| it.instance.clone())
    }

    /// Returns the maximum number of connections that this node may hold to `upstream`.
    pub fn max_connections(&self, upstream: UpstreamId) -> u32 {
        let state = self.lock();
        let known = state.upstreams.iter().find(|it| it.id == upstream);
        known.map_or(0, |it| state.max_connections(it))
    }

    /// Returns the fraction of this node's share of the retry budget that is spent.
    pub fn spent_fraction(&self, now: TimePoint) -> f64 {
        let state = self.lock();
        state.retry_budget.spent_fraction(now, &state.retry_limits, state.nodes)
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
    ) -> Result<UpstreamId, AcquireError> {
        self.lock().reserve(now, excluded, kind, estimate, max_latency)
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
    ) -> Result<UpstreamId, AcquireError> {
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
    /// until [`Self::end_call`], except for a withdrawn call: the connection that was reserved last is
    /// released.
    ///
    /// For a reply, returns the latency normalized to an upstream of average speed without a queue.
    pub fn record_outcome(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        outcome: CallOutcome,
        estimate: &LatencyEstimate,
    ) -> Option<Duration> {
        self.with_upstream(upstream, |it| {
            if outcome == CallOutcome::Withdrawn {
                it.withdraw_call();
            }
            it.on_outcome(now, outcome, estimate)
        })?
    }

    /// Releases the connection of the call that started at `started`.
    pub fn end_call(&self, upstream: UpstreamId, started: TimePoint) {
        self.with_upstream(upstream, |it| it.end_call(started));
    }

    /// Records a reply that arrived after its query had ended.
    pub fn record_late_reply(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        latency: Duration,
        estimate: &LatencyEstimate,
    ) {
        self.with_upstream(upstream, |it| it.on_reply(now, latency, estimate));
    }

    /// Records the number of running and queued requests that an upstream reported.
    pub fn record_load(&self, now: TimePoint, upstream: UpstreamId, in_flight: u32) {
        self.with_upstream(upstream, |it| it.on_load(now, in_flight));
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

    /// Records the number of connections to an upstream that are open or being set up.
    pub fn record_connections(&self, upstream: UpstreamId, open: u32) {
        self.with_upstream(upstream, |it| it.set_open_connections(open));
    }

    /// Returns whether the upstream may reset a new connection because it accepts no more: it has done
    /// so, or may still hold connections of this node's previous process.
    pub fn may_refuse_connection(&self, upstream: UpstreamId) -> bool {
        self.with_upstream(upstream, |it| it.may_refuse_connection()).unwrap_or_default()
    }

    /// Records the first reply on a new connection, which shows that the upstream accepted it.
    pub fn record_connection_accepted(&self, now: TimePoint, upstream: UpstreamId) {
        self.with_upstream(upstream, |it| it.on_connection_accepted(now));
    }

    /// Records that a new connection was reset before its first reply.
    pub fn record_new_connection_failed(&self, now: TimePoint, upstream: UpstreamId) {
        self.with_upstream(upstream, |it| it.on_connection_refused(now));
    }

    /// Records the setup time of a connection; `None` if the dial failed.
    pub fn record_connect(&self, now: TimePoint, upstream: UpstreamId, elapsed: Option<Duration>) {
        let mut state = self.lock();
        if let Some(elapsed) = elapsed {
            let sample = elapsed.as_secs_f64() * 1e6;
            state.dial_us += (sample - state.dial_us) * DIAL_WEIGHT;
        }
        let Some(known) = state.upstreams.iter_mut().find(|it| it.id == upstream) else {
            return;
        };
        if elapsed.is_none() {
            // An upstream at its connection limit may refuse the dial instead of resetting the
            // connection. `open_connections` still includes the failed dial;
            // `on_connection_refused` subtracts it. Without another connection, the upstream is
            // more likely to be down.
            if known.has_other_connection() {
                known.on_connection_refused(now);
            }
            known.on_dial_failed(now);
        }
    }

    fn with_upstream<T>(
        &self,
        upstream: UpstreamId,
        update: impl FnOnce(&mut TrackedUpstream) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        // If two instances share an address, the newer one is later in the list.
        state.upstreams.iter_mut().rev().find(|it| it.id == upstream).map(update)
    }

    fn with_instance<T>(
        &self,
        instance: &InstanceId,
        update: impl FnOnce(&mut TrackedUpstream) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        // If an instance has changed its address, the current one is later in the list.
        state.upstreams.iter_mut().rev().find(|it| it.instance == *instance).map(update)
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BalancerState {
    fn max_connections(&self, upstream: &TrackedUpstream) -> u32 {
        let useful_connections = upstream.slots() * CONNECTIONS_PER_SLOT;
        let useful_connections = useful_connections.min(upstream.assumed_connection_limit());
        let Some(limit) = self.connection_limit else {
            return useful_connections;
        };
        let node_share = f64::from(limit) * SHARED_CONNECTIONS_FRACTION / f64::from(self.nodes);
        // With a share of zero, this node could not use the upstream at all.
        (node_share as u32).clamp(1, useful_connections)
    }

    fn reserve(
        &mut self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<UpstreamId, AcquireError> {
        let chosen = match self.choose(now, excluded, kind, estimate, max_latency) {
            Ok(it) => it,
            Err(error) => {
                let is_saturated = matches!(error, AcquireError::Saturated { .. });
                self.report.saturated += u64::from(is_saturated);
                return Err(error);
            }
        };
        let limits = self.retry_limits;
        if kind == CallKind::First {
            self.retry_budget.record_first_call(now, &limits);
            self.report.first_calls += 1;
        } else if kind == CallKind::Resend {
            self.report.resent_calls += 1;
        } else if self.retry_budget.try_extra_call(now, &limits, self.nodes) {
            self.report.extra_calls += 1;
        } else {
            self.report.budget_refusals += 1;
            return Err(AcquireError::BudgetExhausted);
        }
        let upstream = &mut self.upstreams[chosen];
        self.report.rate_limited_calls += u64::from(upstream.is_rate_limited());
        upstream.start_call(now, kind);
        Ok(upstream.id)
    }

    fn choose(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<usize, AcquireError> {
        let mut rng = rand::rng();
        let mut best: Option<(HealthTier, f64, usize)> = None;
        let mut shortest_refusal: Option<Duration> = None;
        let mut any_saturated = false;
        let mut any_too_late = false;
        let mut shortest_quiet: Option<Duration> = None;
        let mut shortest_rate_wait: Option<Duration> = None;
        let max_latency_us = max_latency.as_secs_f64() * 1e6;
        for (idx, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.is_active || excluded.contains(&upstream.id) {
                continue;
            }
            if upstream.has_left(now, self.drain_limit) {
                continue;
            }
            if let Some(time_left) = upstream.quiet_time_left(now) {
                shortest_quiet = Some(shortest_quiet.map_or(time_left, |it| it.min(time_left)));
                continue;
            }
            if let Some(wait) = upstream.time_to_grant(now) {
                shortest_rate_wait = Some(shortest_rate_wait.map_or(wait, |it| it.min(wait)));
                continue;
            }
            if upstream.is_in_dial_backoff(now) && !upstream.has_free_connection() {
                // Connections in use will become free; new ones cannot be opened during the
                // backoff.
                any_saturated |= upstream.has_connection();
                continue;
            }
            if let Some(wait) = upstream.refusal_time_left(now) {
                shortest_refusal = Some(shortest_refusal.map_or(wait, |it| it.min(wait)));
                continue;
            }
            if self.max_connections(upstream) <= upstream.in_flight() {
                any_saturated = true;
                continue;
            }
            let limit_us = match upstream.has_free_slot(now) {
                true => max_latency_us * FREE_SLOT_ALLOWANCE,
                false => max_latency_us,
            };
            if limit_us < upstream.expected_latency_us(now, estimate) {
                any_too_late = true;
                continue;
            }
            let health_tier = upstream.health_tier(now, estimate);
            let jitter = 1.0 + COST_JITTER * rng.random::<f64>();
            let cost = upstream.cost(now, estimate, self.dial_us) * jitter;
            let is_better = best.is_none_or(|it| (health_tier, cost) < (it.0, it.1));
            if is_better {
                best = Some((health_tier, cost, idx));
            }
        }
        let saturated = AcquireError::Saturated { retry_after: SATURATED_RETRY_DELAY };
        match best {
            // A hedge to a stalled or suspect upstream would only waste retry budget.
            Some((health_tier, ..))
                if kind == CallKind::Hedge && HealthTier::Healthy < health_tier =>
            {
                Err(saturated)
            }
            Some((.., idx)) => Ok(idx),
            // The call can't be answered in time, and waiting would only delay it further.
            None if any_too_late && kind.is_first_arrival() => Err(AcquireError::ReplyTooLate),
            // One of the connections in use becomes free sooner than a refusing upstream accepts a
            // new one.
            None if any_saturated || any_too_late => Err(saturated),
            None if let Some(retry_after) = shortest_refusal => {
                Err(AcquireError::Saturated { retry_after })
            }
            None => Err(match (shortest_rate_wait, shortest_quiet) {
                (Some(wait), quiet) if quiet.is_none_or(|it| wait <= it) => {
                    AcquireError::RateLimited { retry_after: wait }
                }
                (_, Some(retry_after)) => AcquireError::Quiet { retry_after },
                _ => AcquireError::NoReplica,
            }),
        }
    }
}
