//! Nodes that are cut off from others.

use googletest::prelude::*;
use mux_admin::Verdict;
use proofs::{
    ChangeClient, Installation, QueryParts, RelayProcess, RevisionWatch, list_nodes,
    patient_service, start_whole_leaf, start_with_timing, wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 5;

/// A node that reaches neither the store nor a peer stops admitting, and admits again once it
/// reaches the store.
#[gtest]
#[tokio::test]
async fn isolated_node_stops_admitting() {
    let timing = json!({ "isolation_limit_ms": 1_000 });
    let mut installation = start_with_timing(3, &timing).await;
    let leaf = start_whole_leaf(&installation, 1).await;
    installation.create_service(&patient_service(SERVICE, &[&leaf])).await;
    let at = installation.nodes[2].addresses.caller;

    installation.kv.set_faults(&json!({ "down": true })).await;
    installation.nodes[0].process.kill();
    installation.nodes[1].process.kill();

    let refusal = wait_until(&installation.timer, "the node refuses", async || {
        let outcome = installation.caller.query(at, SERVICE, QueryParts::default()).await?;
        (outcome.verdict != "done").then_some(outcome)
    })
    .await;
    expect_that!(refusal.verdict, eq("not_run"));
    expect_that!(refusal.code(), eq("not_ready"));
    expect_true!(installation.caller.addresses(at, SERVICE).await.is_none());
    installation.kv.set_faults(&json!({})).await;
    installation.wait_for_full_answer(&installation.nodes[2], SERVICE).await;
}

/// A zone that is cut from the store and the other zones while a change is made takes the higher
/// revision from its peers when the zones see each other again, with the store still cut off;
/// no revision goes back meanwhile.
#[gtest]
#[tokio::test]
async fn cut_zone_takes_the_higher_revision_when_healed() {
    let (installation, relay) = start_two_groups().await;
    let leaf = start_whole_leaf(&installation, 1).await;
    let mut definition = patient_service(SERVICE, &[&leaf]);
    installation.create_service(&definition).await;
    let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    let before = operator.get(SERVICE).await.expect("the service").revision;
    let watch = RevisionWatch::start(&installation);

    relay.set_mode("cut").await;
    definition["latency_target_ms"] = json!(29_000);
    let change = operator.put("cut", &definition, before).await.expect("a reply");
    let cut_revision = installation.nodes[3].operators.status().await.expect("a status").revision;
    list_nodes(&installation).await;
    installation.wait_for_members(NODE_COUNT).await;

    expect_that!(change.verdict(), eq(Verdict::Done));
    expect_that!(cut_revision, eq(before));
    for node in &installation.nodes {
        wait_until(&installation.timer, "the higher revision is in force", async || {
            let status = node.operators.status().await?;
            (status.revision == change.revision && status.state == "ready").then_some(())
        })
        .await;
    }
    for history in watch.end().await {
        expect_true!(history.only_rises());
    }
}

/// Starts nodes 1 to 3, and nodes 4 and 5 in a zone of their own behind a relay to the store;
/// the two groups do not know of each other until they are listed as VMs.
async fn start_two_groups() -> (Installation, RelayProcess) {
    let mut installation = Installation::start(0).await;
    let relay = installation.start_relay(installation.kv.address).await;
    for _ in 0..3 {
        installation.start_node(&group_settings(json!({ "availability_zone": "muc-a" }))).await;
    }
    installation.start_node(&cut_settings(&relay, json!([]))).await;
    let seed = installation.nodes[3].addresses.peer;
    installation.start_node(&cut_settings(&relay, json!([seed]))).await;
    (installation, relay)
}

fn cut_settings(relay: &RelayProcess, seeds: Value) -> Value {
    group_settings(json!({
        "availability_zone": "nbg-a",
        "platform": { "key_value": relay.address },
        "seeds": seeds,
    }))
}

fn group_settings(mut settings: Value) -> Value {
    settings["timing"] = json!({
        "probe_period_ms": 200, "address_lifetime_ms": 500, "isolation_limit_ms": 5_000,
        "pause_limit_ms": 5_000, "upstream_status_ms": 200, "watch_limit_ms": 500,
    });
    settings
}
