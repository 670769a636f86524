//! Nodes that share evidence, upstreams, and callers that repeat queries which crash them; without a network.

use std::{collections::BTreeMap, mem, num::NonZeroU32, sync::Mutex, time::Duration};

use mux_model::{CallFailure, CallId, ServiceName, ShardIndex, TimePoint, UpstreamId};
use mux_quarantine::{
    CRASH_LIMIT, CrashLedger, Evidence, EvidenceKey, EvidenceSource, EvidenceUpdate, IDLE_LIFETIME,
    RequestAdmission, RequestFingerprint, UpstreamProcess,
};
use mux_query::{FanOut, FanOutAction};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, CallReservation, QueryRefusal, ReplicaRouter, UpstreamSlot,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::fixtures::{PlanScript, upstream_number};

pub const SHARDS: u32 = 10;
const REPLICAS: u32 = 3;
const NODES: usize = 7;
/// Pause of a caller between two attempts.
const PAUSE_MS: (u64, u64) = (20, 400);
const DOWNTIME: Duration = Duration::from_millis(3_500);
const HEDGE_DELAY: Duration = Duration::from_millis(37);
/// Time from the end of a process until its node has probed it.
const PROBE: Duration = Duration::from_millis(2);
/// Time from new evidence until its node writes it, and from the write until all nodes know it.
const SHARING_DELAY: Duration = Duration::from_millis(320);
const STORE_DELAY: Duration = Duration::from_millis(100);
/// Time from a strong sign until all nodes know it.
const NOTICE_DELAY: Duration = Duration::from_millis(15);
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time from the third end under a query after which only three attempts may reach upstreams.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Number of queries that crash upstreams at the same time.
pub const QUERIES: usize = 3;

enum Event {
    Attempt {
        query: usize,
        node: usize,
    },
    /// A call has run to its end, if its upstream's process has not ended before.
    Run {
        upstream: UpstreamId,
        process: u64,
    },
    Lost {
        attempt: usize,
        call: CallId,
        upstream: UpstreamId,
        process: u64,
    },
    Wake {
        attempt: usize,
    },
    Notice {
        evidence: Vec<Evidence>,
    },
    Share {
        node: usize,
    },
    Shared {
        node: usize,
        update: EvidenceUpdate,
    },
}

struct Attempt {
    query: usize,
    node: usize,
    started_at: TimePoint,
    is_suspect: bool,
    fan_out: FanOut,
    shards: BTreeMap<CallId, ShardIndex>,
    is_trial: bool,
}

/// Routes calls to upstreams that are up.
struct UpRouter {
    down_until: Mutex<Vec<TimePoint>>,
}

impl ReplicaRouter for UpRouter {
    fn admit(&self, _: TimePoint) -> std::result::Result<(), QueryRefusal> {
        Ok(())
    }

    fn finish(&self, _: TimePoint) {}

    fn acquire(
        &self,
        now: TimePoint,
        shard: ShardIndex,
        candidates: &[UpstreamId],
        excluded: &[UpstreamId],
        _: CallKind,
    ) -> std::result::Result<CallReservation, AcquireError> {
        let down_until = self.down_until.lock().unwrap();
        let is_up = |it: &UpstreamId| down_until[upstream_number(it) as usize] <= now;
        let usable = candidates.iter().find(|it| !excluded.contains(it) && is_up(it));
        let upstream = *usable.ok_or(AcquireError::NoReplica)?;
        Ok(CallReservation { shard, slot: UpstreamSlot::at_address(upstream) })
    }

    fn has_replica(&self, now: TimePoint, _: ShardIndex, candidates: &[UpstreamId]) -> bool {
        let down_until = self.down_until.lock().unwrap();
        candidates.iter().any(|it| down_until[upstream_number(it) as usize] <= now)
    }

    fn release(&self, _: TimePoint, _: CallReservation, _: CallOutcome) {}

    fn hedge_delay(&self, _: TimePoint) -> Option<Duration> {
        Some(HEDGE_DELAY)
    }
}

/// Nodes that share evidence through a store, upstreams, and one caller of each crashing query.
pub struct Fleet {
    now: TimePoint,
    rng: SmallRng,
    events: BTreeMap<(TimePoint, usize), Event>,
    event_count: usize,
    ledgers: Vec<CrashLedger>,
    attempts: Vec<Attempt>,
    router: UpRouter,
    /// Number of ended processes of each upstream.
    processes: Vec<u64>,
    running: Vec<(usize, CallId, UpstreamId, u64)>,
    call_ms: (u64, u64),
    pub pause_ms: (u64, u64),
    pub queries: usize,
    pub run_time: Duration,
    max_attempts: usize,
    /// When upstreams ended under each query.
    ends_of_queries: Vec<Vec<TimePoint>>,
}

