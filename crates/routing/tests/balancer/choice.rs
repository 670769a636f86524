//! Which upstream of a service is called.

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, PATIENT, at, balancer, first, ms, pace, record, reply, upstream,
};

const ROUNDS: u64 = 100;

/// Makes calls one after another, each answered after 10 ms, and returns where they went.
fn chosen(balancer: &mux_routing::balancer::ServiceBalancer, from: u64) -> Vec<UpstreamId> {
    let call = |round: u64| {
        let started = from + round * 20;
        let chosen = first(balancer, at(started)).expect("an upstream is free");
        reply(balancer, chosen, started, started + 10);
        chosen
    };
    (0..ROUNDS).map(call).collect()
}

#[gtest]
fn equal_upstreams_of_the_own_zone_go_first() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE), record(2, OTHER_ZONE)]);

    expect_that!(chosen(&balancer, 0), each(eq(&upstream(1))));
}

#[gtest]
fn another_zone_is_used_when_the_own_upstream_is_far_slower() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let mut to_own = Vec::new();
    for round in 0..ROUNDS {
        let started = round * 120;
        let chosen = first(&balancer, at(started)).expect("an upstream is free");
        let latency = if chosen == upstream(1) { 100 } else { 10 };
        reply(&balancer, chosen, started, started + latency);
        to_own.push(chosen == upstream(1));
    }

    // It is tried again now and then, as it may have become faster.
    let own = to_own[10..].iter().filter(|it| **it).count();
    expect_that!(own, le(to_own.len() / 10));
}

/// All upstreams pause for 100 ms now and then; a call that is late shows it before any time-out.
#[gtest]
fn paused_upstream_is_avoided_while_a_call_there_is_late_and_used_again_after() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let stuck = first(&balancer, at(0)).expect("both are free");
    expect_that!(stuck, eq(upstream(1)));

    let before = first(&balancer, at(15)).expect("both are free");
    balancer.end_call(before, at(15));
    let during: Vec<_> = (30..100).step_by(10).map(|it| first(&balancer, at(it))).collect();
    reply(&balancer, stuck, 0, 100);

    expect_that!(before, eq(upstream(1)));
    // Three connections fit to the other one; after that the late one is better than none.
    expect_that!(during[..3], each(eq(&Ok(upstream(0)))));
}

#[gtest]
fn upstream_that_left_calls_unanswered_is_suspect_until_it_replies() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let stuck = first(&balancer, at(0)).expect("both are free");
    balancer.record(at(70), stuck, CallOutcome::Cancelled(ms(70)), &pace());
    balancer.end_call(stuck, at(0));

    let suspected = first(&balancer, at(80)).expect("both are free");
    balancer.end_call(suspected, at(80));
    balancer.record_late_reply(at(90), stuck, ms(20), &pace());
    let trusted = first(&balancer, at(100)).expect("both are free");

    expect_that!(suspected, eq(upstream(0)));
    expect_that!(trusted, eq(upstream(1)));
}

#[gtest]
fn hedge_cancelled_early_says_nothing() {
    let balancer = balancer(&[record(0, OTHER_ZONE), record(1, OWN_ZONE)]);
    let chosen = first(&balancer, at(0)).expect("both are free");
    balancer.record(at(12), chosen, CallOutcome::Cancelled(ms(12)), &pace());
    balancer.end_call(chosen, at(0));

    expect_that!(first(&balancer, at(20)), eq(Ok(upstream(1))));
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
            balancer.record(at(round), upstream(1), CallOutcome::Failed(failure, ms(1)), &pace());
        }

        expect_that!(first(&balancer, at(10)), eq(Ok(upstream(0))), "{failure}");
    }
}

#[gtest]
fn upstream_that_cannot_be_dialled_is_left_alone_for_a_growing_time() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);

    balancer.record_dial(at(0), upstream(0), None);
    expect_that!(first(&balancer, at(79)), eq(Err(AcquireError::NoReplica)));
    expect_that!(first(&balancer, at(81)), eq(Ok(upstream(0))));
    balancer.record_dial(at(100), upstream(0), None);
    expect_that!(first(&balancer, at(259)), eq(Err(AcquireError::NoReplica)));
    balancer.record_dial(at(261), upstream(0), Some(ms(6)));
    expect_that!(first(&balancer, at(262)), eq(Ok(upstream(0))));
}

#[gtest]
fn connections_are_shared_with_the_other_nodes() {
    let cases = [(None, 1, 9), (Some(26), 1, 9), (Some(26), 7, 3), (Some(26), 70, 1)];
    for (limit, nodes, expected) in cases {
        let balancer = balancer(&[record(0, OWN_ZONE)]);
        balancer.set_limits(limit, nodes);

        let calls = (0..20).take_while(|it| first(&balancer, at(*it / 10)).is_ok()).count();

        expect_that!(calls, eq(expected), "limit {limit:?}, {nodes} nodes");
        expect_that!(balancer.connection_share(upstream(0)), eq(expected as u32));
    }
}

#[gtest]
fn excluded_and_removed_upstreams_are_not_called() {
    let records = [record(0, OWN_ZONE), record(1, OWN_ZONE)];
    let balancer = balancer(&records);
    let excluded = [upstream(0)];

    let other = balancer.acquire(at(0), &excluded, CallKind::Retry, &pace(), PATIENT);
    balancer.set_upstreams(at(1), &[&records[0]]);
    let gone = balancer.acquire(at(2), &excluded, CallKind::Retry, &pace(), PATIENT);

    expect_that!(other, eq(Ok(upstream(1))));
    expect_that!(gone, eq(Err(AcquireError::NoReplica)));
    expect_that!(balancer.instance(upstream(1)), none());
}

#[gtest]
fn call_that_was_never_sent_gives_its_connection_back() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    balancer.set_limits(Some(26), 70);
    let chosen = first(&balancer, at(5)).expect("the connection is free");

    balancer.record(at(5), chosen, CallOutcome::Withdrawn, &pace());

    expect_that!(first(&balancer, at(6)), eq(Ok(chosen)));
}
