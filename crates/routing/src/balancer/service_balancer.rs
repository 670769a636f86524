//! The upstreams of one service, as this node uses them.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{AvailabilityZone, InstanceId, TimePoint, UpstreamId};
use rand::RngExt;

use super::{
    LatencyEstimate, PriorityArbiter, RetryBudget, RetryBudgetLimits, UpstreamRecord,
    tracked_upstream::Avoidance, tracked_upstream::TrackedUpstream,
};
use crate::{AcquireError, CallKind, CallOutcome};

/// Time after which a call asks again for a connection that is in use.
const BUSY_RETRY: Duration = Duration::from_millis(2);
/// Time to set up a connection before one was measured.
const START_DIAL_US: f64 = 6_000.0;
/// Weight of a new sample in the time to set up a connection.
const DIAL_WEIGHT: f64 = 0.2;
/// Relative spread of costs within which the choice is random, so that nodes with the same view
/// do not all choose the same upstream.
const COST_JITTER: f64 = 0.1;
/// Connections a slot of the upstream that one node holds at most; more would only wait there.
const CONNECTIONS_PER_SLOT: u32 = 3;
/// Part of an upstream's connections that the nodes divide among them; the rest allows for nodes
/// that do not know of one another yet.
const SHARED_CONNECTIONS: f64 = 0.9;

/// Counts of one lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BalancerReport {
    /// First calls.
    pub first_calls: u64,
    /// Calls beyond the first.
    pub extra_calls: u64,
    /// Calls beyond the first that the budget did not allow.
    pub budget_refusals: u64,
    /// Calls that found every usable upstream at its limit.
    pub saturated: u64,
}

#[derive(Debug)]
struct BalancerState {
    upstreams: Vec<TrackedUpstream>,
    window: RetryBudget,
    order: PriorityArbiter,
    connection_limit: Option<u32>,
    nodes: u32,
    dial_us: f64,
    report: BalancerReport,
}

/// Chooses upstreams for the calls to one service and keeps this node's part of its limits.
#[derive(Debug)]
pub struct ServiceBalancer {
    bounds: RetryBudgetLimits,
    zone: AvailabilityZone,
    state: Mutex<BalancerState>,
}

impl ServiceBalancer {
    /// Creates a lane without upstreams for a node in `zone` that has run for long.
    pub fn new(bounds: RetryBudgetLimits, zone: AvailabilityZone) -> Self {
        Self::with_retry_budget(bounds, zone, RetryBudget::new())
    }

    /// Creates a lane without upstreams for a node in `zone`, with what the node knows of its part
    /// of the budget.
    pub fn with_retry_budget(
        bounds: RetryBudgetLimits,
        zone: AvailabilityZone,
        window: RetryBudget,
    ) -> Self {
        let state = BalancerState {
            upstreams: Vec::new(),
            window,
            order: PriorityArbiter::default(),
            connection_limit: None,
            nodes: 1,
            dial_us: START_DIAL_US,
            report: BalancerReport::default(),
        };
        Self { bounds, zone, state: Mutex::new(state) }
    }

    /// Replaces the set of upstreams that new calls go to; the others keep their open calls.
    pub fn set_upstreams(&self, now: TimePoint, records: &[&UpstreamRecord]) {
        let mut state = self.lock();
        for upstream in &mut state.upstreams {
            upstream.member = false;
        }
        for record in records {
            let known = state.upstreams.iter_mut().find(|it| it.instance == record.instance);
            match known {
                Some(upstream) if upstream.id == record.upstream => upstream.renew(now, record),
                _ => {
                    let same_zone = record.availability_zone == self.zone;
                    let is_start = state.window.is_young(now, &self.bounds);
                    let upstream = TrackedUpstream::new(now, record, same_zone, is_start);
                    state.upstreams.push(upstream);
                }
            }
        }
        state.upstreams.retain(|it| it.member || !it.is_idle());
    }

    /// Sets the connections that one upstream accepts from all nodes, and the number of nodes.
    pub fn set_limits(&self, connection_limit: Option<u32>, nodes: u32) {
        let mut state = self.lock();
        state.connection_limit = connection_limit;
        state.nodes = nodes.max(1);
    }

    /// Returns the upstreams that new calls may go to.
    pub fn members(&self) -> Vec<UpstreamId> {
        self.lock().upstreams.iter().filter(|it| it.member).map(|it| it.id).collect()
    }

