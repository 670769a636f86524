//! Budget for hedges and retries.

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::{AcquireError, CallKind, CallOutcome, ReplicaRouter, ServiceRouter};

use crate::fixtures::{
    at_ms, call_repeatedly, locations, ms, policy, router, shed, unlimited_policy, upstream,
    upstreams,
};

const T0: TimePoint = TimePoint::ZERO;
const REPLIED: CallOutcome = CallOutcome::Replied(std::time::Duration::from_millis(10));

/// Makes calls of `kind` until the budget refuses one; returns their number, at most 1000.
fn extra_calls(router: &ServiceRouter, now: TimePoint, kind: CallKind) -> usize {
    let calls = (0..1_000).take_while(|_| {
        let acquired = router.acquire(now, &upstreams(2), &[], kind);
        if let Ok(upstream) = acquired {
            router.release(now, upstream, REPLIED);
        }
        acquired != Err(AcquireError::BudgetExhausted)
    });
    calls.count()
}

#[gtest]
fn extra_calls_are_a_share_of_first_calls_with_a_reserve_for_retries() {
    let router = router(&policy(), 2);
    extra_calls(&router, T0, CallKind::Retry);

    call_repeatedly(&router, T0, 0, REPLIED, 255);
    let hedges = extra_calls(&router, T0, CallKind::Hedge);
    let retries = extra_calls(&router, T0, CallKind::Retry);
    call_repeatedly(&router, T0, 0, REPLIED, 10_000);
    let burst = extra_calls(&router, T0, CallKind::Retry);

    expect_that!(hedges, eq(7));
    expect_that!(retries, eq(3));
    expect_that!(burst, eq(20));
}

#[gtest]
fn a_call_without_replica_returns_its_token() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, REPLIED, 250);
    let before = router.report(T0).budget_left;

    let acquired = router.acquire(T0, &upstreams(2), &upstreams(2), CallKind::Retry);

    expect_that!(acquired, err(eq(AcquireError::NoReplica)));
    expect_that!(router.report(T0).budget_left, eq(before));
}

#[gtest]
fn hedges_and_retries_stop_during_overload_and_resume_after_it() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, REPLIED, 1_000);
    for step in 0..20 {
        call_repeatedly(&router, at_ms(1_000 + step), 1, REPLIED, 4);
        call_repeatedly(&router, at_ms(1_000 + step), 0, shed(Some(ms(0))), 1);
        // Removing and adding the upstreams drops their state, including the pause.
        router.update(policy(), &[]);
        router.update(policy(), &locations(2));
    }

    let during =
        [CallKind::Hedge, CallKind::Retry].map(|it| extra_calls(&router, at_ms(1_050), it));
    let after = extra_calls(&router, at_ms(3_000), CallKind::Retry);

    expect_that!(during, eq([0, 0]));
    expect_that!(after, eq(20));
}

#[gtest]
fn calls_waiting_for_slots_stop_hedges_and_retries() {
    let router = router(&policy(), 2);
    for step in 0..100 {
        let now = at_ms(step * 10);
        let _ = router.admit(now);
        for _ in 0..30 {
            let _ = router.acquire(now, &upstreams(2), &[], CallKind::First);
        }
        router.release(now, upstream(0), REPLIED);
        router.release(now, upstream(1), REPLIED);
        router.finish(now);
    }

    expect_that!(extra_calls(&router, at_ms(1_000), CallKind::Retry), eq(0));
}

#[gtest]
fn without_a_budget_extra_calls_are_not_limited() {
    let router = router(&unlimited_policy(), 2);
    call_repeatedly(&router, T0, 0, shed(Some(ms(0))), 100);

    expect_that!(extra_calls(&router, T0, CallKind::Hedge), eq(1_000));
}
