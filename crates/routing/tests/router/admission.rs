//! How many queries are admitted.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::{CallOutcome, QueryRefusal, ReplicaRouter, RoutingPolicy, ServiceRouter};

use crate::fixtures::{at_ms, call_in_turn, first, ms, policy, router, shed, upstream, upstreams};

const T0: TimePoint = TimePoint::ZERO;

fn admit_many(router: &ServiceRouter, now: TimePoint, count: u32) -> Vec<Duration> {
    let refused = (0..count).filter_map(|_| router.admit(now).err());
    refused.map(|it| it.retry_after).collect()
}

#[gtest]
fn admission_is_bounded_and_finish_frees_a_place() {
    let router = router(&RoutingPolicy { queries_in_flight: 2, ..policy() }, 1);

    let admitted = [router.admit(T0), router.admit(T0)];
    let refused = router.admit(T0);
    router.finish(T0);
    let later = router.admit(T0);

    expect_that!(admitted, each(ok(anything())));
    expect_that!(refused, err(field!(QueryRefusal.retry_after, gt(Duration::ZERO))));
    expect_that!(later, ok(anything()));
}

#[gtest]
fn an_update_to_a_lower_bound_holds_for_the_next_query() {
    let router = router(&policy(), 1);
    admit_many(&router, T0, 3);

    router.update(RoutingPolicy { queries_in_flight: 2, ..policy() }, &[]);
    let refused = router.admit(T0);
    router.finish(T0);
    router.finish(T0);
    let later = router.admit(T0);

    expect_that!(refused, err(anything()));
    expect_that!(later, ok(anything()));
}

#[gtest]
fn refused_callers_are_told_different_times() {
    let router = router(&RoutingPolicy { queries_in_flight: 1, ..policy() }, 1);
    admit_many(&router, T0, 1);

    let mut times = admit_many(&router, T0, 100);
    times.sort();
    times.dedup();

    expect_that!(times.len(), gt(90));
    expect_that!(times[0], ge(ms(20)));
    expect_that!(times.last(), some(le(&ms(30))));
}

#[gtest]
fn the_time_to_come_back_grows_with_the_queries_refused() {
    let mut longest = Vec::new();
    for refused_per_query in [1, 10, 50] {
        let router = router(&RoutingPolicy { queries_in_flight: 1, ..policy() }, 1);
        for step in 0..50 {
            let now = at_ms(step * 20);
            admit_many(&router, now, 1 + refused_per_query);
            router.finish(now + ms(10));
        }
        admit_many(&router, at_ms(1_000), 1);
        longest.extend(admit_many(&router, at_ms(1_000), 1));
    }

    expect_that!(longest[0] * 2, lt(longest[1]));
    expect_that!(longest[1] * 2, lt(longest[2]));
}

#[gtest]
fn with_every_upstream_paused_queries_are_refused_until_the_first_is_back() {
    let router = router(&policy(), 2);
    call_in_turn(&router, T0, 0, shed(Some(ms(5_000))), 1);
    call_in_turn(&router, T0, 1, shed(Some(ms(3_000))), 1);
    admit_many(&router, at_ms(1_000), 1);

    let early = router.admit(at_ms(1_100));
    let late = router.admit(at_ms(3_000));

    expect_that!(early, err(field!(QueryRefusal.retry_after, all!(ge(ms(1_900)), le(ms(2_850))))));
    expect_that!(late, ok(anything()));
}

#[gtest]
fn calls_that_wait_for_slots_lower_the_number_of_queries() {
    let router = router(&policy(), 2);
    let limit_before = router.report(T0).query_limit;

    for step in 0..100 {
        let now = at_ms(step * 20);
        let is_admitted = router.admit(now).is_ok();
        for _ in 0..30 {
            let _ = first(&router, now, &upstreams(2));
        }
        router.release(now, upstream(0), CallOutcome::Replied(ms(10)));
        if is_admitted {
            router.finish(now);
        }
    }

    expect_that!(router.report(at_ms(2_000)).query_limit, lt(limit_before));
}

#[gtest]
fn without_waiting_calls_the_number_of_queries_grows_as_it_is_used() {
    let router = router(&policy(), 2);
    let refused_at_first = admit_many(&router, T0, 40).len();

    for step in 1..20 {
        admit_many(&router, at_ms(step * 100), 40);
    }

    expect_that!(refused_at_first, gt(0));
    expect_that!(router.report(at_ms(2_000)).query_limit, ge(64));
}
