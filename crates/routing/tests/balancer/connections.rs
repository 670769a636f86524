//! Number of connections that a node opens to upstreams with a low connection limit.

use googletest::prelude::*;
use mux_model::{TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome, balancer::RetryBudget};

use crate::fixtures::{
    NO_LATENCY_LIMIT, OTHER_ZONE, OWN_ZONE, acquire_first, at, balancer, latency_estimate, limits,
    ms, record, upstream,
};
use crate::test_balancer::TestBalancer;

/// Returns a balancer of a process that has just started.
fn started_balancer() -> TestBalancer {
    let budget = RetryBudget::started(TimePoint::ZERO, false);
    let balancer = TestBalancer::with_retry_budget(limits(), OWN_ZONE.into(), budget);
    balancer.set_upstreams(TimePoint::ZERO, &[&record(0, OWN_ZONE)]);
    balancer
}

/// Returns the result of a call that finds all connections in use.
fn saturated() -> Result<UpstreamId, AcquireError> {
    Err(AcquireError::Saturated { retry_after: ms(2) })
}

/// An upstream that still holds the connections of a killed process accepts few new ones, so their
/// number is raised one by one as they are accepted.
#[gtest]
fn new_process_adds_connections_as_they_are_accepted() {
    let balancer = started_balancer();

    expect_that!(balancer.max_connections(upstream(0)), eq(1));
    balancer.record_connections(upstream(0), 1);
    balancer.record_connection_accepted(at(10), upstream(0));
    expect_that!(balancer.max_connections(upstream(0)), eq(2));
    balancer.record_connections(upstream(0), 2);
    balancer.record_connection_accepted(at(20), upstream(0));
    expect_that!(balancer.max_connections(upstream(0)), eq(3));
}

/// If an upstream resets connections beyond its limit, the accepted ones stay in use, and more are
/// tried after a backoff.
#[gtest]
fn refused_connections_are_retried_after_a_backoff() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    for number in 0..3 {
        acquire_first(&balancer, at(number)).expect("a connection");
    }
    balancer.record_connections(upstream(0), 3);

    balancer.record_new_connection_failed(at(10), upstream(0));
    balancer.end_call(upstream(0), at(2));
    balancer.record_connections(upstream(0), 2);

    expect_that!(acquire_first(&balancer, at(11)), eq(saturated()));
    balancer.end_call(upstream(0), at(1));
    expect_that!(acquire_first(&balancer, at(12)), eq(Ok(upstream(0))));
    balancer.record_connection_accepted(at(100), upstream(0));
    expect_that!(balancer.max_connections(upstream(0)), eq(2));
    balancer.record_connection_accepted(at(300), upstream(0));
    expect_that!(balancer.max_connections(upstream(0)), eq(3));
}

/// A failed dial does not affect the connections that are already open.
#[gtest]
fn open_connections_are_used_after_a_failed_dial() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    acquire_first(&balancer, at(0)).expect("a connection");
    balancer.record_connections(upstream(0), 2);

    balancer.record_connect(at(1), upstream(0), None);
    balancer.record_connections(upstream(0), 1);
    let busy = acquire_first(&balancer, at(2));
    balancer.end_call(upstream(0), at(0));
    let free = acquire_first(&balancer, at(3));

    expect_that!(busy, eq(saturated()));
    expect_that!(free, eq(Ok(upstream(0))));
}

/// Simulates an upstream that holds dead connections for two seconds and accepts only one
/// connection of this node, which makes twenty calls per second. Few of them may be lost to
/// connection resets.
#[gtest]
fn few_calls_fail_at_an_upstream_at_its_connection_limit() {
    let balancer = started_balancer();
    let (mut lost, mut served, mut open) = (0, 0, 0_u32);
    let mut busy: Vec<(u64, TimePoint)> = Vec::new();
    for now_ms in 0..2_000_u64 {
        let now = at(now_ms);
        let ended: Vec<_> = busy.extract_if(.., |it| it.0 <= now_ms).collect();
        for (_, started) in ended {
            balancer.end_call(upstream(0), started);
            balancer.record_connection_accepted(now, upstream(0));
            served += 1;
        }
        // Two calls arrive at once, ten times per second.
        for _ in 0..if now_ms % 100 == 0 { 2 } else { 0 } {
            if acquire_first(&balancer, now).is_err() {
                continue;
            }
            if busy.is_empty() {
                open = open.max(1);
                balancer.record_connections(upstream(0), open);
                busy.push((now_ms + 20, now));
            } else {
                balancer.record_connections(upstream(0), open + 1);
                balancer.record_new_connection_failed(now, upstream(0));
                balancer.end_call(upstream(0), now);
                balancer.record_connections(upstream(0), open);
                lost += 1;
            }
        }
    }

    expect_that!(served, eq(20));
    expect_that!(lost, le(4));
}

