//! Ejection of failing upstreams, and their readmission.

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, TimePoint};
use mux_routing::{AcquireError, CallKind, CallOutcome, UpstreamCondition};

use crate::fixtures::{
    acquire_first, at_ms, call_repeatedly, fill, ms, not_run, policy, router, shed, upstream,
    upstream_report, upstreams,
};

const T0: TimePoint = TimePoint::ZERO;
const REPLIED: CallOutcome = CallOutcome::Replied(std::time::Duration::from_millis(10));
const CONNECTION_LOST: CallOutcome = CallOutcome::Failed(CallFailure::ConnectionLost, ms_const(1));

const fn ms_const(millis: u64) -> std::time::Duration {
    std::time::Duration::from_millis(millis)
}

#[gtest]
fn consecutive_failures_eject_an_upstream() {
    let failed = |failure| CallOutcome::Failed(failure, ms(1));
    let cases = [
        ("connection lost", CONNECTION_LOST, Some(3)),
        ("silent", failed(CallFailure::Silent), Some(3)),
        ("not sent", not_run(NotRunReason::NotSent, None), Some(3)),
        ("upstream error", failed(CallFailure::UpstreamError), Some(5)),
        ("bad reply", failed(CallFailure::BadReply), Some(5)),
        ("deadline passed", failed(CallFailure::DeadlinePassed), None),
        ("snapshot missing", not_run(NotRunReason::SnapshotMissing, None), None),
        ("rejected", not_run(NotRunReason::Rejected, None), None),
        ("shed", shed(Some(ms(0))), None),
        ("cancelled early", CallOutcome::Cancelled(ms(1)), None),
        ("cancelled late", CallOutcome::Cancelled(ms(40)), Some(5)),
    ];

    for (name, outcome, expected) in cases {
        let router = router(&policy(), 1);
        call_repeatedly(&router, T0, 0, CONNECTION_LOST, 2);
        call_repeatedly(&router, T0, 0, REPLIED, 1);

        let ejected_after = (1..=10).find(|it| {
            call_repeatedly(&router, at_ms(it * 5_000), 0, outcome, 1);
            let condition = upstream_report(&router, at_ms(it * 5_000), 0).condition;
            condition == UpstreamCondition::Ejected
        });

        expect_that!(ejected_after, eq(expected), "{name}");
    }
}

#[gtest]
fn an_ejected_upstream_gets_no_calls_until_a_single_probe() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, CONNECTION_LOST, 3);

    for _ in 0..100 {
        let chosen = acquire_first(&router, at_ms(400), &upstreams(2)).expect("one is healthy");
        router.release(at_ms(400), chosen, REPLIED);
        expect_that!(chosen, eq(upstream(1)));
    }
    let probe = acquire_first(&router, at_ms(800), &upstreams(2));
    let other = acquire_first(&router, at_ms(800), &upstreams(2));
    let hedge = router.acquire(at_ms(800), &upstreams(2), &[upstream(1)], CallKind::Hedge);

    expect_that!(probe, ok(eq(upstream(0))));
    expect_that!(other, ok(eq(upstream(1))));
    expect_that!(hedge, err(anything()));
}

#[gtest]
fn backoff_doubles_with_each_failed_probe() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 1, REPLIED, 20);
    call_repeatedly(&router, T0, 0, CONNECTION_LOST, 3);

    let mut failed_at = T0;
    for expected in [500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        let mut now = failed_at;
        loop {
            now = now + ms(10);
            let chosen = acquire_first(&router, now, &upstreams(2)).expect("one is healthy");
            if chosen == upstream(0) {
                break;
            }
            router.release(now, chosen, REPLIED);
        }
        router.release(now, upstream(0), CONNECTION_LOST);

        let backoff = now.since(failed_at);
        expect_that!(backoff, all!(ge(ms(expected)), le(ms(expected * 3 / 2 + 10))));
        failed_at = now;
    }
}

#[gtest]
fn a_cancelled_probe_starts_another_backoff() {
    for elapsed in [0, 40] {
        let router = router(&policy(), 2);
        call_repeatedly(&router, T0, 0, CONNECTION_LOST, 3);

        acquire_first(&router, at_ms(800), &upstreams(2)).expect("a probe is due");
        router.release(at_ms(850), upstream(0), CallOutcome::Cancelled(ms(elapsed)));
        let next = acquire_first(&router, at_ms(851), &upstreams(2));

        expect_that!(next, ok(eq(upstream(1))), "cancelled after {elapsed} ms");
    }
}

#[gtest]
fn an_ejected_upstream_is_not_probed_before_its_retry_delay() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 0, CONNECTION_LOST, 2);
    call_repeatedly(&router, T0, 0, not_run(NotRunReason::NotSent, Some(ms(5_000))), 1);

    let early = acquire_first(&router, at_ms(4_999), &upstreams(2));
    let late = acquire_first(&router, at_ms(5_000), &upstreams(2));

    expect_that!(early, ok(eq(upstream(1))));
    expect_that!(late, ok(eq(upstream(0))));
}

#[gtest]
fn a_readmitted_upstream_starts_with_the_initial_limit() {
    let router = router(&policy(), 1);
    for _ in 0..20 {
        fill(&router, T0, 0, REPLIED);
    }
    let before = fill(&router, T0, 0, CONNECTION_LOST);

    call_repeatedly(&router, at_ms(900), 0, REPLIED, 1);

    expect_that!(before, eq(4));
    expect_that!(fill(&router, at_ms(900), 0, REPLIED), eq(1));
}

#[gtest]
fn with_all_replicas_ejected_the_one_whose_backoff_ends_first_is_probed() {
    let router = router(&policy(), 2);
    call_repeatedly(&router, T0, 1, CONNECTION_LOST, 3);
    call_repeatedly(&router, at_ms(300), 0, CONNECTION_LOST, 3);

    let hedge = router.acquire(at_ms(310), &upstreams(2), &[], CallKind::Hedge);
    let probe = acquire_first(&router, at_ms(310), &upstreams(2));
    let retry = router.acquire(at_ms(310), &upstreams(2), &[upstream(1)], CallKind::Retry);
    let during_probe = acquire_first(&router, at_ms(320), &upstreams(2));
    let after_probe_wait = acquire_first(&router, at_ms(450), &upstreams(2));

    expect_that!(hedge, err(eq(AcquireError::NoReplica)));
    expect_that!(probe, ok(eq(upstream(1))));
    expect_that!(retry, ok(eq(upstream(0))));
    expect_that!(during_probe, err(matches_pattern!(AcquireError::Saturated { .. })));
    expect_that!(after_probe_wait, err(eq(AcquireError::NoReplica)));
}
