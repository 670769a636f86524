//! Faults of the key-value service (the store).

use std::net::SocketAddr;

use googletest::prelude::*;
use mux_admin::{ChangeReply, Verdict};
use proofs::{
    ChangeClient, Installation, LeafProcess, NodeAddresses, NodeProcess, QueryLoad,
    long_deadline_service, start_in_zones, start_leaf_with_all_shards, wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";

/// While the store is down, queries succeed, changes are rejected as not run, and a restarted node
/// loads the configuration from its peers; afterwards changes are accepted again.
#[gtest]
#[tokio::test]
async fn store_outage_rejects_only_changes() {
    for faults in [json!({ "down": true }), json!({ "down": true, "close_when_down": true })] {
        let (mut installation, leaf) = start_with_service().await;
        let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
        let initial_revision = operator.get(SERVICE).await.expect("the service exists").revision;
        let load = QueryLoad::start(&installation, &caller_addresses(&installation)[..2], SERVICE);
        load.wait_for_completed_queries(20).await;

        installation.kv.set_faults(&faults).await;
        let rejected = operator
            .put("during", &definition_with_latency_target(&leaf, 29_000), initial_revision)
            .await;
        load.wait_for_completed_queries(20).await;
        restart_node(&mut installation, 2).await;
        let restarted =
            installation.nodes[2].operator_client.status().await.expect("a status reply");
        installation.kv.set_faults(&json!({})).await;
        let accepted = wait_until(&installation.timer, "changes are accepted again", async || {
            let reply = operator
                .put("after", &definition_with_latency_target(&leaf, 28_000), initial_revision)
                .await
                .ok()?;
            (reply.verdict() == Verdict::Done).then_some(reply)
        })
        .await;

        let rejected = rejected.expect("a reply");
        expect_that!(rejected.verdict(), eq(Verdict::NotRun));
        expect_that!(rejected.code, eq("store_unavailable"));
        expect_that!(restarted.revision, eq(initial_revision));
        expect_true!(restarted.store_never_reached);
        wait_for_revision(&installation, accepted.revision).await;
        expect_that!(load.stop().await, is_empty());
        expect_that!(audited_change_ids(&operator).await, not(contains(eq("during"))));
    }
}

/// A slow store delays changes, but their verdicts are correct.
#[gtest]
#[tokio::test]
async fn slow_store_gives_correct_change_verdicts() {
    let (installation, leaf) = start_with_service().await;
    let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    let initial_revision = operator.get(SERVICE).await.expect("the service exists").revision;

    installation.kv.set_faults(&json!({ "delay_ms": 300 })).await;
    let first = operator
        .put("slow", &definition_with_latency_target(&leaf, 29_000), initial_revision)
        .await
        .expect("a reply");
    installation.kv.set_faults(&json!({})).await;

    expect_applied_once(&installation, &operator, &first, "slow", &leaf, initial_revision).await;
}

/// A change during which replies of the store are lost has a correct verdict, is recorded once,
/// and is not applied again when retried, for several numbers of lost replies.
#[gtest]
#[tokio::test]
async fn lost_store_replies_do_not_apply_a_change_twice() {
    for lost_replies in [1, 2, 3, 1_000] {
        let (installation, leaf) = start_with_service().await;
        let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
        let initial_revision = operator.get(SERVICE).await.expect("the service exists").revision;

        installation.kv.set_faults(&json!({ "lose_replies": lost_replies })).await;
        let first = operator
            .put("lost", &definition_with_latency_target(&leaf, 29_000), initial_revision)
            .await;
        installation.kv.set_faults(&json!({})).await;

        let first = first.expect("a reply");
        expect_applied_once(&installation, &operator, &first, "lost", &leaf, initial_revision)
            .await;
    }
}

/// A change reaches all nodes although the store's watches deliver no events. The change is made
/// at a node of another installation, so that it can't arrive by gossip.
#[gtest]
#[tokio::test]
async fn changes_reach_all_nodes_despite_silent_watches() {
    let (installation, leaf) = start_with_service().await;
    let other_installation_node = start_node_of_another_installation(&installation).await;
    let operator = ChangeClient::new(other_installation_node.addresses.operator, "ada");
    let initial_revision = wait_until(
        &installation.timer,
        "the other installation's node has the service",
        async || operator.get(SERVICE).await.ok().map(|it| it.revision),
    )
    .await;

    installation.kv.set_faults(&json!({ "silent_watches": true })).await;
    let reply = operator
        .put("silent", &definition_with_latency_target(&leaf, 29_000), initial_revision)
        .await
        .expect("a reply");

    expect_that!(reply.verdict(), eq(Verdict::Done));
    wait_for_revision(&installation, reply.revision).await;
}

async fn start_with_service() -> (Installation, LeafProcess) {
    let installation = start_in_zones(3).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&leaf])).await;
    (installation, leaf)
}

