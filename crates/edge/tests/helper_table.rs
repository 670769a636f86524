//! Selection of the node that serves the requests of one that is cut from all upstreams.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_edge::{HelperRefusal, HelperTable};
use mux_model::{FastMap, NodeId, TimePoint};
use mux_placement::RelayPeer;

const NOW: TimePoint = TimePoint::from_millis(10_000);

fn name(idx: u16) -> NodeId {
    NodeId::from(format!("node-{idx}"))
}

/// Returns helpers of which the first `near` are in the zone of the cut node.
fn helpers(count: u16, near: u16) -> Vec<RelayPeer> {
    let helper = |idx| RelayPeer {
        node: name(idx),
        address: SocketAddr::from(([10, 0, 0, 1], idx)),
        is_near: idx < near,
        is_preferred: idx < near,
    };
    (0..count).map(helper).collect()
}

/// Sends `count` requests that do not end, and returns how many each helper received.
fn send(table: &mut HelperTable, helpers: &[RelayPeer], count: usize) -> FastMap<NodeId, u32> {
    let mut received: FastMap<NodeId, u32> = FastMap::default();
    for _ in 0..count {
        let helper = table.choose(NOW, helpers, &[]).expect("a helper");
        table.on_request(&helper.node);
        *received.entry(helper.node).or_default() += 1;
    }
    received
}

#[gtest]
fn near_helpers_come_first() {
    let mut table = HelperTable::default();

    let received = send(&mut table, &helpers(6, 2), 8);

    expect_that!(received.keys().collect::<Vec<_>>(), each(any![eq(&&name(0)), eq(&&name(1))]));
}

/// If most nodes of a zone are cut, the last one must not get all of their requests.
#[gtest]
fn load_beyond_the_near_helpers_is_spread_over_the_others() {
    let mut table = HelperTable::default();

    let received = send(&mut table, &helpers(9, 1), 48);

    let most = received.values().max().copied();
    expect_that!(received.len(), eq(9));
    expect_that!(most, some(le(7)));
}

/// Other nodes may have been cut at the same moment, without having found out.
#[gtest]
fn helpers_that_reach_upstreams_come_before_others() {
    let mut table = HelperTable::default();
    table.on_reach(NOW, &name(4), true);

    let received = send(&mut table, &helpers(6, 3), 4);

    expect_that!(received.keys().collect::<Vec<_>>(), elements_are![eq(&&name(4))]);
    let later = NOW + Duration::from_secs(3);
    expect_that!(table.unverified(later, &helpers(6, 3)).len(), eq(6));
}

#[gtest]
fn helper_that_refused_is_passed_over_for_a_while() {
    for (refusal, penalty_ms) in [(HelperRefusal::Silent, 1_000), (HelperRefusal::Unable, 1_000)] {
        let mut table = HelperTable::default();
        let only = helpers(1, 1);

        table.on_refusal(NOW, &name(0), refusal);

        let penalty = Duration::from_millis(penalty_ms);
        expect_that!(table.choose(NOW, &only, &[]), none(), "{refusal:?}");
        expect_that!(table.choose(NOW + penalty, &only, &[]), some(anything()), "{refusal:?}");
    }
}

/// The only helper may refuse requests of one route, and has to get those of the others.
#[gtest]
fn busy_helper_comes_after_others_but_is_not_passed_over() {
    let mut table = HelperTable::default();
    let both = helpers(2, 1);

    table.on_refusal(NOW, &name(0), HelperRefusal::Busy);

    let chosen =
        |moment, helpers: &[RelayPeer]| table.choose(moment, helpers, &[]).map(|it| it.node);
    expect_that!(chosen(NOW, &both), some(eq(&name(1))));
    expect_that!(chosen(NOW, &both[..1]), some(eq(&name(0))));
    expect_that!(chosen(NOW + Duration::from_millis(100), &both), some(eq(&name(0))));
}

#[gtest]
fn helper_is_tried_once_for_a_request() {
    let table = HelperTable::default();

    expect_that!(table.choose(NOW, &helpers(2, 2), &[name(0), name(1)]), none());
}

#[gtest]
fn ended_requests_count_no_more() {
    let mut table = HelperTable::default();
    let near = helpers(2, 1);
    send(&mut table, &near, 6);

    (0..6).for_each(|_| table.on_end(&name(0)));

    let next = table.choose(NOW, &near, &[]).map(|it| it.node);
    expect_that!(next, some(eq(&name(0))));
}
