//! Replays a shard that gets more than what is left of it can work on.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use mux_model::{FastMap, TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome, balancer::ServiceBalancer};

use crate::fixtures::{OWN_ZONE, PATIENT, balancer, ms, pace, record};

const SLOTS: usize = 3;
/// Time that one request takes.
const WORK_US: u64 = 10_000;
/// Requests come this often; three slots can work on one each 3.3 ms.
const ARRIVAL_US: u64 = 2_500;
const LENGTH_US: u64 = 10_000_000;
/// Time after which a reply is of no use to its query.
const USEFUL: Duration = Duration::from_millis(70);

/// One upstream with a queue, which tells its load with each reply.
#[derive(Default)]
struct BusyUpstream {
    running: Vec<(u64, u64)>,
    waiting: VecDeque<u64>,
}

impl BusyUpstream {
    fn take_in(&mut self, now: u64, started: u64) {
        if self.running.len() < SLOTS {
            self.running.push((now + WORK_US, started));
        } else {
            self.waiting.push_back(started);
        }
    }

    fn next_end(&self) -> Option<u64> {
        self.running.iter().map(|(end, _)| *end).min()
    }

    /// Ends the request that is due, and returns when it was started.
    fn end_one(&mut self, now: u64) -> u64 {
        let position = self.running.iter().position(|(end, _)| *end == now);
        let (_, started) = self.running.swap_remove(position.expect("an end is due"));
        if let Some(next) = self.waiting.pop_front() {
            self.running.push((now + WORK_US, next));
        }
        started
    }

    fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}

/// What came of the load.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Replays the load; calls expected later than `patience` are not made.
fn replay(patience: Duration) -> Outcome {
    let record = mux_routing::balancer::UpstreamRecord { slots: 30, ..record(0, OWN_ZONE) };
    // Slots are told as many, so that the connections of this one node do not limit the queue.
    let balancer = balancer(std::slice::from_ref(&record));
    let target = record.upstream;
    let mut upstream = BusyUpstream::default();
    let mut outcome = Outcome::default();
    let mut told = FastMap::default();
    let mut next_arrival = 0;
    while next_arrival < LENGTH_US {
        match upstream.next_end().filter(|it| *it <= next_arrival) {
            Some(end) => {
                let started = upstream.end_one(end);
                finish(&balancer, target, started, end, upstream.load(), &mut outcome);
                told.insert(target, upstream.load());
            }
            None => {
                arrive(&balancer, next_arrival, patience, &mut upstream, &mut outcome);
                next_arrival += ARRIVAL_US;
            }
        }
    }
    outcome
}

fn arrive(
    balancer: &ServiceBalancer,
    now: u64,
    patience: Duration,
    upstream: &mut BusyUpstream,
    outcome: &mut Outcome,
) {
    let moment = TimePoint::from_micros(now);
    match balancer.acquire(moment, &[], CallKind::First, &pace(), patience) {
        Ok(_) => upstream.take_in(now, now),
        Err(AcquireError::TooLate | AcquireError::Saturated { .. }) => outcome.refused += 1,
        Err(error) => panic!("a first call to a running upstream: {error}"),
    }
}

fn finish(
    balancer: &ServiceBalancer,
    upstream: UpstreamId,
    started: u64,
    now: u64,
    load: u32,
    outcome: &mut Outcome,
) {
    let (from, to) = (TimePoint::from_micros(started), TimePoint::from_micros(now));
    let latency = to.since(from);
    balancer.end_call(upstream, from);
    // The lane is told ten times the load, as it was told ten times the slots.
    balancer.record_load(to, upstream, load * 10);
    balancer.record(to, upstream, CallOutcome::Replied(latency), &pace());
    if latency <= USEFUL {
        outcome.in_time += 1;
    } else {
        outcome.late += 1;
    }
}

/// Load pattern: a shard of which one upstream of three is left, at 133 % of what it can work on.
#[gtest]
fn calls_that_would_be_late_are_not_made_so_that_the_others_are_in_time() {
    let waiting = replay(PATIENT);
    let refusing = replay(USEFUL.mul_f64(0.7));

    // The queue of the first one never ends, so that nearly all replies are late.
    expect_that!(waiting.in_time, le(waiting.late / 4), "{waiting:?}");
    // What the upstream can work on is in time, and the rest is refused at once.
    let most = u32::try_from(LENGTH_US / WORK_US).unwrap_or(u32::MAX) * SLOTS as u32;
    expect_that!(refusing.in_time, ge(most * 85 / 100), "{refusing:?}");
    expect_that!(refusing.late, le(refusing.in_time / 20), "{refusing:?}");
}

#[gtest]
fn call_is_made_again_once_the_load_that_was_told_is_old() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let now = TimePoint::from_millis(10);
    balancer.record_load(now, record(0, OWN_ZONE).upstream, 60);

    let busy = balancer.acquire(now, &[], CallKind::First, &pace(), ms(50));
    let later = balancer.acquire(now + ms(300), &[], CallKind::First, &pace(), ms(50));

    expect_that!(busy, eq(Err(AcquireError::TooLate)));
    expect_that!(later.is_ok(), eq(true));
}
