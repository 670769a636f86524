//! Draining of upstreams under load.

use googletest::prelude::*;
use proofs::{
    Installation, LeafProcess, QueryLoad, QueryRequest, long_deadline_service, start_in_zones,
    start_leaf_with_all_shards, wait_until,
};
use serde_json::json;

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 7; // One of them watches no store and is updated by gossip.
const QUERY_COUNT: usize = 60; // At 10 ms each, longer than several upstream status polls (200 ms).

/// An upstream that reports itself as draining receives no new calls and completes those in flight.
#[gtest]
#[tokio::test]
async fn draining_upstream_receives_no_new_calls() {
    let (installation, drained, _other) = start_with_two_leaves().await;
    let load = QueryLoad::start(&installation, &caller_addresses(&installation), SERVICE);
    load.wait_for_completed_queries(20).await;

    drained.set_behaviour(&json!({ "draining": true })).await;

    wait_until_draining(&installation, &drained).await;
    expect_that!(load.stop().await, is_empty());
    expect_no_new_calls(&installation, &drained).await;
}

/// An upstream whose VM is listed as `leaving` receives no new calls, although it reports itself
/// as not draining.
#[gtest]
#[tokio::test]
async fn upstream_on_a_leaving_vm_receives_no_new_calls() {
    let (installation, drained, _other) = start_with_two_leaves().await;
    let load = QueryLoad::start(&installation, &caller_addresses(&installation), SERVICE);
    load.wait_for_completed_queries(20).await;

    set_upstream_vm_state(&installation, &drained, "leaving").await;

    wait_until_draining(&installation, &drained).await;
    expect_that!(load.stop().await, is_empty());
    expect_no_new_calls(&installation, &drained).await;
}

/// An upstream receives calls again when the state of its VM changes from `leaving` to `live`.
#[gtest]
#[tokio::test]
async fn upstream_receives_calls_again_once_its_vm_is_live() {
    let (installation, drained, _other) = start_with_two_leaves().await;
    set_upstream_vm_state(&installation, &drained, "leaving").await;
    wait_until_draining(&installation, &drained).await;

    set_upstream_vm_state(&installation, &drained, "live").await;

    for node in &installation.nodes {
        wait_until(&installation.timer, "the upstream receives calls again", async || {
            let runs = drained.count("runs").await;
            installation
                .caller
                .query(node.addresses.caller, SERVICE, QueryRequest::default())
                .await;
            (runs < drained.count("runs").await).then_some(())
        })
        .await;
    }
}

async fn start_with_two_leaves() -> (Installation, LeafProcess, LeafProcess) {
    let installation = start_in_zones(NODE_COUNT).await;
    let drained = start_leaf_with_all_shards(&installation, 1).await;
    let other = start_leaf_with_all_shards(&installation, 1).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&drained, &other])).await;
    (installation, drained, other)
}

async fn set_upstream_vm_state(installation: &Installation, leaf: &LeafProcess, state: &str) {
    let vm = json!({
        "ip": leaf.address.ip(), "ports": [leaf.address.port()], "role": "upstream",
        "availability_zone": "muc-a", "state": state,
    });
    installation.kv.set_vms(&json!({ "vms": [vm] })).await;
}

async fn wait_until_draining(installation: &Installation, leaf: &LeafProcess) {
    for node in &installation.nodes {
        wait_until(&installation.timer, "the node reports the upstream as draining", async || {
            let status = node.operator_client.status().await?;
            let service = status.services.iter().find(|it| it.name == SERVICE)?;
            let address = leaf.address.to_string();
            service.upstreams.iter().any(|it| it.address == address && it.draining).then_some(())
        })
        .await;
    }
}

/// Checks that queries succeed without the upstream, and that it completed all its calls.
async fn expect_no_new_calls(installation: &Installation, leaf: &LeafProcess) {
    let received = leaf.count("received").await;
    let load = QueryLoad::start(installation, &caller_addresses(installation), SERVICE);
    load.wait_for_completed_queries(QUERY_COUNT).await;
    expect_that!(load.stop().await, is_empty());
    expect_that!(leaf.count("received").await, eq(received));
    expect_that!(leaf.count("completed").await, eq(leaf.count("runs").await));
    expect_that!(leaf.count("cancelled").await, eq(0));
    expect_that!(leaf.count("runs").await, gt(0));
}

fn caller_addresses(installation: &Installation) -> Vec<std::net::SocketAddr> {
    installation.nodes.iter().map(|it| it.addresses.caller).collect()
}
