//! Nodes that are cut from all upstreams, while callers and other nodes still reach them.

use std::time::Duration;

use googletest::prelude::*;
use proofs::{
    CutMode, Installation, LeafProcess, ProcessCuts, ProcessRelay, QueryRequest, leaf_settings,
    service_definition, wait_until, with_overrides,
};
use serde_json::json;

const SERVICE: &str = "shopfront-01";
const SNAPSHOT: u64 = 12;
const QUERIES: usize = 20;
/// Time limit of a query, of which a node that is cut uses a part to find that out.
const DEADLINE_MS: u64 = 4_000;

/// Three nodes and upstreams behind relays.
struct RelayedInstallation {
    installation: Installation,
    cuts: ProcessCuts,
    _leaves: Vec<LeafProcess>,
    _relays: Vec<ProcessRelay>,
}

impl RelayedInstallation {
    async fn start() -> Self {
        let installation = Installation::start(3).await;
        let processes: Vec<_> = installation.nodes.iter().map(|it| it.process.id()).collect();
        let cuts = ProcessCuts::default();
        let (mut leaves, mut relays) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            let leaf = installation.start_leaf(&leaf_settings(SNAPSHOT, 2, &[0, 1])).await;
            relays.push(ProcessRelay::start(leaf.address, &processes, &cuts).await);
            leaves.push(leaf);
        }
        let upstreams: Vec<_> = relays.iter().map(|it| it.address).collect();
        let limits = json!({ "latency_target_ms": 1_000, "deadline_ms": DEADLINE_MS });
        let definition = with_overrides(service_definition(SERVICE, &upstreams), &limits);
        installation.create_service(&definition).await;
        Self { installation, cuts, _leaves: leaves, _relays: relays }
    }

    fn process(&self, node: usize) -> u32 {
        self.installation.nodes[node].process.id()
    }

    async fn is_answered(&self, node: usize, key: &str) -> bool {
        let address = self.installation.nodes[node].addresses.caller;
        let request = QueryRequest::with_key(key);
        let outcome = self.installation.caller.query(address, SERVICE, request).await;
        outcome.is_some_and(|it| it.has_full_coverage())
    }

    /// Sends queries until one is answered.
    async fn wait_until_answered(&self, node: usize) {
        wait_until(&self.installation.timer, "the node answers", async || {
            self.is_answered(node, "wait").await.then_some(())
        })
        .await;
    }

    async fn answered(&self, node: usize) -> usize {
        let mut answered = 0;
        for number in 0..QUERIES {
            answered += usize::from(self.is_answered(node, &format!("query {number}")).await);
        }
        answered
    }
}

/// A node that had lost all upstreams gave no answers, although other home nodes could.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_at_a_node_without_upstreams_are_answered_by_others() {
    for mode in [CutMode::Silent, CutMode::Resetting] {
        let relayed = RelayedInstallation::start().await;

        relayed.cuts.cut(relayed.process(0), mode);
        relayed.wait_until_answered(0).await;

        expect_that!(relayed.answered(0).await, ge(QUERIES - 1), "{mode:?}");
    }
}

/// After the cut, the node answers although the others are cut.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_answers_by_itself_after_a_cut() {
    let relayed = RelayedInstallation::start().await;
    relayed.cuts.cut(relayed.process(0), CutMode::Resetting);
    relayed.wait_until_answered(0).await;

    relayed.cuts.restore(relayed.process(0));
    relayed.installation.timer.sleep(Duration::from_secs(2)).await;
    (1..3).for_each(|it| relayed.cuts.cut(relayed.process(it), CutMode::Resetting));

    expect_that!(relayed.answered(0).await, ge(QUERIES - 1));
}

/// If all nodes are cut, queries are not passed around, and are answered as not run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_are_refused_if_all_nodes_are_without_upstreams() {
    let relayed = RelayedInstallation::start().await;

    (0..3).for_each(|it| relayed.cuts.cut(relayed.process(it), CutMode::Resetting));
    relayed.installation.timer.sleep(Duration::from_secs(3)).await;

    let started = relayed.installation.timer.now();
    for node in 0..3 {
        expect_false!(relayed.is_answered(node, "refused").await);
    }
    let elapsed = relayed.installation.timer.now().since(started);
    expect_that!(elapsed, lt(Duration::from_millis(3 * DEADLINE_MS)));
}