    /// Returns the instance that is expected at `upstream`.
    pub fn instance(&self, upstream: UpstreamId) -> Option<InstanceId> {
        let state = self.lock();
        let member = state.upstreams.iter().find(|it| it.id == upstream && it.member);
        member.map(|it| it.instance.clone())
    }

    /// Returns the connections that this node may hold to `upstream`.
    pub fn connection_share(&self, upstream: UpstreamId) -> u32 {
        let state = self.lock();
        let known = state.upstreams.iter().find(|it| it.id == upstream);
        known.map_or(0, |it| state.share(it))
    }

    /// Returns the share of this node's part of the budget that is spent.
    pub fn spent_fraction(&self, now: TimePoint) -> f64 {
        let state = self.lock();
        state.window.spent_fraction(now, &self.bounds, state.nodes)
    }

    /// Returns the counts since the start.
    pub fn report(&self) -> BalancerReport {
        self.lock().report
    }

    /// Reserves a connection for a call of `kind`.
    ///
    /// Of the upstreams with a free connection, those without a late call go first, then the one
    /// from which the earliest reply is expected. No call is made whose reply is expected later
    /// than `patience`: where requests come faster than upstreams work, a queue would only make
    /// all of them late, those that still could be in time included.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no upstream can take the call now.
    pub fn acquire(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        pace: &LatencyEstimate,
        patience: Duration,
    ) -> Result<UpstreamId, AcquireError> {
        self.lock().reserve(now, &self.bounds, excluded, kind, pace, patience)
    }

    /// Reserves a connection as [`Self::acquire`] does, but lets calls of more urgent routes go
    /// first; `rank` is that of the route, zero the most urgent one.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError`] if no upstream can take the call now, or others go first.
    pub fn acquire_in_order(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        pace: &LatencyEstimate,
        patience: Duration,
        rank: u32,
    ) -> Result<UpstreamId, AcquireError> {
        let mut state = self.lock();
        if state.order.is_to_yield(now, rank) {
            state.order.on_refused(now, rank);
            return Err(AcquireError::Saturated { retry_after: BUSY_RETRY });
        }
        let acquired = state.reserve(now, &self.bounds, excluded, kind, pace, patience);
        match acquired {
            Ok(_) => state.order.on_granted(now, rank),
            // A hedge that waits has a call of its own under way.
            Err(AcquireError::Saturated { .. }) if kind != CallKind::Hedge => {
                state.order.on_refused(now, rank);
            }
            Err(_) => {}
        }
        acquired
    }

    /// Records how a call ended for its query; the connection stays reserved until
    /// [`Self::end_call`], but for a call that was never sent.
    ///
    /// Returns the latency at average speed if it says something about the pace of the route.
    pub fn record(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        outcome: CallOutcome,
        pace: &LatencyEstimate,
    ) -> Option<Duration> {
        self.with(upstream, |it| {
            if outcome == CallOutcome::Withdrawn {
                it.end_call(now);
            }
            it.on_outcome(now, outcome, pace)
        })?
    }

    /// Frees the connection of the call that was reserved at `started`.
    pub fn end_call(&self, upstream: UpstreamId, started: TimePoint) {
        self.with(upstream, |it| it.end_call(started));
    }

    /// Records a reply that came after its query had ended.
    pub fn record_late_reply(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        latency: Duration,
        pace: &LatencyEstimate,
    ) {
        self.with(upstream, |it| it.on_reply(now, latency, pace));
    }

    /// Records the requests that an upstream says it has, running and waiting.
    pub fn record_load(&self, now: TimePoint, upstream: UpstreamId, busy: u32) {
        self.with(upstream, |it| it.on_load(now, busy));
    }

    /// Records the number of open connections to an upstream.
    pub fn record_connections(&self, upstream: UpstreamId, open: u32) {
        self.with(upstream, |it| it.set_open_connections(open));
    }

    /// Records that a new connection carried its first reply.
    pub fn record_connection_accepted(&self, now: TimePoint, upstream: UpstreamId) {
        self.with(upstream, |it| it.on_connection_accepted(now));
    }

    /// Records that a new connection was reset before it carried a reply.
    pub fn record_connection_refused(&self, now: TimePoint, upstream: UpstreamId) {
        self.with(upstream, |it| it.on_connection_refused(now));
    }

