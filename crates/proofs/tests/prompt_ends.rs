//! A request that is given up on ends at once, on both sides.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use proofs::{
    Installation, QueryParts, fixed_latency, leaf_settings, service_definition, wait_until,
    with_overrides,
};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const SERVICE: &str = "driver-finder";
const ENDLESS_MS: u64 = 3_600_000;

/// With two of three shards lost, the caller gets its final answer while the third shard still
/// works, long before the deadline, and learns when to come back.
#[gtest]
#[tokio::test]
async fn an_unreachable_goal_is_answered_before_the_deadline() {
    const DEADLINE_MS: u64 = 60_000;
    const ANSWER_LIMIT: Duration = Duration::from_secs(30);
    let installation = Installation::start(1).await;
    let mut leaves = Vec::new();
    for shard in 0..3 {
        leaves.push(installation.start_leaf(&leaf_settings(12, 3, &[shard])).await);
    }
    let upstreams: Vec<_> = leaves.iter().map(|it| it.address).collect();
    let minimum = json!({ "coverage_target": 1.0, "coverage_minimum": 0.9 });
    let definition = with_overrides(service_definition(SERVICE, &upstreams), &minimum);
    installation.create_service(&definition).await;
    leaves[2].set_behaviour(&json!({ "latency": fixed_latency(ENDLESS_MS) })).await;
    leaves[0].process.kill();
    leaves[1].process.kill();

    let at = installation.nodes[0].addresses.caller;
    let parts = QueryParts::keyed("driver").within_ms(DEADLINE_MS);
    let query = installation.caller.query(at, SERVICE, parts);
    let outcome = installation.timer.timeout(ANSWER_LIMIT, query).await;

    let outcome = outcome.expect("an answer long before the deadline").expect("a whole answer");
    expect_that!(outcome.code(), any![eq("coverage_unreachable"), eq("no_snapshot")]);
    expect_that!(outcome.verdict, any![eq("not_run"), eq("may_have_run")]);
    expect_that!(outcome.retry_after_ms(), some(gt(0)));
    if outcome.verdict == "not_run" {
        expect_that!(leaves[2].runs("driver", 2).await, eq(0));
    }
}

/// When the caller goes away, the upstream sees the cancellation and the query ends at the node.
#[gtest]
#[tokio::test]
async fn a_caller_that_goes_away_ends_its_query() {
    let installation = Installation::start(1).await;
    let leaf = installation.start_leaf(&leaf_settings(12, 1, &[0])).await;
    installation.create_service(&service_definition(SERVICE, &[leaf.address])).await;
    let node = &installation.nodes[0];
    leaf.set_behaviour(&json!({ "latency": fixed_latency(ENDLESS_MS) })).await;
    let connection = send_unread(node.addresses.caller).await;
    wait_until(&installation.timer, "the query runs", async || {
        (0 < leaf.runs("driver", 0).await).then_some(())
    })
    .await;

    drop(connection);
    wait_until(&installation.timer, "the query ends at the node", async || {
        let count = node.metric("mustardmux_queries_in_flight").await?;
        (count == 0.0).then_some(())
    })
    .await;
    wait_until(&installation.timer, "the upstream sees the cancellation", async || {
        (leaf.count("in_flight").await == 0).then_some(())
    })
    .await;

    expect_that!(leaf.count("cancelled").await, ge(1));
    let metrics = node.metrics().await.expect("metrics");
    expect_that!(metrics, contains_substring("mustardmux_queries_in_flight"));
    expect_that!(metrics, not(contains_substring("deadline_passed")));
}

/// Sends a query on a connection of its own whose answer nobody reads.
async fn send_unread(at: SocketAddr) -> TcpStream {
    let body = json!({ "query": { "key": "driver" } }).to_string();
    let head = format!(
        "POST /v1/services/{SERVICE}/query HTTP/1.1\r\nhost: {at}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(at).await.expect("a connection");
    connection.write_all((head + &body).as_bytes()).await.expect("a request sent");
    connection
}
