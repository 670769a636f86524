//! The nodes that share limits.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::{AvailabilityZone, FastMap, NodeId, TimePoint};
use mux_sharing::SharingNodes;

const HOLD_TIME: Duration = Duration::from_secs(15);

type Node = (NodeId, AvailabilityZone);

fn node(idx: u16, zone: &str) -> Node {
    (NodeId::from(format!("node-{idx}")), zone.into())
}

fn advertise(nodes: &mut SharingNodes, now: TimePoint, advertised: &[Node]) {
    nodes.update(now, advertised.iter().map(|(node, zone)| (node, zone)), HOLD_TIME);
}

fn count_by_zone(nodes: &SharingNodes, (own, zone): &Node) -> FastMap<AvailabilityZone, u32> {
    nodes.count_by_zone(own, zone)
}

/// Callers may use a node for a while after it is no longer advertised.
#[gtest]
fn node_that_is_no_longer_advertised_is_counted_for_a_while() {
    let known = [node(0, "a"), node(1, "a"), node(2, "b")];
    let mut nodes = SharingNodes::default();
    advertise(&mut nodes, TimePoint::from_millis(1_000), &known);

    advertise(&mut nodes, TimePoint::from_millis(16_000), &known[..1]);
    expect_that!(count_by_zone(&nodes, &known[0])[&"b".into()], eq(1));
    advertise(&mut nodes, TimePoint::from_millis(16_001), &known[..1]);

    let counts = count_by_zone(&nodes, &known[0]);
    expect_that!(counts.len(), eq(1));
    expect_that!(counts[&"a".into()], eq(1));
}

#[gtest]
fn own_node_is_counted_although_it_is_not_advertised() {
    let known = [node(0, "a"), node(1, "a")];
    let mut nodes = SharingNodes::default();
    advertise(&mut nodes, TimePoint::ZERO, &known[1..]);

    expect_that!(count_by_zone(&nodes, &known[0])[&"a".into()], eq(2));
    expect_that!(count_by_zone(&nodes, &node(2, "c"))[&"c".into()], eq(1));
}

/// A node that restarts keeps its name.
#[gtest]
fn node_that_restarts_is_counted_once() {
    let mut nodes = SharingNodes::default();
    advertise(&mut nodes, TimePoint::ZERO, &[node(0, "a")]);

    advertise(&mut nodes, TimePoint::from_millis(500), &[node(0, "a")]);

    expect_that!(nodes.len(), eq(1));
}