    /// Records the time that setting up a connection took; `None` if it failed.
    pub fn record_dial(&self, now: TimePoint, upstream: UpstreamId, elapsed: Option<Duration>) {
        let mut state = self.lock();
        if let Some(elapsed) = elapsed {
            let sample = elapsed.as_secs_f64() * 1e6;
            state.dial_us += (sample - state.dial_us) * DIAL_WEIGHT;
        }
        let Some(known) = state.upstreams.iter_mut().find(|it| it.id == upstream) else {
            return;
        };
        if elapsed.is_none() {
            if known.has_connection() {
                known.on_connection_refused(now);
            }
            known.on_dial_failed(now);
        }
    }

    fn with<T>(
        &self,
        upstream: UpstreamId,
        act: impl FnOnce(&mut TrackedUpstream) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        // The newest of two instances at one address stands last.
        state.upstreams.iter_mut().rev().find(|it| it.id == upstream).map(act)
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BalancerState {
    fn share(&self, upstream: &TrackedUpstream) -> u32 {
        let most = upstream.slots() * CONNECTIONS_PER_SLOT;
        let most = most.min(upstream.accepted_connections());
        let Some(limit) = self.connection_limit else {
            return most;
        };
        let part = f64::from(limit) * SHARED_CONNECTIONS / f64::from(self.nodes);
        // A share below one would leave the upstream unused by this node.
        (part as u32).clamp(1, most)
    }

    fn reserve(
        &mut self,
        now: TimePoint,
        bounds: &RetryBudgetLimits,
        excluded: &[UpstreamId],
        kind: CallKind,
        pace: &LatencyEstimate,
        patience: Duration,
    ) -> Result<UpstreamId, AcquireError> {
        let chosen = match self.choose(now, excluded, kind, pace, patience) {
            Ok(it) => it,
            Err(error) => {
                let is_saturated = matches!(error, AcquireError::Saturated { .. });
                self.report.saturated += u64::from(is_saturated);
                return Err(error);
            }
        };
        if kind == CallKind::First {
            self.window.record_first(now, bounds);
            self.report.first_calls += 1;
        } else if self.window.try_extra(now, bounds, self.nodes) {
            self.report.extra_calls += 1;
        } else {
            self.report.budget_refusals += 1;
            return Err(AcquireError::BudgetEmpty);
        }
        let upstream = &mut self.upstreams[chosen];
        upstream.start_call(now);
        Ok(upstream.id)
    }

    fn choose(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        pace: &LatencyEstimate,
        patience: Duration,
    ) -> Result<usize, AcquireError> {
        let mut rng = rand::rng();
        let mut best: Option<(Avoidance, f64, usize)> = None;
        let mut is_busy = false;
        let mut is_late = false;
        let patience_us = patience.as_secs_f64() * 1e6;
        for (idx, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.member || excluded.contains(&upstream.id) {
                continue;
            }
            if upstream.is_down(now) && !upstream.has_free_connection() {
                // Connections in use come back; new ones are not to be had.
                is_busy |= upstream.has_connection();
                continue;
            }
            if self.share(upstream) <= upstream.busy() {
                is_busy = true;
                continue;
            }
            if patience_us < upstream.expected_us(now, pace) {
                is_late = true;
                continue;
            }
            let avoidance = upstream.avoidance(now, pace);
            let jitter = 1.0 + COST_JITTER * rng.random::<f64>();
            let cost = upstream.cost(now, pace, self.dial_us) * jitter;
            let is_better = best.is_none_or(|it| (avoidance, cost) < (it.0, it.1));
            if is_better {
                best = Some((avoidance, cost, idx));
            }
        }
        let wait = AcquireError::Saturated { retry_after: BUSY_RETRY };
        match best {
            // A hedge to another late upstream would spend the budget for nothing.
            Some((avoidance, ..)) if kind == CallKind::Hedge && Avoidance::Usable < avoidance => {
                Err(wait)
            }
            Some((.., idx)) => Ok(idx),
            // A first call that waits would be later still.
            None if is_late && kind == CallKind::First => Err(AcquireError::TooLate),
            None if is_busy || is_late => Err(wait),
            None => Err(AcquireError::NoReplica),
        }
    }
}
