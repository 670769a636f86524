//! Nodes that are isolated from the store or from their peers.

use googletest::prelude::*;
use mux_admin::Verdict;
use proofs::{
    ChangeClient, Installation, QueryRequest, RelayProcess, RevisionSampler, long_deadline_service,
    register_nodes_as_vms, start_in_zones_with_timing, start_leaf_with_all_shards, wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 5;

/// A node that reaches neither the store nor a peer rejects queries, and admits them again once
/// the store is reachable.
#[gtest]
#[tokio::test]
async fn isolated_node_rejects_queries() {
    let timing = json!({ "isolation_limit_ms": 1_000 });
    let mut installation = start_in_zones_with_timing(3, &timing).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&leaf])).await;
    let address = installation.nodes[2].addresses.caller;

    installation.kv.set_faults(&json!({ "down": true })).await;
    installation.nodes[0].process.kill();
    installation.nodes[1].process.kill();

    let rejection = wait_until(&installation.timer, "the node rejects queries", async || {
        let outcome = installation.caller.query(address, SERVICE, QueryRequest::default()).await?;
        (outcome.verdict != "done").then_some(outcome)
    })
    .await;
    expect_that!(rejection.verdict, eq("not_run"));
    expect_that!(rejection.code(), eq("not_ready"));
    expect_true!(installation.caller.addresses(address, SERVICE).await.is_none());
    installation.kv.set_faults(&json!({})).await;
    installation.wait_for_full_coverage(&installation.nodes[2], SERVICE).await;
}

/// A zone isolated from the store and the other zone during a change adopts the higher revision
/// from its peers once the zones are connected again, while the store is still unreachable. No
/// node's revision decreases meanwhile.
#[gtest]
#[tokio::test]
async fn isolated_zone_adopts_the_higher_revision_from_its_peers() {
    let (installation, relay) = start_two_separate_groups().await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    let mut definition = long_deadline_service(SERVICE, &[&leaf]);
    installation.create_service(&definition).await;
    let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    let initial_revision = operator.get(SERVICE).await.expect("the service exists").revision;
    let sampler = RevisionSampler::start(&installation);

    relay.set_mode("cut").await;
    definition["latency_target_ms"] = json!(29_000);
    let change = operator.put("cut", &definition, initial_revision).await.expect("a reply");
    let isolated_zone_revision =
        installation.nodes[3].operator_client.status().await.expect("a status reply").revision;
    register_nodes_as_vms(&installation).await;
    installation.wait_for_members(NODE_COUNT).await;

    expect_that!(change.verdict(), eq(Verdict::Done));
    expect_that!(isolated_zone_revision, eq(initial_revision));
    for node in &installation.nodes {
        wait_until(&installation.timer, "the higher revision is in force", async || {
            let status = node.operator_client.status().await?;
            (status.revision == change.revision && status.state == "ready").then_some(())
        })
        .await;
    }
    for history in sampler.stop().await {
        expect_true!(history.is_monotonic());
    }
}

/// Starts nodes 1 to 3, and nodes 4 and 5 in another zone that reaches the store through a relay.
/// The groups have no common seeds and discover each other only when registered as VMs.
async fn start_two_separate_groups() -> (Installation, RelayProcess) {
    let mut installation = Installation::start(0).await;
    let relay = installation.start_relay(installation.kv.address).await;
    for _ in 0..3 {
        installation.start_node(&group_settings(json!({ "availability_zone": "muc-a" }))).await;
    }
    installation.start_node(&isolated_zone_settings(&relay, json!([]))).await;
    let seed = installation.nodes[3].addresses.peer;
    installation.start_node(&isolated_zone_settings(&relay, json!([seed]))).await;
    (installation, relay)
}

fn isolated_zone_settings(relay: &RelayProcess, seeds: Value) -> Value {
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
