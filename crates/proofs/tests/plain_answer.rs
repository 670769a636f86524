//! Queries to an installation without faults.

use googletest::prelude::*;
use proofs::{Installation, QueryRequest};
use serde_json::json;

/// The reply of every node covers all shards of the snapshot and echoes the caller's query.
#[gtest]
#[tokio::test]
async fn every_node_replies_with_full_coverage() {
    let installation = Installation::start(2).await;
    let leaf = installation
        .start_leaf(
            &json!({ "snapshots": [{ "snapshot": 12, "shard_count": 2, "shards": [0, 1] }] }),
        )
        .await;
    let upstream = json!({ "address": leaf.address, "availability_zone": "muc-a" });
    let service = json!({ "name": "shopfront-01", "upstreams": [upstream] });
    installation.create_service(&service).await;

    for node in &installation.nodes {
        let address = node.addresses.caller;
        let outcome = installation
            .caller
            .query(address, "shopfront-01", QueryRequest::with_key("print"))
            .await;

        let outcome = outcome.expect("a complete reply");
        expect_that!(outcome.verdict, eq("done"));
        expect_that!(outcome.snapshot(), some(eq(12)));
        expect_that!(outcome.coverage(), some(eq((2, 2))));
        for (_, result) in outcome.results() {
            expect_that!(result["query"]["key"].as_str(), some(eq("print")));
        }
    }
    expect_that!(leaf.runs("print", 0).await, eq(2));
}
