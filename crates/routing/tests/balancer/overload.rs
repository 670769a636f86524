//! Simulation of a shard whose load exceeds the capacity of its remaining upstream.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use mux_model::{FastMap, TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome};

use crate::fixtures::{NO_LATENCY_LIMIT, OWN_ZONE, balancer, latency_estimate, ms, record};
use crate::test_balancer::TestBalancer;

const SLOTS: usize = 3;
/// Processing time of one request.
const SERVICE_TIME_US: u64 = 10_000;
/// Time between requests; three slots can process one every 3.3 ms.
const ARRIVAL_INTERVAL_US: u64 = 2_500;
const DURATION_US: u64 = 10_000_000;
/// Latency up to which a reply is useful to its query.
const USEFUL_LATENCY: Duration = Duration::from_millis(70);

/// Upstream with a queue that reports its load with each reply.
#[derive(Default)]
struct BusyUpstream {
    /// End and start times of the requests in process, in microseconds.
    running: Vec<(u64, u64)>,
    /// Start times of the queued requests, in microseconds.
    waiting: VecDeque<u64>,
}

impl BusyUpstream {
    fn enqueue(&mut self, now: u64, started: u64) {
        if self.running.len() < SLOTS {
            self.running.push((now + SERVICE_TIME_US, started));
        } else {
            self.waiting.push_back(started);
        }
    }

    fn next_completion(&self) -> Option<u64> {
        self.running.iter().map(|(end, _)| *end).min()
    }

    /// Completes the request that ends at `now`, and returns its start time.
    fn complete_one(&mut self, now: u64) -> u64 {
        let position = self.running.iter().position(|(end, _)| *end == now);
        let (_, started) = self.running.swap_remove(position.expect("an end is due"));
        if let Some(next) = self.waiting.pop_front() {
            self.running.push((now + SERVICE_TIME_US, next));
        }
        started
    }

    fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}

/// Numbers of calls by result.
#[derive(Debug, Default)]
struct SimulationOutcome {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Runs the simulation; calls whose expected latency exceeds `max_latency` are rejected.
fn simulate(max_latency: Duration) -> SimulationOutcome {
    // The record gives ten times the slots, so that the maximum number of connections of this node
    // does not limit the queue.
    let record = mux_routing::balancer::UpstreamRecord { slots: 30, ..record(0, OWN_ZONE) };
    let balancer = balancer(std::slice::from_ref(&record));
    let target = record.upstream;
    let mut upstream = BusyUpstream::default();
    let mut outcome = SimulationOutcome::default();
    let mut reported = FastMap::default();
    let mut next_arrival = 0;
    while next_arrival < DURATION_US {
        match upstream.next_completion().filter(|it| *it <= next_arrival) {
            Some(end) => {
                let started = upstream.complete_one(end);
                finish(&balancer, target, started, end, upstream.load(), &mut outcome);
                reported.insert(target, upstream.load());
            }
            None => {
                arrive(&balancer, next_arrival, max_latency, &mut upstream, &mut outcome);
                next_arrival += ARRIVAL_INTERVAL_US;
            }
        }
    }
    outcome
}

fn arrive(
    balancer: &TestBalancer,
    now: u64,
    max_latency: Duration,
    upstream: &mut BusyUpstream,
    outcome: &mut SimulationOutcome,
) {
    let moment = TimePoint::from_micros(now);
    match balancer.acquire(moment, &[], CallKind::First, &latency_estimate(), max_latency) {
        Ok(_) => upstream.enqueue(now, now),
        Err(AcquireError::ReplyTooLate | AcquireError::Saturated { .. }) => outcome.refused += 1,
        Err(error) => panic!("unexpected refusal of a first call: {error}"),
    }
}

fn finish(
    balancer: &TestBalancer,
    upstream: UpstreamId,
    started: u64,
    now: u64,
    load: u32,
    outcome: &mut SimulationOutcome,
) {
    let (from, to) = (TimePoint::from_micros(started), TimePoint::from_micros(now));
    let latency = to.since(from);
    balancer.end_call(upstream, from);
    // Ten times the load is reported, in line with the slots in the record.
    balancer.record_load(to, upstream, load * 10);
    balancer.record_outcome(to, upstream, CallOutcome::Replied(latency), &latency_estimate());
    if latency <= USEFUL_LATENCY {
        outcome.in_time += 1;
    } else {
        outcome.late += 1;
    }
}

/// A shard has lost two of its three upstreams, and the load is 133 % of the remaining capacity.
#[gtest]
fn rejecting_late_calls_keeps_the_others_in_time() {
    let unlimited = simulate(NO_LATENCY_LIMIT);
    let limited = simulate(USEFUL_LATENCY.mul_f64(0.7));

    // Without a limit, the queue keeps growing, so that nearly all replies are late.
    expect_that!(unlimited.in_time, le(unlimited.late / 4), "{unlimited:?}");
    // With a limit, the load within the capacity is answered in time; the rest is rejected at once.
    let capacity = u32::try_from(DURATION_US / SERVICE_TIME_US).unwrap_or(u32::MAX) * SLOTS as u32;
    expect_that!(limited.in_time, ge(capacity * 85 / 100), "{limited:?}");
    expect_that!(limited.late, le(limited.in_time / 20), "{limited:?}");
}

/// Replays a quiet day with 90 shards: the node's own processor delays the calls of a query, so that
/// each reply is expected slightly too late although every upstream is idle. Rejecting these calls
/// refused one query in ten of the fast route, and its callers had to come back.
#[gtest]
fn idle_upstream_is_called_although_its_reply_may_be_late() {
    let record = record(0, OWN_ZONE);
    let now = TimePoint::from_millis(10);
    // The typical latency is 10 ms.
    for (load, max_latency, expected) in [
        (0, ms(8), Ok(record.upstream)),
        (record.slots, ms(8), Err(AcquireError::ReplyTooLate)),
        (0, ms(2), Err(AcquireError::ReplyTooLate)),
    ] {
        let balancer = balancer(std::slice::from_ref(&record));
        balancer.record_load(now, record.upstream, load);

        let acquired =
            balancer.acquire(now, &[], CallKind::First, &latency_estimate(), max_latency);

        expect_that!(acquired, eq(expected), "{load} requests, limit {max_latency:?}");
    }
}

#[gtest]
fn calls_resume_once_the_reported_load_expires() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let now = TimePoint::from_millis(10);
    balancer.record_load(now, record(0, OWN_ZONE).upstream, 60);

    let busy = balancer.acquire(now, &[], CallKind::First, &latency_estimate(), ms(50));
    let later = balancer.acquire(now + ms(300), &[], CallKind::First, &latency_estimate(), ms(50));

    expect_that!(busy, eq(Err(AcquireError::ReplyTooLate)));
    expect_that!(later.is_ok(), eq(true));
}