async fn start_node_of_another_installation(installation: &Installation) -> NodeProcess {
    let settings = json!({
        "availability_zone": "muc-a",
        "installation": "another",
        "platform": { "key_value": installation.kv.address },
    });
    let addresses = NodeAddresses::allocate();
    let other_installation_node =
        NodeProcess::start(&installation.directory, "stranger", addresses, &settings, None);
    wait_until(&installation.timer, "the other installation's node responds", async || {
        other_installation_node.operator_client.status().await
    })
    .await;
    other_installation_node
}

async fn restart_node(installation: &mut Installation, idx: usize) {
    let Installation { nodes, directory, timer, .. } = installation;
    nodes[idx].restart(directory);
    let node = &nodes[idx];
    wait_until(timer, "the restarted node is ready", async || {
        let status = node.operator_client.status().await?;
        (status.state == "ready").then_some(())
    })
    .await;
    installation.wait_for_full_coverage(&installation.nodes[idx], SERVICE).await;
}

/// Retries a change, and checks that it took effect once and that the first verdict was correct.
async fn expect_applied_once(
    installation: &Installation,
    operator: &ChangeClient,
    first: &ChangeReply,
    change_id: &str,
    leaf: &LeafProcess,
    initial_revision: u64,
) {
    let address = installation.nodes[1].addresses.operator;
    let other_operator = ChangeClient::new(address, "ada");
    let definition = definition_with_latency_target(leaf, 29_000);
    let was_recorded = audited_change_ids(operator).await.iter().any(|it| it == change_id);

    let retry =
        other_operator.put(change_id, &definition, initial_revision).await.expect("a reply");

    let first_verdict = first.verdict();
    if was_recorded {
        expect_that!(first_verdict, any![eq(Verdict::Done), eq(Verdict::MayHaveRun)]);
        expect_that!(retry.code, any![eq("already_done"), eq("not_in_force")]);
    } else {
        expect_that!(first_verdict, any![eq(Verdict::NotRun), eq(Verdict::MayHaveRun)]);
        expect_that!(retry.code, any![eq("accepted"), eq("not_in_force")]);
    }
    expect_that!(retry.verdict(), eq(Verdict::Done));
    wait_for_revision(installation, retry.revision).await;
    let record_count =
        audited_change_ids(operator).await.iter().filter(|it| *it == change_id).count();
    expect_that!(record_count, eq(1));
    let stored = other_operator.get(SERVICE).await.expect("the service exists");
    expect_that!(stored.definition_json, contains_substring("29000"));
}

async fn wait_for_revision(installation: &Installation, revision: u64) {
    for node in &installation.nodes {
        wait_until(&installation.timer, "the revision is in force", async || {
            let status = node.operator_client.status().await?;
            (revision <= status.revision).then_some(())
        })
        .await;
    }
}

async fn audited_change_ids(operator: &ChangeClient) -> Vec<String> {
    let records = operator.audit().await.expect("the audit trail can be read");
    records.into_iter().map(|it| it.change_id).collect()
}

fn caller_addresses(installation: &Installation) -> Vec<SocketAddr> {
    installation.nodes.iter().map(|it| it.addresses.caller).collect()
}

fn definition_with_latency_target(leaf: &LeafProcess, latency_target_ms: u64) -> Value {
    let mut definition = long_deadline_service(SERVICE, &[leaf]);
    definition["latency_target_ms"] = json!(latency_target_ms);
    definition
}
