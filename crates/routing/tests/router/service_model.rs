//! Discrete-event simulation of the queries of one service, with one first call per shard.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use hdrhistogram::Histogram;
use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, ReplicaRouter, RoutingPolicy, ServiceRouter,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    fixtures::{router, upstreams},
    upstream_model::{Arrival, UpstreamModel, UpstreamSetup},
};

const ROUND_TRIP_US: u64 = 1_000;
const DEADLINE_US: u64 = 1_000_000;
/// Retry delay that the simulated upstreams request when they shed a call.
const SHED_RETRY_AFTER_MS: u64 = 100;

#[derive(Debug)]
pub struct ServiceOutcome {
    pub answered: u64,
    pub failed: u64,
    pub refused: u64,
    /// Answered queries relative to the capacity.
    pub goodput_ratio: f64,
    /// Ratio of hedges and retries to first calls.
    pub extra_load: f64,
    pub p99_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Dispatch { query: usize, shard: usize, is_retry: bool },
    ServiceEnd { call: usize },
    Reply { call: usize },
    Hedge { call: usize },
    Deadline { query: usize },
}

#[derive(Debug)]
struct Query {
    node: usize,
    started: u64,
    unanswered: BTreeSet<usize>,
    calls: Vec<usize>,
    is_over: bool,
}

#[derive(Debug)]
struct Call {
    query: usize,
    shard: usize,
    upstream_idx: usize,
    sent: u64,
    is_open: bool,
}

/// Sizes of a service; each shard is held by `replicas` consecutive upstreams.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSetup {
    pub nodes: usize,
    pub shards: usize,
    pub replicas: usize,
}

pub struct ServiceModel {
    now: u64,
    routers: Vec<ServiceRouter>,
    upstreams: Vec<UpstreamId>,
    setup: ServiceSetup,
    upstream_models: Vec<UpstreamModel>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    queries: Vec<Query>,
    calls: Vec<Call>,
    latencies: Histogram<u64>,
    first_calls: u64,
    failed: u64,
    refused: u64,
}

impl ServiceModel {
    /// Panics if there are more than 255 upstreams.
    pub fn new(
        policy: &RoutingPolicy,
        upstream_setups: &[UpstreamSetup],
        setup: ServiceSetup,
        seed: u64,
    ) -> Self {
        let upstream_count = u8::try_from(upstream_setups.len()).expect("at most 255 upstreams");
        Self {
            now: 0,
            routers: (0..setup.nodes).map(|_| router(policy, upstream_count)).collect(),
            upstreams: upstreams(upstream_count),
            setup,
            upstream_models: upstream_setups.iter().copied().map(UpstreamModel::new).collect(),
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            queries: Vec::new(),
            calls: Vec::new(),
            latencies: Histogram::new(3).expect("in range"),
            first_calls: 0,
            failed: 0,
            refused: 0,
        }
    }

    /// Simulates `seconds` of Poisson arrivals at `rate` queries per second.
    ///
    /// `capacity`, in queries per second, is the reference of the goodput ratio.
    pub fn run(mut self, rate: f64, seconds: u64, capacity: f64) -> ServiceOutcome {
        self.schedule(0, Event::Arrive);
        while let Some(Reverse((time, event))) = self.events.pop() {
            if seconds * 1_000_000 <= time {
                break;
            }
            self.now = time;
            self.handle(event, rate);
        }
        let answered = self.latencies.len();
        ServiceOutcome {
            answered,
            failed: self.failed,
            refused: self.refused,
            goodput_ratio: answered as f64 / (capacity * seconds as f64),
            extra_load: self.calls.len() as f64 / self.first_calls as f64 - 1.0,
            p99_ms: self.latencies.value_at_quantile(0.99) as f64 / 1e3,
        }
    }

    fn candidates(&self, shard: usize) -> Vec<UpstreamId> {
        let count = self.upstreams.len();
        (0..self.setup.replicas).map(|it| self.upstreams[(shard + it) % count]).collect()
    }

    fn handle(&mut self, event: Event, rate: f64) {
        match event {
            Event::Arrive => self.on_arrive(rate),
            Event::Dispatch { query, shard, is_retry } => {
                let kind = if is_retry { CallKind::Retry } else { CallKind::First };
                self.dispatch(query, shard, kind);
            }
            Event::ServiceEnd { call } => self.free_slot(call),
            Event::Reply { call } => self.on_reply(call),
            Event::Hedge { call } => self.on_hedge(call),
            Event::Deadline { query } => self.on_deadline(query),
        }
    }