impl Fleet {
    pub fn new(seed: u64, call_ms: (u64, u64), max_attempts: usize) -> Self {
        let count = (SHARDS * REPLICAS) as usize;
        Self {
            now: TimePoint::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            ledgers: vec![CrashLedger::new(IDLE_LIFETIME); NODES],
            attempts: Vec::new(),
            router: UpRouter { down_until: Mutex::new(vec![TimePoint::ZERO; count]) },
            processes: vec![0; count],
            running: Vec::new(),
            call_ms,
            pause_ms: PAUSE_MS,
            queries: 1,
            run_time: RUN_TIME,
            max_attempts,
            ends_of_queries: vec![Vec::new(); QUERIES],
        }
    }

    /// Returns how many attempts besides trials reached upstreams later than [`SETTLING_TIME`] after the
    /// third end under `query`.
    pub fn late_attempts(&self, query: usize) -> usize {
        let Some(third_end) = self.ends_of_queries[query].get(2) else {
            return 0;
        };
        let attempts = self.attempts.iter().filter(|it| it.query == query && !it.is_trial);
        let late = attempts.filter(|it| *third_end + SETTLING_TIME < it.started_at);
        late.filter(|it| !it.shards.is_empty()).count()
    }

    pub fn ends(&self) -> usize {
        self.processes.iter().sum::<u64>() as usize
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn pause(&mut self, range: (u64, u64)) -> Duration {
        Duration::from_millis(self.rng.random_range(range.0..=range.1))
    }

    pub fn run(&mut self) {
        for query in 0..self.queries {
            self.schedule(Duration::ZERO, Event::Attempt { query, node: query });
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if self.run_time <= at.since(TimePoint::ZERO) {
                return;
            }
            match event {
                Event::Attempt { query, node } => self.begin_attempt(query, node),
                Event::Run { upstream, process } => self.end_process(upstream, process),
                Event::Lost { attempt, call, upstream, process } => {
                    self.lose(attempt, call, upstream, process);
                }
                Event::Wake { attempt } => {
                    self.step(attempt, |it, now, router, actions| it.on_wake(now, router, actions));
                }
                Event::Notice { evidence } => {
                    for ledger in &mut self.ledgers {
                        evidence.iter().for_each(|it| ledger.on_peer_evidence(at, it.clone()));
                    }
                }
                Event::Share { node } => {
                    let update = self.ledgers[node].pending_update(at, 32);
                    self.schedule(STORE_DELAY, Event::Shared { node, update });
                }
                Event::Shared { node, update } => {
                    self.ledgers[node].on_update_stored(at, &update);
                    for (evidence, _) in &update.writes {
                        self.ledgers.iter_mut().for_each(|it| it.on_stored(at, evidence.clone()));
                    }
                }
            }
        }
    }

    fn begin_attempt(&mut self, query: usize, node: usize) {
        let admission = self.ledgers[node].admit(self.now, fingerprint(query));
        let (is_suspect, is_trial) = match admission {
            RequestAdmission::Clear => (false, false),
            RequestAdmission::Suspect => (true, false),
            RequestAdmission::Quarantined { trial: Some(trial) } => {
                let now = self.now;
                self.ledgers.iter_mut().for_each(|it| it.on_stored(now, trial.clone()));
                (true, true)
            }
            RequestAdmission::Quarantined { trial: None } => return self.repeat(query),
        };
        let replicas = |shard: u32| (0..REPLICAS).map(|it| shard * REPLICAS + it).collect();
        let millis = self.now.as_micros() / 1_000;
        let plan = PlanScript {
            shards: (0..SHARDS).map(replicas).collect(),
            coverage_target: 0.7,
            coverage_minimum: 0.7,
            max_calls: NonZeroU32::new(3),
            is_suspect,
            latency_target_ms: millis + 150,
            deadline_ms: millis + 2_000,
            ..PlanScript::default()
        };
        let fan_out = FanOut::new(plan.plan());
        let (started_at, shards) = (self.now, BTreeMap::new());
        let attempt = Attempt { query, node, started_at, is_suspect, fan_out, shards, is_trial };
        self.attempts.push(attempt);
        self.step(self.attempts.len() - 1, |it, now, router, actions| {
            it.start(now, router, actions)
        });
    }

    /// Lets the caller repeat its query at another node.
    fn repeat(&mut self, query: usize) {
        if self.max_attempts <= self.attempts.len() {
            return;
        }
        let delay = self.pause(self.pause_ms);
        let node = self.rng.random_range(0..NODES);
        self.schedule(delay, Event::Attempt { query, node });
    }

    fn step(
        &mut self,
        attempt: usize,
        event: impl FnOnce(&mut FanOut, TimePoint, &UpRouter, &mut Vec<FanOutAction>),
    ) {
        let mut actions = Vec::new();
        event(&mut self.attempts[attempt].fan_out, self.now, &self.router, &mut actions);
        for action in actions {
            match action {
                FanOutAction::Send { call, reservation, .. } => {
                    let (shard, upstream) = (reservation.shard, reservation.upstream());
                    self.attempts[attempt].shards.insert(call, shard);
                    let process = self.processes[upstream_number(&upstream) as usize];
                    self.running.push((attempt, call, upstream, process));
                    let delay = self.pause(self.call_ms);
                    self.schedule(delay, Event::Run { upstream, process });
                }
                FanOutAction::WakeAt(at) => {
                    self.schedule(at.since(self.now), Event::Wake { attempt });
                }
                FanOutAction::Finish(_) => {
                    let Attempt { query, node, is_trial, .. } = self.attempts[attempt];
                    if is_trial {
                        self.ledgers[node].end_trial(self.now, fingerprint(query));
                    }
                    self.repeat(query);
                }
                FanOutAction::Cancel(_) => {}
            }
        }
    }

    fn end_process(&mut self, upstream: UpstreamId, process: u64) {
        let idx = upstream_number(&upstream) as usize;
        if self.processes[idx] != process {
            return;
        }
        self.processes[idx] += 1;
        self.router.down_until.lock().unwrap()[idx] = self.now + DOWNTIME;
        let mut ended = [false; QUERIES];
        for (attempt, call, it, started) in mem::take(&mut self.running) {
            if it == upstream && started == process {
                ended[self.attempts[attempt].query] = true;
                self.schedule(PROBE, Event::Lost { attempt, call, upstream, process });
            } else {
                self.running.push((attempt, call, it, started));
            }
        }
        let queries = ended.iter().zip(&mut self.ends_of_queries);
        queries.filter(|(ended, _)| **ended).for_each(|(_, ends)| ends.push(self.now));
    }

    /// Handles a lost call as the drivers do.
    fn lose(&mut self, attempt: usize, call: CallId, upstream: UpstreamId, process: u64) {
        let Attempt { query, node, started_at, is_suspect, fan_out, shards, .. } =
            &mut self.attempts[attempt];
        let fingerprint = fingerprint(*query);
        let (node, service) = (*node, format!("s-{}", shards[&call].0).into());
        let is_strong_sign = fan_out.is_strong_sign(call);
        // A call that outlives its query is evidence as well.
        if fan_out.is_evidence(call) || fan_out.is_finished() {
            let evidence = crash(fingerprint, upstream, process, service, self.now);
            let ledger = &mut self.ledgers[node];
            match is_suspect {
                true => ledger.record_contained(self.now, *started_at, evidence),
                false => ledger.record(self.now, evidence),
            }
            if CRASH_LIMIT <= ledger.crashes(fingerprint) {
                fan_out.contain();
            }
            self.schedule(SHARING_DELAY, Event::Share { node });
        }
        if is_strong_sign {
            self.ledgers[node].mark_urgent(fingerprint);
        }
        let evidence = self.ledgers[node].take_notice(16);
        self.schedule(NOTICE_DELAY, Event::Notice { evidence });
        self.step(attempt, |it, now, router, actions| {
            it.on_failure(now, router, call, CallFailure::UpstreamEnded, Duration::ZERO, actions);
        });
    }
}

fn fingerprint(query: usize) -> RequestFingerprint {
    RequestFingerprint::of_parts(&[b"caller", format!("/all/crash/{query}").as_bytes()])
}

fn crash(
    fingerprint: RequestFingerprint,
    upstream: UpstreamId,
    process: u64,
    service: ServiceName,
    now: TimePoint,
) -> Evidence {
    let process = UpstreamProcess { instance: upstream.to_string().into(), started_ms: process };
    let key = EvidenceKey { fingerprint, source: EvidenceSource::Crash(process) };
    Evidence { key, service, observed_ms: now.as_micros() / 1_000 }
}
