//! The nodes that share limits.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_model::{NodeId, TimePoint};
use mux_placement::{NodeRecord, SharingNodes};

const HOLD_TIME: Duration = Duration::from_secs(15);

fn record(idx: u16, zone: &str) -> NodeRecord {
    let callers = SocketAddr::from(([10, 0, 0, 1], 7_000 + idx));
    NodeRecord {
        node: NodeId::from(format!("node-{idx}")),
        availability_zone: zone.into(),
        region: "bayern".to_owned(),
        callers,
        link_mbps: 140.0,
        relay_endpoint: None,
        is_cut: false,
    }
}

/// Callers may use a node for a while after it is no longer advertised.
#[gtest]
fn node_that_is_no_longer_advertised_is_counted_for_a_while() {
    let records = [record(0, "a"), record(1, "a"), record(2, "b")];
    let mut nodes = SharingNodes::default();
    nodes.update(TimePoint::from_millis(1_000), records.iter(), HOLD_TIME);

    nodes.update(TimePoint::from_millis(16_000), records[..1].iter(), HOLD_TIME);
    expect_that!(nodes.count_by_zone(&records[0])[&"b".into()], eq(1));
    nodes.update(TimePoint::from_millis(16_001), records[..1].iter(), HOLD_TIME);

    let counts = nodes.count_by_zone(&records[0]);
    expect_that!(counts.len(), eq(1));
    expect_that!(counts[&"a".into()], eq(1));
}

#[gtest]
fn own_node_is_counted_although_it_is_not_advertised() {
    let records = [record(0, "a"), record(1, "a")];
    let mut nodes = SharingNodes::default();
    nodes.update(TimePoint::ZERO, records[1..].iter(), HOLD_TIME);

    expect_that!(nodes.count_by_zone(&records[0])[&"a".into()], eq(2));
    expect_that!(nodes.count_by_zone(&record(2, "c"))[&"c".into()], eq(1));
}

/// A node that restarts keeps its name.
#[gtest]
fn node_that_restarts_is_counted_once() {
    let mut nodes = SharingNodes::default();
    nodes.update(TimePoint::ZERO, [record(0, "a")].iter(), HOLD_TIME);

    nodes.update(TimePoint::from_millis(500), [record(0, "a")].iter(), HOLD_TIME);

    expect_that!(nodes.len(), eq(1));
}
