//! Faults of the key-value service.

use std::net::SocketAddr;

use googletest::prelude::*;
use mux_admin::{ChangeReply, Verdict};
use proofs::{
    ChangeClient, Installation, LeafProcess, NodeAddresses, NodeProcess, QueryLoad,
    patient_service, start_in_zones, start_whole_leaf, wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";

/// While the store is down, queries go on, changes are refused as not run, and a restarted node
/// takes the configuration from its peers; afterwards changes work again.
#[gtest]
#[tokio::test]
async fn store_outage_stops_changes_only() {
    for down in [json!({ "down": true }), json!({ "down": true, "close_when_down": true })] {
        let (mut installation, leaf) = start_with_service().await;
        let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
        let before = operator.get(SERVICE).await.expect("the service").revision;
        let load = QueryLoad::start(&installation, &callers(&installation)[..2], SERVICE);
        load.wait_for_more(20).await;

        installation.kv.set_faults(&down).await;
        let refused = operator.put("during", &retargeted(&leaf, 29_000), before).await;
        load.wait_for_more(20).await;
        restart_node(&mut installation, 2).await;
        let restarted = installation.nodes[2].operators.status().await.expect("a status");
        installation.kv.set_faults(&json!({})).await;
        let accepted = wait_until(&installation.timer, "changes work again", async || {
            let reply = operator.put("after", &retargeted(&leaf, 28_000), before).await.ok()?;
            (reply.verdict() == Verdict::Done).then_some(reply)
        })
        .await;

        let refused = refused.expect("a reply");
        expect_that!(refused.verdict(), eq(Verdict::NotRun));
        expect_that!(refused.code, eq("store_unavailable"));
        expect_that!(restarted.revision, eq(before));
        expect_true!(restarted.store_never_reached);
        wait_for_revision(&installation, accepted.revision).await;
        expect_that!(load.end().await, is_empty());
        expect_that!(audited(&operator).await, not(contains(eq("during"))));
    }
}

/// A slow store slows changes down and does not make their answers untrue.
#[gtest]
#[tokio::test]
async fn slow_store_answers_changes_truthfully() {
    let (installation, leaf) = start_with_service().await;
    let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    let before = operator.get(SERVICE).await.expect("the service").revision;

    installation.kv.set_faults(&json!({ "delay_ms": 300 })).await;
    let first = operator.put("slow", &retargeted(&leaf, 29_000), before).await.expect("a reply");
    installation.kv.set_faults(&json!({})).await;

    expect_settled(&installation, &operator, &first, "slow", &leaf, before).await;
}

/// A change whose replies were lost is told truthfully, is recorded once, and is harmless when
/// repeated, however many of the replies were lost.
#[gtest]
#[tokio::test]
async fn lost_replies_do_not_repeat_a_change() {
    for lost in [1, 2, 3, 1_000] {
        let (installation, leaf) = start_with_service().await;
        let operator = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
        let before = operator.get(SERVICE).await.expect("the service").revision;

        installation.kv.set_faults(&json!({ "lose_replies": lost })).await;
        let first = operator.put("lost", &retargeted(&leaf, 29_000), before).await;
        installation.kv.set_faults(&json!({})).await;

        let first = first.expect("a reply");
        expect_settled(&installation, &operator, &first, "lost", &leaf, before).await;
    }
}

/// Watches that went silent do not keep a change from any node, even one that only the store
/// can tell of: it was made by way of a node of another installation, which gossips with none.
#[gtest]
#[tokio::test]
async fn silent_watches_keep_no_change_back() {
    let (installation, leaf) = start_with_service().await;
    let stranger = start_stranger(&installation).await;
    let operator = ChangeClient::new(stranger.addresses.operator, "ada");
    let before = wait_until(&installation.timer, "the stranger has the service", async || {
        operator.get(SERVICE).await.ok().map(|it| it.revision)
    })
    .await;

    installation.kv.set_faults(&json!({ "silent_watches": true })).await;
    let reply = operator.put("silent", &retargeted(&leaf, 29_000), before).await.expect("a reply");

    expect_that!(reply.verdict(), eq(Verdict::Done));
    wait_for_revision(&installation, reply.revision).await;
}

async fn start_with_service() -> (Installation, LeafProcess) {
    let installation = start_in_zones(3).await;
    let leaf = start_whole_leaf(&installation, 1).await;
    installation.create_service(&patient_service(SERVICE, &[&leaf])).await;
    (installation, leaf)
}

async fn start_stranger(installation: &Installation) -> NodeProcess {
    let settings = json!({
        "availability_zone": "muc-a",
        "installation": "another",
        "platform": { "key_value": installation.kv.address },
    });
    let addresses = NodeAddresses::choose();
    let stranger = NodeProcess::start(&installation.directory, "stranger", addresses, &settings);
    wait_until(&installation.timer, "the stranger starts", async || {
        stranger.operators.status().await
    })
    .await;
    stranger
}

async fn restart_node(installation: &mut Installation, idx: usize) {
    let Installation { nodes, directory, timer, .. } = installation;
    nodes[idx].restart(directory);
    let node = &nodes[idx];
    wait_until(timer, "the restarted node is ready", async || {
        let status = node.operators.status().await?;
        (status.state == "ready").then_some(())
    })
    .await;
    installation.wait_for_full_answer(&installation.nodes[idx], SERVICE).await;
}

/// Repeats a change and checks that it took effect once and that its first answer was true.
async fn expect_settled(
    installation: &Installation,
    operator: &ChangeClient,
    first: &ChangeReply,
    change_id: &str,
    leaf: &LeafProcess,
    before: u64,
) {
    let at = installation.nodes[1].addresses.operator;
    let elsewhere = ChangeClient::new(at, "ada");
    let definition = retargeted(leaf, 29_000);
    let was_stored = audited(operator).await.iter().any(|it| it == change_id);

    let again = elsewhere.put(change_id, &definition, before).await.expect("a reply");

    let claimed = first.verdict();
    if was_stored {
        expect_that!(claimed, any![eq(Verdict::Done), eq(Verdict::MayHaveRun)]);
        expect_that!(again.code, any![eq("already_done"), eq("not_in_force")]);
    } else {
        expect_that!(claimed, any![eq(Verdict::NotRun), eq(Verdict::MayHaveRun)]);
        expect_that!(again.code, any![eq("accepted"), eq("not_in_force")]);
    }
    expect_that!(again.verdict(), eq(Verdict::Done));
    wait_for_revision(installation, again.revision).await;
    let times = audited(operator).await.iter().filter(|it| *it == change_id).count();
    expect_that!(times, eq(1));
    let stored = elsewhere.get(SERVICE).await.expect("the service");
    expect_that!(stored.definition_json, contains_substring("29000"));
}

async fn wait_for_revision(installation: &Installation, revision: u64) {
    for node in &installation.nodes {
        wait_until(&installation.timer, "the revision is in force", async || {
            let status = node.operators.status().await?;
            (revision <= status.revision).then_some(())
        })
        .await;
    }
}

async fn audited(operator: &ChangeClient) -> Vec<String> {
    let records = operator.audit().await.expect("the audit trail");
    records.into_iter().map(|it| it.change_id).collect()
}

fn callers(installation: &Installation) -> Vec<SocketAddr> {
    installation.nodes.iter().map(|it| it.addresses.caller).collect()
}

fn retargeted(leaf: &LeafProcess, latency_target_ms: u64) -> Value {
    let mut definition = patient_service(SERVICE, &[leaf]);
    definition["latency_target_ms"] = json!(latency_target_ms);
    definition
}