    fn on_arrive(&mut self, rate: f64) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule((gap * 1e6) as u64, Event::Arrive);
        let node = self.rng.random_range(0..self.setup.nodes);
        if self.routers[node].admit(self.time()).is_err() {
            self.refused += 1;
            return;
        }
        let query = self.queries.len();
        let unanswered = (0..self.setup.shards).collect();
        self.queries.push(Query {
            node,
            started: self.now,
            unanswered,
            calls: Vec::new(),
            is_over: false,
        });
        self.schedule(DEADLINE_US, Event::Deadline { query });
        for shard in 0..self.setup.shards {
            self.dispatch(query, shard, CallKind::First);
        }
    }

    fn dispatch(&mut self, query: usize, shard: usize, kind: CallKind) {
        if self.queries[query].is_over || !self.queries[query].unanswered.contains(&shard) {
            return;
        }
        let calls = self.queries[query].calls.iter().map(|it| &self.calls[*it]);
        let tried = calls.filter(|it| it.shard == shard).map(|it| self.upstreams[it.upstream_idx]);
        let tried: Vec<UpstreamId> = tried.collect();
        let router = &self.routers[self.queries[query].node];
        match router.acquire(self.time(), &self.candidates(shard), &tried, kind) {
            Ok(upstream) => self.send(query, shard, upstream, kind),
            Err(AcquireError::Saturated { retry_after }) if kind != CallKind::Hedge => {
                let wait = u64::try_from(retry_after.as_micros()).expect("in range").max(1_000);
                self.schedule(
                    wait,
                    Event::Dispatch { query, shard, is_retry: kind == CallKind::Retry },
                );
            }
            Err(_) if kind == CallKind::Hedge => {}
            Err(_) => self.end(query, false),
        }
    }

    fn send(&mut self, query: usize, shard: usize, upstream: UpstreamId, kind: CallKind) {
        let upstream_idx = self.upstreams.iter().position(|it| *it == upstream).expect("in range");
        let call = self.calls.len();
        self.calls.push(Call { query, shard, upstream_idx, sent: self.now, is_open: true });
        self.queries[query].calls.push(call);
        self.first_calls += u64::from(kind == CallKind::First);
        match self.upstream_models[upstream_idx].arrive(self.now, call, &mut self.rng) {
            Arrival::Started(time) => self.schedule_reply(call, time),
            Arrival::Queued => {}
            Arrival::Shed => return self.on_shed(call),
        }
        if let (CallKind::First, Some(delay)) =
            (kind, self.routers[self.queries[query].node].hedge_delay(self.time()))
        {
            self.schedule(
                u64::try_from(delay.as_micros()).expect("in range"),
                Event::Hedge { call },
            );
        }
    }

    fn schedule_reply(&mut self, call: usize, time: u64) {
        self.schedule(time, Event::ServiceEnd { call });
        self.schedule(time + ROUND_TRIP_US, Event::Reply { call });
    }

    fn free_slot(&mut self, call: usize) {
        let upstream_model = &mut self.upstream_models[self.calls[call].upstream_idx];
        if let Some((next, time)) = upstream_model.end(call, &mut self.rng) {
            self.schedule_reply(next, time);
        }
    }

    fn on_shed(&mut self, call: usize) {
        let retry_after = Some(Duration::from_millis(SHED_RETRY_AFTER_MS));
        let failure = CallFailure::NotRun { reason: NotRunReason::Shed, retry_after };
        self.close(call, CallOutcome::Failed(failure, Duration::ZERO));
        let (query, shard) = (self.calls[call].query, self.calls[call].shard);
        self.dispatch(query, shard, CallKind::Retry);
    }

    fn on_hedge(&mut self, call: usize) {
        if self.calls[call].is_open {
            self.dispatch(self.calls[call].query, self.calls[call].shard, CallKind::Hedge);
        }
    }

    fn on_reply(&mut self, call: usize) {
        if !self.calls[call].is_open {
            return;
        }
        let latency = Duration::from_micros(self.now - self.calls[call].sent);
        self.close(call, CallOutcome::Replied(latency));
        let (query, shard) = (self.calls[call].query, self.calls[call].shard);
        self.cancel_calls(query, Some(shard));
        self.queries[query].unanswered.remove(&shard);
        if self.queries[query].unanswered.is_empty() {
            self.end(query, true);
        }
    }

    fn on_deadline(&mut self, query: usize) {
        self.end(query, false);
    }

    fn end(&mut self, query: usize, is_answered: bool) {
        if self.queries[query].is_over {
            return;
        }
        self.queries[query].is_over = true;
        self.cancel_calls(query, None);
        self.routers[self.queries[query].node].finish(self.time());
        if is_answered {
            self.latencies.record(self.now - self.queries[query].started).expect("in range");
        } else {
            self.failed += 1;
        }
    }

    fn cancel_calls(&mut self, query: usize, shard: Option<usize>) {
        for call in self.queries[query].calls.clone() {
            let it = &self.calls[call];
            if it.is_open && shard.is_none_or(|shard| shard == it.shard) {
                let elapsed = Duration::from_micros(self.now - it.sent);
                self.free_slot(call);
                self.close(call, CallOutcome::Cancelled(elapsed));
            }
        }
    }

    fn close(&mut self, call: usize, outcome: CallOutcome) {
        self.calls[call].is_open = false;
        let upstream = self.upstreams[self.calls[call].upstream_idx];
        self.routers[self.queries[self.calls[call].query].node].release(
            self.time(),
            upstream,
            outcome,
        );
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    fn time(&self) -> TimePoint {
        TimePoint::from_micros(self.now)
    }
}
