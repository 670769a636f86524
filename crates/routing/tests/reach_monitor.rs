//! When a node probes upstreams, and when it takes itself for cut from all of them.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_model::{TimePoint, UpstreamId};
use mux_routing::reach::{ContactFailure, ProbeReason, ProbeResult, ReachChange, ReachMonitor};

const KNOWN: usize = 12;

fn upstream(idx: u16) -> UpstreamId {
    UpstreamId(SocketAddr::from(([10, 0, 0, 1], idx)))
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Returns a monitor with a contact at 1 s and `count` failures afterwards.
fn failing(count: u16, failure: ContactFailure) -> ReachMonitor {
    let mut monitor = ReachMonitor::default();
    monitor.on_connected(at(1_000));
    (0..count).for_each(|it| monitor.on_failure(upstream(it), failure));
    monitor
}

/// Returns a monitor that is cut from 1.2 s on.
fn cut() -> ReachMonitor {
    let mut monitor = failing(3, ContactFailure::Lost);
    let reason = ProbeReason::NoContact;
    monitor.on_probe(at(1_200), at(1_100), reason, ProbeResult::ReachedByPeers);
    monitor
}

fn return_probe(
    monitor: &mut ReachMonitor,
    millis: u64,
    result: ProbeResult,
) -> Option<ReachChange> {
    monitor.on_probe(at(millis), at(millis - 10), ProbeReason::Return, result)
}

#[gtest]
fn one_failed_upstream_is_no_reason_to_probe() {
    let monitor = failing(1, ContactFailure::Lost);

    expect_that!(monitor.due_probe(at(5_000), KNOWN), none());
    expect_false!(monitor.is_suspect(KNOWN));
}

#[gtest]
fn lost_connections_are_probed_at_once_and_silent_calls_after_a_while() {
    let lost = failing(3, ContactFailure::Lost);
    let silent = failing(3, ContactFailure::Silent);

    expect_that!(lost.due_probe(at(1_001), KNOWN), some(eq(ProbeReason::NoContact)));
    expect_that!(silent.due_probe(at(1_001), KNOWN), none());
    expect_that!(silent.due_probe(at(1_100), KNOWN), some(eq(ProbeReason::NoContact)));
}

#[gtest]
fn node_with_one_known_upstream_probes_after_its_failure() {
    let monitor = failing(1, ContactFailure::Lost);

    expect_that!(monitor.due_probe(at(1_001), 1), some(eq(ProbeReason::NoContact)));
}

/// An overloaded or slow zone still replies now and then.
#[gtest]
fn reply_ends_the_suspicion() {
    let mut monitor = failing(8, ContactFailure::Silent);

    monitor.on_reply(at(1_050));

    expect_that!(monitor.due_probe(at(9_000), KNOWN), none());
}

#[gtest]
fn refused_connections_are_probed_although_open_ones_reply() {
    let mut monitor = failing(3, ContactFailure::Refused);

    monitor.on_reply(at(1_050));

    expect_that!(monitor.due_probe(at(1_051), KNOWN), some(eq(ProbeReason::NoNewConnections)));
}

/// If all upstreams of a service or of the platform are down, peers do not reach them either.
#[gtest]
fn outage_of_upstreams_is_no_cut() {
    for result in [ProbeResult::Unreached, ProbeResult::Reached] {
        let mut monitor = failing(8, ContactFailure::Refused);

        let change = monitor.on_probe(at(1_200), at(1_100), ProbeReason::NoContact, result);

        expect_that!(change, none(), "{result:?}");
        expect_false!(monitor.is_cut());
        expect_that!(monitor.due_probe(at(1_300), KNOWN), none(), "{result:?}: probes pause");
    }
}

#[gtest]
fn node_is_cut_if_only_peers_reach_upstreams() {
    let mut monitor = failing(3, ContactFailure::Lost);

    let reason = ProbeReason::NoContact;
    let change = monitor.on_probe(at(1_200), at(1_100), reason, ProbeResult::ReachedByPeers);

    expect_that!(change, some(eq(ReachChange::Cut)));
    expect_true!(monitor.is_cut());
}

/// In a slow zone, connections of the probe are not established in time, but replies arrive.
#[gtest]
fn reply_during_the_probe_shows_that_the_node_is_not_cut() {
    let mut monitor = failing(3, ContactFailure::Silent);
    monitor.on_reply(at(1_150));

    let reason = ProbeReason::NoContact;
    let change = monitor.on_probe(at(1_400), at(1_100), reason, ProbeResult::ReachedByPeers);

    expect_that!(change, none());
}

#[gtest]
fn cut_ends_after_two_probes_in_a_row_that_reach_upstreams() {
    let mut monitor = cut();

    expect_that!(return_probe(&mut monitor, 1_500, ProbeResult::Reached), none());
    expect_that!(return_probe(&mut monitor, 1_750, ProbeResult::Unreached), none());
    expect_that!(return_probe(&mut monitor, 2_000, ProbeResult::Reached), none());
    let change = return_probe(&mut monitor, 2_200, ProbeResult::Reached);

    expect_that!(change, some(eq(ReachChange::Returned(Duration::from_secs(1)))));
    expect_false!(monitor.is_cut());
    expect_that!(monitor.due_probe(at(9_000), KNOWN), none());
}

/// Replies on open connections do not end a cut by which new ones are refused.
#[gtest]
fn reply_does_not_end_a_cut() {
    let mut monitor = cut();

    monitor.on_reply(at(1_300));

    expect_true!(monitor.is_cut());
    expect_that!(monitor.due_probe(at(1_450), KNOWN), some(eq(ProbeReason::Return)));
}

/// A link that comes and goes would move callers to and fro.
#[gtest]
fn cut_soon_after_another_one_needs_more_probes_to_end() {
    let mut monitor = cut();
    return_probe(&mut monitor, 1_500, ProbeResult::Reached);
    return_probe(&mut monitor, 1_750, ProbeResult::Reached);
    (0..3).for_each(|it| monitor.on_failure(upstream(it), ContactFailure::Lost));
    let reason = ProbeReason::NoContact;
    monitor.on_probe(at(2_200), at(2_100), reason, ProbeResult::ReachedByPeers);

    let probes = [2_500, 2_750, 3_000, 3_250];
    let changes = probes.map(|it| return_probe(&mut monitor, it, ProbeResult::Reached));

    expect_that!(&changes[..3], each(none()));
    expect_that!(changes[3], some(anything()));
}
