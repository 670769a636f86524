//! Admission of queries.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::{CallOutcome, QueryRefusal, ReplicaRouter, RoutingPolicy, ServiceRouter};

use crate::fixtures::{
    acquire_first, at_ms, call_repeatedly, ms, policy, router, shed, upstream, upstreams,
};

const T0: TimePoint = TimePoint::ZERO;

/// Tries to admit `count` queries; returns the retry delays of the refused ones.
fn admit_many(router: &ServiceRouter, now: TimePoint, count: u32) -> Vec<Duration> {
    let refused = (0..count).filter_map(|_| router.admit(now).err());
    refused.map(|it| it.retry_after).collect()
}

#[gtest]
fn admission_is_bounded_and_a_finished_query_admits_another() {
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
fn a_lowered_bound_applies_to_the_next_query() {
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
fn refused_queries_get_different_retry_delays() {
    let router = router(&RoutingPolicy { queries_in_flight: 1, ..policy() }, 1);
    admit_many(&router, T0, 1);

    let mut delays = admit_many(&router, T0, 100);
    delays.sort();
    delays.dedup();

    expect_that!(delays.len(), gt(90));
    expect_that!(delays[0], ge(ms(20)));
    expect_that!(delays.last(), some(le(&ms(30))));
}

#[gtest]
fn the_retry_delay_grows_with_the_refused_queries() {
    let mut retry_delays = Vec::new();
    for refused_per_query in [1, 10, 50] {
        let router = router(&RoutingPolicy { queries_in_flight: 1, ..policy() }, 1);
        for step in 0..50 {
            let now = at_ms(step * 20);
            admit_many(&router, now, 1 + refused_per_query);
            router.finish(now + ms(10));
        }
        admit_many(&router, at_ms(1_000), 1);
        retry_delays.extend(admit_many(&router, at_ms(1_000), 1));
    }

    expect_that!(retry_delays[0] * 2, lt(retry_delays[1]));
    expect_that!(retry_delays[1] * 2, lt(retry_delays[2]));
}

#[gtest]
fn with_all_upstreams_paused_queries_are_refused_until_the_first_pause_ends() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, shed(Some(ms(5_000))), 1);
    call_repeatedly(&router, T0, 1, shed(Some(ms(3_000))), 1);
    admit_many(&router, at_ms(1_000), 1);

    let early = router.admit(at_ms(1_100));
    let late = router.admit(at_ms(3_000));

    expect_that!(early, err(field!(QueryRefusal.retry_after, all!(ge(ms(1_900)), le(ms(2_850))))));
    expect_that!(late, ok(anything()));
}

#[gtest]
fn calls_waiting_for_slots_lower_the_query_limit() {
    let router = router(&policy(), 2);
    let limit_before = router.report(T0).query_limit;

    for step in 0..100 {
        let now = at_ms(step * 20);
        let is_admitted = router.admit(now).is_ok();
        for _ in 0..30 {
            let _ = acquire_first(&router, now, &upstreams(2));
        }
        router.release(now, upstream(0), CallOutcome::Replied(ms(10)));
        if is_admitted {
            router.finish(now);
        }
    }

    expect_that!(router.report(at_ms(2_000)).query_limit, lt(limit_before));
}

#[gtest]
fn without_waiting_calls_the_query_limit_grows_with_use() {
    let router = router(&policy(), 2);
    let refused_at_first = admit_many(&router, T0, 40).len();

    for step in 1..20 {
        admit_many(&router, at_ms(step * 100), 40);
    }

    expect_that!(refused_at_first, gt(0));
    expect_that!(router.report(at_ms(2_000)).query_limit, ge(64));
}
