//! Limits on the calls in flight to an upstream.

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, TimePoint};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, ReplicaRouter, RoutingPolicy, ServiceRouter, SlotShare,
};

use crate::fixtures::{
    acquire_first, at_ms, call_repeatedly, fill, locations, ms, not_run, policy, router, shed,
    unlimited_policy, upstream, upstreams,
};

const T0: TimePoint = TimePoint::ZERO;
const REPLIED: CallOutcome = CallOutcome::Replied(std::time::Duration::from_millis(10));

fn six_slot_policy() -> RoutingPolicy {
    RoutingPolicy { slots_per_upstream: Some(6), ..policy() }
}

/// Returns a router whose only upstream has grown to its maximum of 12 calls in flight.
fn grown_router() -> ServiceRouter {
    let router = router(&six_slot_policy(), 1);
    for _ in 0..100 {
        fill(&router, T0, 0, REPLIED);
    }
    router
}

#[gtest]
fn slots_are_divided_between_the_nodes() {
    let cases =
        [(2, 1, 2, 4), (2, 2, 1, 2), (2, 7, 1, 2), (6, 7, 1, 2), (6, 2, 3, 6), (0, 0, 1, 2)];

    for (slots_per_upstream, nodes, slots, max_in_flight) in cases {
        let share = SlotShare::new(slots_per_upstream, nodes);

        expect_that!(
            share,
            eq(SlotShare { slots, max_in_flight }),
            "{slots_per_upstream} slots, {nodes} nodes"
        );
    }
}

#[gtest]
fn a_new_upstream_starts_with_one_call_and_grows_to_its_share() {
    let router = router(&six_slot_policy(), 1);

    let taken: Vec<usize> = (0..30).map(|_| fill(&router, T0, 0, REPLIED)).collect();

    expect_that!(taken[0], eq(1));
    expect_that!(taken.is_sorted(), eq(true));
    expect_that!(taken.windows(2).all(|it| it[1] <= it[0] + 2), eq(true), "{taken:?}");
    expect_that!(taken[29], eq(12));
}

#[gtest]
fn overload_outcomes_lower_the_limit() {
    let cases = [
        ("shed", shed(Some(ms(0))), 6..=9),
        ("deadline passed", CallOutcome::Failed(CallFailure::DeadlinePassed, ms(900)), 6..=9),
        ("deadline passed unrun", not_run(NotRunReason::DeadlinePassed, None), 6..=9),
        ("cancelled", CallOutcome::Cancelled(ms(900)), 12..=12),
        ("snapshot missing", not_run(NotRunReason::SnapshotMissing, None), 12..=12),
    ];

    for (name, outcome, expected) in cases {
        let router = grown_router();
        fill(&router, T0, 0, outcome);

        let taken = fill(&router, at_ms(40), 0, REPLIED);

        expect_that!(expected.contains(&taken), eq(true), "{name}: {taken}");
    }
}

#[gtest]
fn a_limit_at_which_calls_were_shed_is_rarely_reached_again() {
    let router = grown_router();
    let capacity = 8;
    let mut shed_count = 0;

    for step in 1..=6_000 {
        let now = at_ms(step * 10);
        let taken =
            (0..20).take_while(|_| acquire_first(&router, now, &[upstream(0)]).is_ok()).count();
        for call in 0..taken {
            let outcome = if capacity <= call { shed(Some(ms(0))) } else { REPLIED };
            shed_count += usize::from(capacity <= call);
            router.release(now, upstream(0), outcome);
        }
    }

    expect_that!(shed_count, all!(ge(1), le(30)), "in a minute");
}

#[gtest]
fn inflated_latency_lowers_the_limit_but_not_below_the_slots() {
    let router = grown_router();

    for step in 0..100 {
        fill(&router, at_ms(step * 60), 0, CallOutcome::Replied(ms(40)));
    }

    expect_that!(router.report(at_ms(6_000)).upstreams[0].limit, some(all!(ge(6), lt(12))));
}

#[gtest]
fn an_upstream_that_shed_gets_no_calls_until_its_retry_delay_ends() {
    let router = router(&policy(), 1);
    call_repeatedly(&router, T0, 0, shed(Some(ms(300))), 1);

    for (now, expected) in [(0, Some(300)), (299, Some(1)), (300, None)] {
        for kind in [CallKind::First, CallKind::Retry] {
            let acquired = router.acquire(at_ms(now), &[upstream(0)], &[], kind);

            let retry_after = expected.map(ms);
            let expected = retry_after.map(|it| AcquireError::Saturated { retry_after: it });
            expect_that!(acquired.err(), eq(expected), "{kind:?} at {now} ms");
            if acquired.is_ok() {
                router.release(at_ms(now), upstream(0), REPLIED);
            }
        }
    }
}

#[gtest]
fn repeated_sheds_without_retry_delay_lengthen_the_pause() {
    let router = router(&policy(), 1);
    let mut now = T0;
    let mut pauses = Vec::new();

    for _ in 0..8 {
        call_repeatedly(&router, now, 0, shed(None), 1);
        let Err(AcquireError::Saturated { retry_after }) =
            acquire_first(&router, now, &[upstream(0)])
        else {
            panic!("the upstream is paused");
        };
        pauses.push(retry_after);
        now = now + retry_after;
    }

    expect_that!(pauses[0], all!(ge(ms(20)), le(ms(30))));
    expect_that!(pauses[7], all!(ge(ms(1_000)), le(ms(1_500))));
}

#[gtest]
fn fewer_slots_lower_the_limit_at_once() {
    let router = grown_router();

    router.update(policy(), &locations(1));

    expect_that!(fill(&router, T0, 0, REPLIED), eq(4));
}

#[gtest]
fn calls_go_to_replicas_that_are_not_paused() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, shed(Some(ms(300))), 1);

    let acquired = acquire_first(&router, at_ms(10), &upstreams(2));

    expect_that!(acquired, ok(eq(upstream(1))));
}

#[gtest]
fn without_slot_limit_calls_and_queries_are_unlimited() {
    let router = router(&unlimited_policy(), 1);

    call_repeatedly(&router, T0, 0, shed(Some(ms(300))), 5);
    let taken = fill(&router, T0, 0, REPLIED);
    let admitted = (0..1_000).filter(|_| router.admit(T0).is_ok()).count();

    expect_that!(taken, eq(1_000));
    expect_that!(admitted, eq(1_000));
}
