//! Simulation of two routes that compete for connections that are all in use.

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::{CallKind, balancer::PriorityArbiter};

use crate::fixtures::{
    NO_LATENCY_LIMIT, OWN_ZONE, at, balancer, latency_estimate, record, upstream,
};
use crate::test_balancer::TestBalancer;

/// Priority ranks of the two routes.
const URGENT: u32 = 0;
const ORDINARY: u32 = 2;
/// Processing time of one request.
const SERVICE_TIME_MS: u64 = 10;
/// Time after which a call that got no connection is abandoned.
const WAIT_LIMIT_MS: u64 = 40;
/// Time between the attempts of a waiting call.
const POLL_MS: u64 = 2;
const DURATION_MS: u64 = 10_000;

/// A call that waits for a connection.
#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    rank: u32,
    since: u64,
    next_attempt: u64,
}

/// Fraction of the calls of each route that got a connection in time.
#[derive(Debug, Default, Clone, Copy)]
struct Shares {
    urgent: f64,
    ordinary: f64,
}

/// Simulates four urgent and `ordinary_calls` other calls every ten milliseconds on nine
/// connections.
fn simulate(ordinary_calls: u64, by_rank: bool) -> Shares {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let (mut waiting, mut busy): (Vec<WaitingCall>, Vec<(u64, TimePoint)>) =
        (Vec::new(), Vec::new());
    let (mut attempted, mut served) = ([0_u32; 2], [0_u32; 2]);
    let route_idx = |rank: u32| usize::from(rank == ORDINARY);
    for now in 0..DURATION_MS {
        for (_, started) in busy.extract_if(.., |it| it.0 <= now) {
            balancer.end_call(upstream(0), started);
        }
        if now % SERVICE_TIME_MS == 0 {
            let ordinary = (0..ordinary_calls).map(|_| ORDINARY);
            let urgent = (0..4).map(|_| URGENT);
            // The ordinary calls make their attempts first, which is the worst case for urgent
            // ones.
            for rank in ordinary.chain(urgent) {
                attempted[route_idx(rank)] += 1;
                waiting.push(WaitingCall { rank, since: now, next_attempt: now });
            }
        }
        waiting.retain(|it| now < it.since + WAIT_LIMIT_MS);
        waiting.retain_mut(|it| {
            if now < it.next_attempt {
                return true;
            }
            it.next_attempt = now + POLL_MS;
            if !try_acquire(&balancer, now, *it, by_rank) {
                return true;
            }
            busy.push((now + SERVICE_TIME_MS, at(now)));
            served[route_idx(it.rank)] += 1;
            false
        });
    }
    let share = |idx: usize| f64::from(served[idx]) / f64::from(attempted[idx]);
    Shares { urgent: share(0), ordinary: share(1) }
}

fn try_acquire(balancer: &TestBalancer, now: u64, call: WaitingCall, by_rank: bool) -> bool {
    let (now, kind) = (at(now), CallKind::First);
    if by_rank {
        return balancer
            .acquire_by_rank(now, &[], kind, &latency_estimate(), NO_LATENCY_LIMIT, call.rank)
            .is_ok();
    }
    balancer.acquire(now, &[], kind, &latency_estimate(), NO_LATENCY_LIMIT).is_ok()
}

/// Calls of two ranks arrive at 178 % of the capacity of the connections.
#[gtest]
fn urgent_calls_are_preferred_without_starving_others() {
    let without_ranks = simulate(12, false);
    let with_ranks = simulate(12, true);

    expect_that!(without_ranks.urgent, le(0.7), "{without_ranks:?}");
    expect_that!(with_ranks.urgent, ge(0.95), "{with_ranks:?}");
    // There is capacity for nine calls, four of which are urgent; this leaves five of twelve.
    expect_that!(with_ranks.ordinary, ge(0.3), "{with_ranks:?}");
}

#[gtest]
fn all_calls_succeed_below_capacity() {
    let with_ranks = simulate(4, true);

    expect_that!(with_ranks.urgent, eq(1.0));
    expect_that!(with_ranks.ordinary, eq(1.0));
}

#[gtest]
fn call_yields_to_waiting_urgent_calls_and_gets_every_fourth_connection() {
    let mut arbiter = PriorityArbiter::default();
    arbiter.on_refused(at(10), 1);
    arbiter.on_refused(at(10), 2);

    expect_that!(arbiter.must_yield(at(12), 2), eq(true));
    expect_that!(arbiter.must_yield(at(12), 1), eq(false));
    expect_that!(arbiter.must_yield(at(12), 0), eq(false));
    expect_that!(arbiter.must_yield(at(16), 2), eq(false));
    for _ in 0..3 {
        expect_that!(arbiter.must_yield(at(13), 2), eq(true));
        arbiter.on_granted(at(13), 1);
    }
    expect_that!(arbiter.must_yield(at(13), 2), eq(false));
    arbiter.on_granted(at(13), 2);
    expect_that!(arbiter.must_yield(at(13), 2), eq(true));
}

/// A hedge that yields is not waiting: its shard has another call in flight. It must not make calls
/// of less urgent routes yield.
#[gtest]
fn hedge_that_yields_makes_no_other_call_yield() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let acquire = |now: u64, kind, rank| {
        let limit = NO_LATENCY_LIMIT;
        balancer.acquire_by_rank(at(now), &[], kind, &latency_estimate(), limit, rank)
    };
    let mut started = 0;
    while acquire(0, CallKind::First, URGENT).is_ok() {
        started += 1;
    }
    // The urgent call that was refused last waits, so a hedge of the next rank has to yield.
    expect_that!(acquire(1, CallKind::Hedge, URGENT + 1), err(anything()));
    for _ in 0..started {
        balancer.end_call(upstream(0), at(0));
    }

    // The urgent call has been given up by now; the hedge yielded a moment ago.
    let later = acquire(6, CallKind::First, ORDINARY);

    expect_that!(later, ok(eq(upstream(0))));
}
