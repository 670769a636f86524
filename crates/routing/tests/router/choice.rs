//! Selection of a replica.

use googletest::prelude::*;
use mux_model::{NotRunReason, TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome, ServiceRouter, UpstreamHint};

use crate::fixtures::{
    DRAINING, NOT_DRAINING, OWN_ZONE, acquire_first, at_ms, call_repeatedly, location, locations,
    ms, not_run, policy, router, unlimited_policy, upstream, upstreams,
};

const T0: TimePoint = TimePoint::ZERO;
const ROUNDS: usize = 200;

/// Makes sequential calls with both upstreams as candidates; returns how many went to upstream 0.
fn calls_to_upstream_0(router: &ServiceRouter) -> usize {
    let calls = (0..ROUNDS).map(|_| {
        let chosen = acquire_first(router, T0, &upstreams(2)).expect("both are free");
        router.release(T0, chosen, CallOutcome::Cancelled(ms(0)));
        chosen
    });
    calls.filter(|it| *it == upstream(0)).count()
}

fn reported(in_flight: u32) -> UpstreamHint {
    UpstreamHint { in_flight: Some(in_flight), draining: false }
}

#[gtest]
fn selection_prefers_latency_then_zone_then_reported_load() {
    let cases = [
        ("equal", (OWN_ZONE, 10, 0), (OWN_ZONE, 10, 0), 40..=160),
        ("faster", (OWN_ZONE, 10, 0), (OWN_ZONE, 15, 0), 200..=200),
        ("faster, other zone", ("muc-b", 10, 0), (OWN_ZONE, 15, 0), 200..=200),
        ("faster, reports load", (OWN_ZONE, 10, 900), (OWN_ZONE, 15, 0), 200..=200),
        ("same zone", (OWN_ZONE, 10, 0), ("muc-b", 10, 0), 200..=200),
        ("same zone, reports load", (OWN_ZONE, 10, 900), ("muc-b", 10, 0), 200..=200),
        ("reports less load", (OWN_ZONE, 10, 1), (OWN_ZONE, 10, 2), 200..=200),
    ];

    for (name, lhs, rhs, expected) in cases {
        let router = ServiceRouter::new(policy(), &[location(0, lhs.0), location(1, rhs.0)], 1);
        for (number, (_, latency, load)) in [(0, lhs), (1, rhs)] {
            call_repeatedly(&router, T0, number, CallOutcome::Replied(ms(latency)), 50);
            router.observe(T0, upstream(number), reported(load));
        }

        let calls = calls_to_upstream_0(&router);

        expect_that!(expected.contains(&calls), eq(true), "{name}: {calls} of {ROUNDS}");
    }
}

#[gtest]
fn the_replica_with_fewer_calls_in_flight_is_selected() {
    let router = router(&unlimited_policy(), 2);
    for _ in 0..20 {
        acquire_first(&router, T0, &[upstream(0)]).expect("no limit");
    }

    let chosen: Vec<UpstreamId> =
        (0..18).map(|_| acquire_first(&router, T0, &upstreams(2)).expect("no limit")).collect();

    expect_that!(chosen, each(eq(&upstream(1))));
}

#[gtest]
fn a_formerly_slow_replica_gets_calls_again() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, CallOutcome::Replied(ms(500)), 5);

    let mut now = T0;
    let mut was_tried = false;
    while now < at_ms(60_000) && !was_tried {
        now = now + ms(10);
        let chosen = acquire_first(&router, now, &upstreams(2)).expect("both are free");
        router.release(now, chosen, CallOutcome::Replied(ms(10)));
        was_tried = chosen == upstream(0);
    }

    expect_that!(now, all!(gt(at_ms(2_000)), lt(at_ms(60_000))));
}

#[gtest]
fn a_draining_upstream_gets_no_new_calls_and_its_calls_finish() {
    type DrainSignal = fn(&ServiceRouter);
    let signals: [(&str, DrainSignal); 2] = [
        ("hint", |router| router.observe(T0, upstream(0), DRAINING)),
        ("refused call", |router| {
            call_repeatedly(router, T0, 0, not_run(NotRunReason::Draining, None), 1);
        }),
    ];

    for (name, signal) in signals {
        let router = router(&policy(), 1);
        call_repeatedly(&router, T0, 0, CallOutcome::Replied(ms(5)), 5);
        acquire_first(&router, T0, &[upstream(0)]).expect("not yet draining");
        signal(&router);

        for kind in [CallKind::First, CallKind::Hedge, CallKind::Retry] {
            let acquired = router.acquire(T0, &[upstream(0)], &[], kind);

            expect_that!(acquired, err(eq(AcquireError::NoReplica)), "{name} {kind:?}");
        }
        expect_that!(router.report(T0).upstreams[0].in_flight, eq(1));
        router.release(T0, upstream(0), CallOutcome::Replied(ms(5)));
        expect_that!(
            acquire_first(&router, at_ms(60_000), &[upstream(0)]),
            err(anything()),
            "{name}"
        );
    }
}

#[gtest]
fn only_signals_after_the_hold_time_end_draining() {
    let cases = [(0, false), (1_000, false), (1_999, false), (2_000, true), (9_000, true)];

    for (delay, expected) in cases {
        let router = router(&policy(), 1);
        router.observe(at_ms(500), upstream(0), DRAINING);
        router.observe(at_ms(500 + delay), upstream(0), NOT_DRAINING);

        let acquired = acquire_first(&router, at_ms(500 + delay), &[upstream(0)]);

        expect_that!(acquired.is_ok(), eq(expected), "after {delay} ms");
    }
}

#[gtest]
fn an_update_keeps_calls_in_flight_and_stops_new_ones_to_removed_upstreams() {
    let router = router(&policy(), 2);
    let both: Vec<UpstreamId> = vec![upstream(0), upstream(1)];
    acquire_first(&router, T0, &both[..1]).expect("free");
    acquire_first(&router, T0, &both[1..]).expect("free");

    router.update(policy(), &locations(1));
    let acquired_at_removed = acquire_first(&router, T0, &both[1..]);
    let acquired_at_kept = acquire_first(&router, T0, &both[..1]);
    let known_upstreams = router.report(T0).upstreams.len();
    router.release(T0, upstream(1), CallOutcome::Replied(ms(5)));

    expect_that!(acquired_at_removed, err(eq(AcquireError::NoReplica)));
    expect_that!(acquired_at_kept, err(matches_pattern!(AcquireError::Saturated { .. })));
    expect_that!(known_upstreams, eq(2));
    expect_that!(router.report(T0).upstreams, len(eq(1)));
}
