//! Planned stops of nodes under load.

use std::process::ExitStatus;

use googletest::prelude::*;
use proofs::{
    Installation, LeafProcess, NodeProcess, QueryRequest, SimulatedCallers, long_deadline_service,
    start_in_zones, start_leaf_with_all_shards, wait_until,
};
use serde_json::json;

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 7;
const CALLER_COUNT: usize = 8;
const LONG_QUERY_MS: u64 = 8_000; // Longer than the address lifetime and all delays of a stop.

/// Planned stops of seven nodes in turn by SIGTERM, and of one node by an operator's call, fail no
/// request of callers that honour the lifetime of address replies.
#[gtest]
#[tokio::test]
async fn planned_stops_in_turn_cut_no_request() {
    let (mut installation, _leaf) = start_with_service(NODE_COUNT).await;
    let callers = SimulatedCallers::start(&installation, SERVICE, CALLER_COUNT);
    callers.wait_for_completed_queries(100).await;

    for idx in 0..NODE_COUNT {
        installation.nodes[idx].process.terminate();
        let status = wait_for_exit(&mut installation, idx).await;
        expect_true!(status.success());
        restart(&mut installation, idx).await;
        callers.wait_for_completed_queries(50).await;
    }
    installation.nodes[0].operator_client.drain_node().await.expect("the drain call is accepted");
    let status = wait_for_exit(&mut installation, 0).await;
    expect_true!(status.success());
    callers.wait_for_completed_queries(50).await;

    let report = callers.stop().await;
    println!(
        "{} requests completed, {} attempts rejected with `not_run`",
        report.completed, report.rejected
    );
    expect_that!(report.failed, is_empty());
    expect_that!(report.retries_exhausted, is_empty());
}

/// A query that takes longer than every fixed delay of a planned stop still has full coverage.
#[gtest]
#[tokio::test]
async fn planned_stop_waits_for_a_long_query() {
    let (mut installation, leaf) = start_with_service(2).await;
    let latency = json!({ "median_ms": LONG_QUERY_MS, "p99_ms": LONG_QUERY_MS + 1 });
    leaf.set_behaviour(&json!({ "latency": latency })).await;
    let (caller, address) = (installation.caller.clone(), installation.nodes[1].addresses.caller);
    let query = tokio::spawn(async move {
        caller.query(address, SERVICE, QueryRequest::with_key("long")).await
    });
    wait_until(&installation.timer, "the query is in flight", async || {
        (leaf.runs("long", 0).await == 1 && leaf.runs("long", 1).await == 1).then_some(())
    })
    .await;

    installation.nodes[1].process.terminate();

    let outcome = query.await.expect("the task completes").expect("a complete reply");
    expect_that!(outcome.verdict, eq("done"));
    expect_true!(outcome.has_full_coverage());
    expect_true!(wait_for_exit(&mut installation, 1).await.success());
}

async fn start_with_service(count: usize) -> (Installation, LeafProcess) {
    let installation = start_in_zones(count).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&leaf])).await;
    (installation, leaf)
}

async fn wait_for_exit(installation: &mut Installation, idx: usize) -> ExitStatus {
    let Installation { nodes, timer, .. } = installation;
    let node: &mut NodeProcess = &mut nodes[idx];
    wait_until(timer, "the node exits", async || node.process.exit_status()).await
}

async fn restart(installation: &mut Installation, idx: usize) {
    let Installation { nodes, directory, .. } = installation;
    nodes[idx].restart(directory);
    installation.wait_for_members(NODE_COUNT).await;
    installation.wait_for_full_coverage(&installation.nodes[idx], SERVICE).await;
}
