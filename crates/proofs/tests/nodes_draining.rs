//! Upstreams that leave under load.

use googletest::prelude::*;
use proofs::{
    Installation, LeafProcess, QueryLoad, QueryParts, patient_service, start_in_zones,
    start_whole_leaf, wait_until,
};
use serde_json::json;

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 7; // One of them watches no store and learns by gossip.
const QUERY_COUNT: usize = 60; // With their pauses they outlast some polls of the upstreams.

/// An upstream that says so itself gets no new work, and finishes what it has.
#[gtest]
#[tokio::test]
async fn draining_upstream_gets_no_new_work() {
    let (installation, leaving, _staying) = start_with_two_leaves().await;
    let load = QueryLoad::start(&installation, &callers(&installation), SERVICE);
    load.wait_for_more(20).await;

    leaving.set_behaviour(&json!({ "draining": true })).await;

    wait_until_draining(&installation, &leaving).await;
    expect_that!(load.end().await, is_empty());
    expect_no_new_work(&installation, &leaving).await;
}

/// An upstream that only the VM list names as leaving gets no new work, although it says of
/// itself that it does not drain.
#[gtest]
#[tokio::test]
async fn upstream_on_a_leaving_vm_gets_no_new_work() {
    let (installation, leaving, _staying) = start_with_two_leaves().await;
    let load = QueryLoad::start(&installation, &callers(&installation), SERVICE);
    load.wait_for_more(20).await;

    list_upstream(&installation, &leaving, "leaving").await;

    wait_until_draining(&installation, &leaving).await;
    expect_that!(load.end().await, is_empty());
    expect_no_new_work(&installation, &leaving).await;
}

/// An upstream whose VM was to leave and stays after all gets work again.
#[gtest]
#[tokio::test]
async fn upstream_on_a_vm_that_stays_gets_work_again() {
    let (installation, leaving, _staying) = start_with_two_leaves().await;
    list_upstream(&installation, &leaving, "leaving").await;
    wait_until_draining(&installation, &leaving).await;

    list_upstream(&installation, &leaving, "live").await;

    for node in &installation.nodes {
        wait_until(&installation.timer, "the upstream gets work again", async || {
            let runs = leaving.count("runs").await;
            installation.caller.query(node.addresses.caller, SERVICE, QueryParts::default()).await;
            (runs < leaving.count("runs").await).then_some(())
        })
        .await;
    }
}

async fn start_with_two_leaves() -> (Installation, LeafProcess, LeafProcess) {
    let installation = start_in_zones(NODE_COUNT).await;
    let leaving = start_whole_leaf(&installation, 1).await;
    let staying = start_whole_leaf(&installation, 1).await;
    installation.create_service(&patient_service(SERVICE, &[&leaving, &staying])).await;
    (installation, leaving, staying)
}

async fn list_upstream(installation: &Installation, leaf: &LeafProcess, state: &str) {
    let vm = json!({
        "ip": leaf.address.ip(), "ports": [leaf.address.port()], "role": "upstream",
        "availability_zone": "muc-a", "state": state,
    });
    installation.kv.set_vms(&json!({ "vms": [vm] })).await;
}

async fn wait_until_draining(installation: &Installation, leaf: &LeafProcess) {
    for node in &installation.nodes {
        wait_until(&installation.timer, "the news has reached the node", async || {
            let status = node.operators.status().await?;
            let service = status.services.iter().find(|it| it.name == SERVICE)?;
            let address = leaf.address.to_string();
            service.upstreams.iter().any(|it| it.address == address && it.draining).then_some(())
        })
        .await;
    }
}

/// Checks that queries go on without the upstream and that it has finished all that it got.
async fn expect_no_new_work(installation: &Installation, leaf: &LeafProcess) {
    let received = leaf.count("received").await;
    let load = QueryLoad::start(installation, &callers(installation), SERVICE);
    load.wait_for_more(QUERY_COUNT).await;
    expect_that!(load.end().await, is_empty());
    expect_that!(leaf.count("received").await, eq(received));
    expect_that!(leaf.count("completed").await, eq(leaf.count("runs").await));
    expect_that!(leaf.count("cancelled").await, eq(0));
    expect_that!(leaf.count("runs").await, gt(0));
}

fn callers(installation: &Installation) -> Vec<std::net::SocketAddr> {
    installation.nodes.iter().map(|it| it.addresses.caller).collect()
}