/// A dial that fails without any other connection shows an upstream that is down, not one at its
/// connection limit; it must not reduce the number of connections after it is back.
#[gtest]
fn failed_first_dial_does_not_reduce_the_connection_limit() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let before = balancer.max_connections(upstream(0));
    balancer.record_connections(upstream(0), 1);

    balancer.record_connect(at(1), upstream(0), None);
    balancer.record_connections(upstream(0), 0);

    expect_that!(balancer.max_connections(upstream(0)), eq(before));
}

/// A call may be withdrawn some time after it was acquired.
#[gtest]
fn withdrawn_call_releases_its_connection_at_any_time() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let mut last = None;
    for now in 0.. {
        if acquire_first(&balancer, at(now)).is_err() {
            break;
        }
        last = Some(now);
    }
    expect_that!(last, some(ge(1)));

    let outcome = CallOutcome::Withdrawn;
    balancer.record_outcome(at(50), upstream(0), outcome, &latency_estimate());

    expect_that!(acquire_first(&balancer, at(51)), eq(Ok(upstream(0))));
    expect_that!(acquire_first(&balancer, at(52)), eq(saturated()));
}

/// Refuses the only connection to an upstream.
fn refuse_connection(balancer: &TestBalancer, now: u64, idx: u16) {
    balancer.record_connections(upstream(idx), 1);
    balancer.record_new_connection_failed(at(now), upstream(idx));
    balancer.record_connections(upstream(idx), 0);
}

/// After the loss of all nodes, upstreams hold the connections of the lost processes for seconds and
/// refuse most new ones. Calls go where a connection is accepted, instead of to the upstream that
/// costs least and refuses again.
#[gtest]
fn upstream_that_refused_its_only_connection_is_left_for_another() {
    let balancer = balancer(&[record(0, OWN_ZONE), record(1, OTHER_ZONE)]);
    refuse_connection(&balancer, 0, 0);

    let chosen: Vec<_> = (1..20).map(|it| acquire_first(&balancer, at(it))).collect();

    let is_refusing = |it: &&Result<UpstreamId, AcquireError>| **it == Ok(upstream(0));
    expect_that!(chosen.iter().filter(is_refusing).count(), eq(0));
    expect_that!(acquire_first(&balancer, at(60)), ok(eq(upstream(0))));
}

/// A call that every upstream refuses waits for the time of the next attempt, instead of failing or
/// dialing all the time.
#[gtest]
fn call_waits_while_all_upstreams_refuse_connections() {
    let balancer = balancer(&[record(0, OWN_ZONE), record(1, OTHER_ZONE)]);
    refuse_connection(&balancer, 0, 0);
    refuse_connection(&balancer, 10, 1);

    let refused = acquire_first(&balancer, at(15));

    expect_that!(refused, eq(Err(AcquireError::Saturated { retry_after: ms(10) })));
    expect_that!(acquire_first(&balancer, at(25)), ok(eq(upstream(0))));
}

/// A call without a connection reaches no upstream, so the call that replaces it is the first one.
#[gtest]
fn call_that_replaces_an_unsent_one_needs_no_budget() {
    let budget = RetryBudget::started(TimePoint::ZERO, true);
    let balancer = TestBalancer::with_retry_budget(limits(), OWN_ZONE.into(), budget);
    balancer.set_upstreams(TimePoint::ZERO, &[&record(0, OWN_ZONE), &record(1, OTHER_ZONE)]);
    let acquire = |now, kind| {
        let excluded = [upstream(0)];
        balancer.acquire(at(now), &excluded, kind, &latency_estimate(), NO_LATENCY_LIMIT)
    };
    while acquire(1, CallKind::Retry).is_ok() {
        balancer.end_call(upstream(1), at(1));
    }

    expect_that!(acquire(2, CallKind::Resend), ok(eq(upstream(1))));
    balancer.end_call(upstream(1), at(2));
    expect_that!(acquire(3, CallKind::Retry), eq(Err(AcquireError::BudgetExhausted)));
}
