//! Requests that can't succeed or were cancelled end without delay.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use proofs::{
    Installation, QueryRequest, fixed_latency, leaf_settings, service_definition, wait_until,
    with_overrides,
};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const SERVICE: &str = "driver-finder";
/// Longer than any timeout of the tests.
const ENDLESS_MS: u64 = 3_600_000;

/// With two of three shards unavailable, the caller receives the final reply with a suggested retry
/// delay long before the deadline, even if the third shard is still running the query.
#[gtest]
#[tokio::test]
async fn unreachable_coverage_is_reported_before_the_deadline() {
    const DEADLINE_MS: u64 = 60_000;
    const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
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

    let address = installation.nodes[0].addresses.caller;
    let request = QueryRequest::with_key("driver").with_deadline_ms(DEADLINE_MS);
    let query = installation.caller.query(address, SERVICE, request);
    let outcome = installation.timer.timeout(REPLY_TIMEOUT, query).await;

    let outcome =
        outcome.expect("the reply is received long before the deadline").expect("a complete reply");
    expect_that!(outcome.code(), any![eq("coverage_unreachable"), eq("no_snapshot")]);
    expect_that!(outcome.verdict, any![eq("not_run"), eq("may_have_run")]);
    expect_that!(outcome.retry_after_ms(), some(gt(0)));
    if outcome.verdict == "not_run" {
        expect_that!(leaves[2].runs("driver", 2).await, eq(0));
    }
}

/// When the caller disconnects, the node ends the query and cancels the call to the upstream.
#[gtest]
#[tokio::test]
async fn caller_disconnect_cancels_its_query() {
    let installation = Installation::start(1).await;
    let leaf = installation.start_leaf(&leaf_settings(12, 1, &[0])).await;
    installation.create_service(&service_definition(SERVICE, &[leaf.address])).await;
    let node = &installation.nodes[0];
    leaf.set_behaviour(&json!({ "latency": fixed_latency(ENDLESS_MS) })).await;
    let connection = send_without_reading_the_reply(node.addresses.caller).await;
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
    wait_until(&installation.timer, "the upstream call is cancelled", async || {
        (leaf.count("in_flight").await == 0).then_some(())
    })
    .await;

    expect_that!(leaf.count("cancelled").await, ge(1));
    let metrics = node.metrics().await.expect("the metrics can be read");
    expect_that!(metrics, contains_substring("mustardmux_queries_in_flight"));
    expect_that!(metrics, not(contains_substring("deadline_passed")));
}

/// Sends a query on a new connection and does not read the reply.
async fn send_without_reading_the_reply(address: SocketAddr) -> TcpStream {
    let body = json!({ "query": { "key": "driver" } }).to_string();
    let head = format!(
        "POST /v1/services/{SERVICE}/query HTTP/1.1\r\nhost: {address}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection =
        TcpStream::connect(address).await.expect("the node accepts the connection");
    connection.write_all((head + &body).as_bytes()).await.expect("the request can be sent");
    connection
}
