//! An installation without faults.

use googletest::prelude::*;
use proofs::{Installation, QueryParts};
use serde_json::json;

/// Every node answers with all shards of the one snapshot and with the caller's own query.
#[gtest]
#[tokio::test]
async fn every_node_answers_in_full() {
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
        let at = node.addresses.caller;
        let outcome =
            installation.caller.query(at, "shopfront-01", QueryParts::keyed("print")).await;

        let outcome = outcome.expect("an answer");
        expect_that!(outcome.verdict, eq("done"));
        expect_that!(outcome.snapshot(), some(eq(12)));
        expect_that!(outcome.coverage(), some(eq((2, 2))));
        for (_, result) in outcome.results() {
            expect_that!(result["query"]["key"].as_str(), some(eq("print")));
        }
    }
    expect_that!(leaf.runs("print", 0).await, eq(2));
}
