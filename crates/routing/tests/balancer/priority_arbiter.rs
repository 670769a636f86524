//! Replays two routes that share upstreams whose connections are all in use.

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::{
    CallKind,
    balancer::{PriorityArbiter, ServiceBalancer},
};

use crate::fixtures::{OWN_ZONE, PATIENT, at, balancer, pace, record, upstream};

/// Ranks of the two routes.
const URGENT: u32 = 0;
const ORDINARY: u32 = 2;
/// Time that one request takes.
const WORK_MS: u64 = 10;
/// Time within which a call has to get a connection to be of use.
const USEFUL_MS: u64 = 40;
/// Time after which a waiting call asks again.
const POLL_MS: u64 = 2;
const LENGTH_MS: u64 = 10_000;

/// A call that has no connection yet.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    rank: u32,
    since: u64,
    ask_at: u64,
}

/// Share of the calls of each route that got a connection in time.
#[derive(Debug, Default, Clone, Copy)]
struct Shares {
    urgent: f64,
    ordinary: f64,
}

/// Replays four urgent and `ordinary` other calls each ten milliseconds on nine connections.
fn replay(ordinary: u64, with_order: bool) -> Shares {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let (mut waiting, mut busy): (Vec<Waiting>, Vec<(u64, TimePoint)>) = (Vec::new(), Vec::new());
    let (mut asked, mut served) = ([0_u32; 2], [0_u32; 2]);
    let kind = |rank: u32| usize::from(rank == ORDINARY);
    for now in 0..LENGTH_MS {
        for (_, started) in busy.extract_if(.., |it| it.0 <= now) {
            balancer.end_call(upstream(0), started);
        }
        if now % WORK_MS == 0 {
            let ordinary = (0..ordinary).map(|_| ORDINARY);
            let urgent = (0..4).map(|_| URGENT);
            // The ordinary ones ask first, as they would by chance.
            for rank in ordinary.chain(urgent) {
                asked[kind(rank)] += 1;
                waiting.push(Waiting { rank, since: now, ask_at: now });
            }
        }
        waiting.retain(|it| now < it.since + USEFUL_MS);
        waiting.retain_mut(|it| {
            if now < it.ask_at {
                return true;
            }
            it.ask_at = now + POLL_MS;
            if !try_call(&balancer, now, *it, with_order) {
                return true;
            }
            busy.push((now + WORK_MS, at(now)));
            served[kind(it.rank)] += 1;
            false
        });
    }
    let share = |idx: usize| f64::from(served[idx]) / f64::from(asked[idx]);
    Shares { urgent: share(0), ordinary: share(1) }
}

fn try_call(balancer: &ServiceBalancer, now: u64, call: Waiting, with_order: bool) -> bool {
    let (now, kind) = (at(now), CallKind::First);
    if with_order {
        return balancer.acquire_in_order(now, &[], kind, &pace(), PATIENT, call.rank).is_ok();
    }
    balancer.acquire(now, &[], kind, &pace(), PATIENT).is_ok()
}

/// Load pattern: calls of two ranks come at 178 % of what the connections take.
#[gtest]
fn urgent_calls_go_first_and_the_others_do_not_starve() {
    let unordered = replay(12, false);
    let ordered = replay(12, true);

    expect_that!(unordered.urgent, le(0.7), "{unordered:?}");
    expect_that!(ordered.urgent, ge(0.95), "{ordered:?}");
    // Nine calls fit in, four of which are urgent: five of twelve are left.
    expect_that!(ordered.ordinary, ge(0.3), "{ordered:?}");
}

#[gtest]
fn nobody_yields_where_there_is_room() {
    let ordered = replay(4, true);

    expect_that!(ordered.urgent, eq(1.0));
    expect_that!(ordered.ordinary, eq(1.0));
}

#[gtest]
fn call_yields_to_more_urgent_ones_that_wait_now_and_gets_each_fourth_turn() {
    let mut order = PriorityArbiter::default();
    order.on_refused(at(10), 1);
    order.on_refused(at(10), 2);

    expect_that!(order.is_to_yield(at(12), 2), eq(true));
    expect_that!(order.is_to_yield(at(12), 1), eq(false));
    expect_that!(order.is_to_yield(at(12), 0), eq(false));
    expect_that!(order.is_to_yield(at(16), 2), eq(false));
    for _ in 0..3 {
        expect_that!(order.is_to_yield(at(13), 2), eq(true));
        order.on_granted(at(13), 1);
    }
    expect_that!(order.is_to_yield(at(13), 2), eq(false));
    order.on_granted(at(13), 2);
    expect_that!(order.is_to_yield(at(13), 2), eq(true));
}
