//! Choice of the upstream for a call.

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome};

use crate::fixtures::{
    NO_LATENCY_LIMIT, OTHER_ZONE, OWN_ZONE, acquire_first, at, balancer, latency_estimate, ms,
    record, reply, upstream,
};
use crate::test_balancer::TestBalancer;

const ROUNDS: u64 = 100;

/// Makes sequential calls, each answered after 10 ms, and returns the chosen upstreams.
fn chosen_upstreams(balancer: &TestBalancer, from: u64) -> Vec<UpstreamId> {
    let call = |round: u64| {
        let started = from + round * 20;
        let chosen = acquire_first(balancer, at(started)).expect("an upstream is free");
        reply(balancer, chosen, started, started + 10);
        chosen
    };
    (0..ROUNDS).map(call).collect()
}

#[gtest]
fn upstreams_in_own_zone_are_preferred_when_equal() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE), record(2, OTHER_ZONE)]);

    expect_that!(chosen_upstreams(&balancer, 0), each(eq(&upstream(1))));
}

#[gtest]
fn other_zone_is_used_if_own_zone_is_much_slower() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let mut to_own = Vec::new();
    for round in 0..ROUNDS {
        let started = round * 120;
        let chosen = acquire_first(&balancer, at(started)).expect("an upstream is free");
        let latency = if chosen == upstream(1) { 100 } else { 10 };
        reply(&balancer, chosen, started, started + latency);
        to_own.push(chosen == upstream(1));
    }

    // The slow upstream is retried occasionally, as it may have become faster.
    let own_zone_count = to_own[10..].iter().filter(|it| **it).count();
    expect_that!(own_zone_count, le(to_own.len() / 10));
}

/// Upstreams occasionally stall for 100 ms; a late call shows it before any timeout.
#[gtest]
fn stalled_upstream_is_avoided_while_a_call_is_late() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let stuck = acquire_first(&balancer, at(0)).expect("both are free");
    expect_that!(stuck, eq(upstream(1)));

    let before = acquire_first(&balancer, at(15)).expect("both are free");
    balancer.end_call(before, at(15));
    let during: Vec<_> = (30..100).step_by(10).map(|it| acquire_first(&balancer, at(it))).collect();
    reply(&balancer, stuck, 0, 100);

    expect_that!(before, eq(upstream(1)));
    // From the fourth call on, the other upstream has late calls as well.
    expect_that!(during[..3], each(eq(&Ok(upstream(0)))));
}

#[gtest]
fn upstream_with_unanswered_call_is_suspect_until_it_replies() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let stuck = acquire_first(&balancer, at(0)).expect("both are free");
    balancer.record_outcome(at(70), stuck, CallOutcome::Cancelled(ms(70)), &latency_estimate());
    balancer.end_call(stuck, at(0));

    let chosen_while_suspect = acquire_first(&balancer, at(80)).expect("both are free");
    balancer.end_call(chosen_while_suspect, at(80));
    balancer.record_late_reply(at(90), stuck, ms(20), &latency_estimate());
    let chosen_after_reply = acquire_first(&balancer, at(100)).expect("both are free");

    expect_that!(chosen_while_suspect, eq(upstream(0)));
    expect_that!(chosen_after_reply, eq(upstream(1)));
}

#[gtest]
fn early_cancelled_call_does_not_make_upstream_suspect() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let chosen = acquire_first(&balancer, at(0)).expect("both are free");
    balancer.record_outcome(at(12), chosen, CallOutcome::Cancelled(ms(12)), &latency_estimate());
    balancer.end_call(chosen, at(0));

    expect_that!(acquire_first(&balancer, at(20)), eq(Ok(upstream(1))));
}

#[gtest]
fn failing_upstream_is_avoided() {
    let failures = [
        CallFailure::ConnectionLost,
        CallFailure::UpstreamError,
        CallFailure::BadReply,
        CallFailure::NotRun { reason: NotRunReason::Shed, retry_after: None },
    ];
    for failure in failures {
        let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
        for round in 0..4 {
            let excluded = [upstream(0)];
            let estimate = latency_estimate();
            let called = balancer.acquire(
                at(round),
                &excluded,
                CallKind::First,
                &estimate,
                NO_LATENCY_LIMIT,
            );
            expect_that!(called, eq(Ok(upstream(1))));
            balancer.end_call(upstream(1), at(round));
            let outcome = CallOutcome::Failed(failure, ms(1));
            balancer.record_outcome(at(round), upstream(1), outcome, &estimate);
        }

        expect_that!(acquire_first(&balancer, at(10)), eq(Ok(upstream(0))), "{failure}");
    }
}

#[gtest]
fn failed_dials_back_off_exponentially() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);

    balancer.record_connect(at(0), upstream(0), None);
    expect_that!(acquire_first(&balancer, at(79)), eq(Err(AcquireError::NoReplica)));
    expect_that!(acquire_first(&balancer, at(81)), eq(Ok(upstream(0))));
    balancer.record_connect(at(100), upstream(0), None);
    expect_that!(acquire_first(&balancer, at(259)), eq(Err(AcquireError::NoReplica)));
    balancer.record_connect(at(261), upstream(0), Some(ms(6)));
    expect_that!(acquire_first(&balancer, at(262)), eq(Ok(upstream(0))));
}

#[gtest]
fn connection_limit_is_divided_among_nodes() {
    let cases = [(None, 1, 9), (Some(26), 1, 9), (Some(26), 7, 3), (Some(26), 70, 1)];
    for (limit, nodes, expected) in cases {
        let balancer = balancer(&[record(0, OWN_ZONE)]);
        balancer.set_limits(limit, nodes);

        let calls = (0..20).take_while(|it| acquire_first(&balancer, at(*it / 10)).is_ok()).count();

        expect_that!(calls, eq(expected), "limit {limit:?}, {nodes} nodes");
        expect_that!(balancer.max_connections(upstream(0)), eq(expected as u32));
    }
}

#[gtest]
fn excluded_and_removed_upstreams_are_not_called() {
    let records = [record(0, OWN_ZONE), record(1, OWN_ZONE)];
    let balancer = balancer(&records);
    let excluded = [upstream(0)];

    let other =
        balancer.acquire(at(0), &excluded, CallKind::Retry, &latency_estimate(), NO_LATENCY_LIMIT);
    balancer.set_upstreams(at(1), &[&records[0]]);
    let removed =
        balancer.acquire(at(2), &excluded, CallKind::Retry, &latency_estimate(), NO_LATENCY_LIMIT);

    expect_that!(other, eq(Ok(upstream(1))));
    expect_that!(removed, eq(Err(AcquireError::NoReplica)));
    expect_that!(balancer.instance(upstream(1)), none());
}

#[gtest]
fn withdrawn_call_releases_its_connection() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    balancer.set_limits(Some(26), 70);
    let chosen = acquire_first(&balancer, at(5)).expect("the connection is free");

    balancer.record_outcome(at(5), chosen, CallOutcome::Withdrawn, &latency_estimate());

    expect_that!(acquire_first(&balancer, at(6)), eq(Ok(chosen)));
}
