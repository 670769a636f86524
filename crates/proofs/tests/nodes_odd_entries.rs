//! Entries of the store that cannot be decoded: a node goes on with what it knew, and follows what comes
//! after them.

use std::time::Duration;

use googletest::prelude::*;
use mux_admin::Verdict;
use proofs::{
    ChangeClient, Installation, LeafProcess, QueryRequest, long_deadline_service,
    start_leaf_with_all_shards, wait_until, with_overrides,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const ODD_SERVICE: &str = "shopfront-02";
const HEAD_KEY: &str = "config/head";
/// Time after which a node that has verified nothing would admit no queries any more.
const ISOLATION_LIMIT: Duration = Duration::from_secs(4);

fn definition(name: &str, leaf: &LeafProcess, latency_target_ms: u64) -> Value {
    let definition = long_deadline_service(name, &[leaf]);
    with_overrides(definition, &json!({ "latency_target_ms": latency_target_ms }))
}

/// Starts one node with a service, which no peer helps.
async fn start() -> (Installation, LeafProcess, ChangeClient) {
    let installation = Installation::start(1).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&leaf])).await;
    installation.wait_for_full_coverage(&installation.nodes[0], SERVICE).await;
    let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    (installation, leaf, operator)
}

async fn verdict(installation: &Installation, service: &str) -> String {
    let address = installation.nodes[0].addresses.caller;
    let outcome = installation.caller.query(address, service, QueryRequest::with_key("k")).await;
    outcome.expect("a complete reply").verdict
}

/// The node stopped following all services.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_definition_does_not_keep_a_node_from_following_others() {
    let (mut installation, leaf, operator) = start().await;
    installation.create_service(&definition(ODD_SERVICE, &leaf, 29_000)).await;
    let head = installation.kv.read_entry(HEAD_KEY).await.expect("a head");
    let head: Value = serde_json::from_str(&head).expect("JSON");
    let entries = head["services"].as_array().expect("a list of services");
    let entry = entries.iter().find(|it| it["name"] == ODD_SERVICE).expect("the service");
    let change = entry["change"].as_str().expect("a change").to_owned();
    let key = format!("config/services/{ODD_SERVICE}/{change}");
    installation.kv.write_entry(&key, "{\"name\": 5").await;
    let Installation { nodes, directory, .. } = &mut installation;
    nodes[0].restart(directory);

    // The node reads everything again, with the odd definition.
    installation.wait_for_full_coverage(&installation.nodes[0], SERVICE).await;
    let revision = operator.get(SERVICE).await.expect("the service exists").revision;
    let reply = operator.put("later", &definition(SERVICE, &leaf, 28_000), revision).await;

    expect_that!(reply.expect("a reply").verdict(), eq(Verdict::Done));
    wait_until(&installation.timer, "the change is in force", async || {
        (revision < operator.get(SERVICE).await.ok()?.revision).then_some(())
    })
    .await;
    expect_that!(verdict(&installation, SERVICE).await, eq("done"));
}

/// Without the head nothing newer can be known, and what is known stays in force.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_head_leaves_the_known_configuration_in_force() {
    let (installation, leaf, operator) = start().await;
    let head = installation.kv.read_entry(HEAD_KEY).await.expect("a head");
    for odd in ["{", "raw item: {\"Key\": \"config/head\", \"Value\": \"%\", \"Revision\": 1}"] {
        installation.kv.write_entry(HEAD_KEY, odd).await;
        installation.timer.sleep(ISOLATION_LIMIT + Duration::from_secs(1)).await;

        expect_that!(verdict(&installation, SERVICE).await, eq("done"), "{odd}");
    }
    installation.kv.write_entry(HEAD_KEY, &head).await;
    let revision = operator.get(SERVICE).await.expect("the service exists").revision;
    let reply = operator.put("later", &definition(SERVICE, &leaf, 28_000), revision).await;
    expect_that!(reply.expect("a reply").verdict(), eq(Verdict::Done));
}

/// Members and draining upstreams of the list were no longer followed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entry_of_the_list_of_vms_does_not_hide_the_others() {
    let (installation, leaf, _operator) = start().await;
    let valid = json!({
        "ip": leaf.address.ip(), "ports": [leaf.address.port()], "role": "upstream",
        "availability_zone": "muc-a", "state": "leaving",
    });
    let odd = json!({ "ip": "nowhere", "ports": [70_000], "role": 5 });

    let list = json!({ "vms": [odd, valid] });
    installation.kv.write_entry("vms", &list.to_string()).await;

    wait_until(&installation.timer, "the leaving upstream gets no queries", async || {
        (verdict(&installation, SERVICE).await == "not_run").then_some(())
    })
    .await;
}
