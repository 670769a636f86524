//! Queries that crash the upstreams that run them.

use std::time::Duration;

use googletest::prelude::*;
use proofs::{
    Installation, LeafProcess, QueryOutcome, QueryRequest, WAIT_TIMEOUT, long_deadline_service,
    start_in_zones, wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
/// Key of the query that ends the process of a leaf.
const CRASH_KEY: &str = "crash";
/// Pause between two attempts of the caller.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Attempts after the quarantine; a trial is due only later.
const FURTHER_ATTEMPTS: usize = 9;

/// Three nodes, and three leaves with all shards, which are started again when they have ended.
struct Cluster {
    installation: Installation,
    leaves: Vec<LeafProcess>,
    crashes: usize,
}

impl Cluster {
    async fn start() -> Self {
        let installation = start_in_zones(3).await;
        let mut leaves = Vec::new();
        for _ in 0..3 {
            leaves.push(installation.start_leaf(&leaf_settings()).await);
        }
        let definition = long_deadline_service(SERVICE, &leaves.iter().collect::<Vec<_>>());
        installation.create_service(&definition).await;
        Self { installation, leaves, crashes: 0 }
    }

    /// Sends a query to a node; waits until it is answered, and starts the leaves that ended.
    async fn query(&mut self, node: usize, key: &str) -> QueryOutcome {
        let address = self.installation.nodes[node].addresses.caller;
        let request = QueryRequest::with_key(key).with_deadline_ms(2_000);
        let outcome = self.installation.caller.query(address, SERVICE, request).await;
        for leaf in &mut self.leaves {
            if leaf.process.exit_status().is_some() {
                self.crashes += 1;
                let directory = &self.installation.directory;
                *leaf = LeafProcess::start(directory, leaf.address, leaf.control, &leaf_settings());
            }
        }
        outcome.expect("the node answers")
    }

    /// Repeats the query that crashes leaves at one node after the other until each has refused it.
    async fn crash_until_refused(&mut self) {
        let timer = self.installation.timer.clone();
        let end = timer.now() + WAIT_TIMEOUT;
        let mut refusals = 0;
        for attempt in 0.. {
            let node = attempt % self.installation.nodes.len();
            let outcome = self.query(node, CRASH_KEY).await;
            refusals = if outcome.code() == "quarantined" { refusals + 1 } else { 0 };
            if refusals == self.installation.nodes.len() {
                return;
            }
            assert!(timer.now() < end, "the query is not refused");
            timer.sleep(RETRY_PERIOD).await;
        }
    }
}

fn leaf_settings() -> Value {
    json!({
        "slots": 64, "queue": 256, "connections": 100, "crash_key": CRASH_KEY,
        "snapshots": [{ "snapshot": 1, "shard_count": 2, "shards": [0, 1] }],
    })
}

/// Each attempt goes to another node, and reaches upstreams by itself only a few times.
#[gtest]
#[tokio::test]
async fn query_that_crashes_upstreams_is_refused_by_all_nodes() {
    let mut cluster = Cluster::start().await;

    cluster.crash_until_refused().await;
    let crashes = cluster.crashes;
    for attempt in 0..FURTHER_ATTEMPTS {
        let outcome = cluster.query(attempt % 3, CRASH_KEY).await;
        expect_that!(outcome.verdict, eq("not_run"));
        expect_that!(outcome.code(), eq("quarantined"));
        expect_that!(outcome.retry_after_ms(), none());
    }

    expect_that!(cluster.crashes, eq(crashes));
    // Of the first attempt one for each shard and one that is made again, and one for each later one
    // until all nodes know of three.
    expect_that!(crashes, all![ge(3), le(7)]);
    for node in &cluster.installation.nodes {
        cluster.installation.wait_for_full_coverage(node, SERVICE).await;
    }
}

/// A restarted node knows nothing, and learns it from the others.
#[gtest]
#[tokio::test]
async fn restarted_node_refuses_a_query_that_crashed_upstreams_before() {
    let mut cluster = Cluster::start().await;
    cluster.crash_until_refused().await;
    let crashes = cluster.crashes;

    let installation = &mut cluster.installation;
    installation.nodes[0].restart(&installation.directory);
    let node = &installation.nodes[0];
    wait_until(&installation.timer, "the restarted node has evidence", async || {
        let status = node.operator_client.status().await?;
        (status.state == "ready").then_some(())
    })
    .await;
    installation.timer.sleep(RETRY_PERIOD * 6).await;

    expect_that!(cluster.query(0, CRASH_KEY).await.code(), eq("quarantined"));
    expect_that!(cluster.crashes, eq(crashes));
}
