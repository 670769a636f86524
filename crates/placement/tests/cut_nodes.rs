//! Nodes that are cut from all upstreams, in address answers and as helpers.

use std::net::SocketAddr;

use googletest::prelude::*;
use mux_model::NodeId;
use mux_placement::{NodeRecord, NodeRegistry, RelayEndpoint};

const FAST: f64 = 140.0;
const SLOW: f64 = 14.0;

fn address(idx: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + idx))
}

fn record(idx: u16, zone: &str, link_mbps: f64, is_cut: bool) -> NodeRecord {
    NodeRecord {
        node: NodeId::from(format!("node-{idx}")),
        availability_zone: zone.into(),
        region: "bayern".to_owned(),
        callers: address(idx),
        link_mbps,
        relay_endpoint: Some(RelayEndpoint::new(SocketAddr::from(([10, 0, 0, 1], 9_000 + idx)))),
        is_cut,
    }
}

/// Creates the registry of the first node.
fn registry(records: &[NodeRecord]) -> NodeRegistry {
    let mut registry = NodeRegistry::new(records[0].clone());
    for record in &records[1..] {
        registry.on_record(record.clone());
    }
    registry
}

fn helper_names(registry: &NodeRegistry) -> Vec<String> {
    registry.helpers().into_iter().map(|it| it.node.as_str().to_owned()).collect()
}

#[gtest]
fn callers_are_directed_to_slow_nodes_before_cut_ones() {
    let registry = registry(&[
        record(0, "a", FAST, true),
        record(1, "a", FAST, true),
        record(2, "a", SLOW, false),
        record(3, "a", SLOW, false),
    ]);

    let mut answer = registry.addresses_for("a", "bayern");
    answer.sort_unstable();

    expect_that!(answer, eq(&vec![address(2), address(3)]));
    expect_that!(registry.advertised_count(), eq(2));
}

#[gtest]
fn callers_of_a_cut_zone_are_directed_to_other_zones() {
    let registry = registry(&[
        record(0, "a", FAST, true),
        record(1, "a", FAST, true),
        record(2, "b", FAST, false),
        record(3, "c", FAST, false),
    ]);

    let mut answer = registry.addresses_for("a", "bayern");
    answer.sort_unstable();

    expect_that!(answer, eq(&vec![address(2), address(3)]));
}

/// Without any other node, callers still need addresses.
#[gtest]
fn cut_nodes_are_advertised_if_all_are_cut() {
    let registry = registry(&[record(0, "a", FAST, true), record(1, "a", FAST, true)]);

    expect_that!(registry.addresses_for("a", "bayern").len(), eq(2));
}

#[gtest]
fn own_cut_changes_the_answers_of_the_node_itself() {
    let mut registry = registry(&[record(0, "a", FAST, false), record(1, "a", FAST, false)]);
    registry.on_record(record(2, "a", FAST, false));

    registry.set_cut(true);

    let mut answer = registry.addresses_for("a", "bayern");
    answer.sort_unstable();
    expect_that!(answer, eq(&vec![address(1), address(2)]));
    expect_true!(registry.own_record().is_cut);
}

#[gtest]
fn helpers_are_the_nodes_that_are_not_cut_advertised_ones_first() {
    let registry = registry(&[
        record(0, "a", FAST, true),
        record(1, "a", SLOW, false),
        record(2, "a", FAST, true),
        record(3, "b", FAST, false),
        record(4, "c", FAST, false),
    ]);

    let names = helper_names(&registry);

    expect_that!(names.len(), eq(3));
    expect_that!(names[2].as_str(), eq("node-1"));
    expect_that!(registry.cut_count(), eq(1));
}

/// Messages of another version could be taken for others.
#[gtest]
fn node_of_another_version_is_no_helper() {
    let mut registry = registry(&[record(0, "a", FAST, true), record(1, "a", FAST, false)]);
    let json = serde_json::to_value(record(2, "a", FAST, false)).expect("a record");
    let with_endpoint = |endpoint| {
        let mut json = json.clone();
        json["relay_endpoint"] = endpoint;
        serde_json::from_value::<NodeRecord>(json).expect("a record")
    };

    for endpoint in [
        serde_json::Value::Null,
        serde_json::json!({ "address": "10.0.0.1:9002", "protocol": 1 }),
        serde_json::json!({ "address": "10.0.0.1:9002", "protocol": 77 }),
    ] {
        registry.on_record(with_endpoint(endpoint));

        expect_that!(helper_names(&registry), elements_are![eq("node-1")]);
        expect_that!(registry.relay_peers().len(), eq(1));
    }
}

/// Entries of earlier builds have neither field.
#[gtest]
fn record_of_an_earlier_build_is_read() {
    let json = serde_json::json!({
        "node": "node-1", "availability_zone": "a", "region": "bayern",
        "callers": "10.0.0.1:7001", "link_mbps": 140.0, "relay": "10.0.0.1:9001",
    });

    let record: NodeRecord = serde_json::from_value(json).expect("a record");

    expect_false!(record.is_cut);
    expect_that!(record.relay_endpoint, none());
}

/// A cut node must not keep nodes that are not cut from announcing themselves.
#[gtest]
fn node_is_announced_if_those_before_it_are_cut() {
    let own = record(0, "a", SLOW, false);
    let mut registry = registry(&[own]);
    (1..9).for_each(|it| _ = registry.on_record(record(it, "a", FAST, false)));
    expect_false!(registry.must_announce(false));

    (1..9).for_each(|it| _ = registry.on_record(record(it, "a", FAST, true)));

    expect_true!(registry.must_announce(false));
}
