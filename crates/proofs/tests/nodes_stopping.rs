//! Planned stops of nodes under load.

use std::process::ExitStatus;

use googletest::prelude::*;
use proofs::{
    AddressCallers, Installation, LeafProcess, NodeProcess, QueryParts, patient_service,
    start_in_zones, start_whole_leaf, wait_until,
};
use serde_json::json;

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 7;
const CALLER_COUNT: usize = 8;
const LONG_QUERY_MS: u64 = 8_000; // Longer than address lifetime and all margins of a stop.

/// Stopping each of seven nodes in turn by SIGTERM, and one by an operator's call, cuts off no
/// request of callers that honour the lifetimes of address answers.
#[gtest]
#[tokio::test]
async fn planned_stops_in_turn_cut_no_request() {
    let (mut installation, _leaf) = start_with_service(NODE_COUNT).await;
    let callers = AddressCallers::start(&installation, SERVICE, CALLER_COUNT);
    callers.wait_for_more(100).await;

    for idx in 0..NODE_COUNT {
        installation.nodes[idx].process.terminate();
        let status = wait_for_end(&mut installation, idx).await;
        expect_true!(status.success());
        restart(&mut installation, idx).await;
        callers.wait_for_more(50).await;
    }
    installation.nodes[0].operators.drain_node().await.expect("the node drains");
    let status = wait_for_end(&mut installation, 0).await;
    expect_true!(status.success());
    callers.wait_for_more(50).await;

    let report = callers.end().await;
    println!("{} requests done, {} refused and sent elsewhere", report.done, report.refused);
    expect_that!(report.cut, is_empty());
    expect_that!(report.abandoned, is_empty());
}

/// A query that takes longer than every fixed margin of a stop still gets its whole answer.
#[gtest]
#[tokio::test]
async fn planned_stop_waits_for_a_long_query() {
    let (mut installation, leaf) = start_with_service(2).await;
    let latency = json!({ "median_ms": LONG_QUERY_MS, "p99_ms": LONG_QUERY_MS + 1 });
    leaf.set_behaviour(&json!({ "latency": latency })).await;
    let (caller, at) = (installation.caller.clone(), installation.nodes[1].addresses.caller);
    let query =
        tokio::spawn(async move { caller.query(at, SERVICE, QueryParts::keyed("long")).await });
    wait_until(&installation.timer, "the query is in flight", async || {
        (leaf.runs("long", 0).await == 1 && leaf.runs("long", 1).await == 1).then_some(())
    })
    .await;

    installation.nodes[1].process.terminate();

    let outcome = query.await.expect("a task").expect("a complete answer");
    expect_that!(outcome.verdict, eq("done"));
    expect_true!(outcome.is_full());
    expect_true!(wait_for_end(&mut installation, 1).await.success());
}

async fn start_with_service(count: usize) -> (Installation, LeafProcess) {
    let installation = start_in_zones(count).await;
    let leaf = start_whole_leaf(&installation, 1).await;
    installation.create_service(&patient_service(SERVICE, &[&leaf])).await;
    (installation, leaf)
}

async fn wait_for_end(installation: &mut Installation, idx: usize) -> ExitStatus {
    let Installation { nodes, timer, .. } = installation;
    let node: &mut NodeProcess = &mut nodes[idx];
    wait_until(timer, "the node ends", async || node.process.exit_status()).await
}

async fn restart(installation: &mut Installation, idx: usize) {
    let Installation { nodes, directory, .. } = installation;
    nodes[idx].restart(directory);
    installation.wait_for_members(NODE_COUNT).await;
    installation.wait_for_full_answer(&installation.nodes[idx], SERVICE).await;
}
