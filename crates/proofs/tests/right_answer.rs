//! Each answer is whole, the caller's own, of one snapshot, and its coverage is true.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use futures::future::join_all;
use googletest::prelude::*;
use proofs::{
    Installation, LeafProcess, QueryOutcome, QueryParts, fixed_latency, held_snapshot,
    leaf_settings, service_definition, wait_until, with_overrides,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const CALLERS: usize = 16;

/// Many callers on kept connections, jitter, and replies cut off half-way: no answer holds
/// another caller's query or a part of a reply.
#[gtest]
#[tokio::test]
async fn each_caller_gets_its_own_whole_answer() {
    const QUERIES_PER_CALLER: usize = 25;
    const SHARDS: u64 = 2;
    let installation = Installation::start(2).await;
    let leaves = start_leaves(&installation, 2, 12, 2).await;
    create_service(&installation, &leaves).await;
    for leaf in &leaves {
        let jitter = json!({ "median_ms": 4, "p99_ms": 40 });
        leaf.set_behaviour(&json!({ "latency": jitter, "cut_rate": 0.2 })).await;
    }

    let runs = (0..CALLERS).map(async |caller| {
        let at = installation.nodes[caller % 2].addresses.caller;
        let mut outcomes = Vec::new();
        for number in 0..QUERIES_PER_CALLER {
            let key = format!("caller {caller} query {number}");
            let outcome = installation.caller.query(at, SERVICE, QueryParts::keyed(&key)).await;
            outcomes.push((key, outcome.expect("a whole answer")));
        }
        outcomes
    });
    let outcomes: Vec<_> = join_all(runs).await.into_iter().flatten().collect();

    let mut full = 0;
    for (key, outcome) in &outcomes {
        if outcome.verdict == "done" {
            check_answer(key, outcome, 12, SHARDS);
            full += u32::from(outcome.is_full());
        } else {
            expect_that!(outcome.code(), any![eq("coverage_unreachable"), eq("overloaded")]);
        }
    }
    let mut cut = 0;
    for leaf in &leaves {
        cut += leaf.count("cut").await;
    }
    expect_that!(full, gt(0));
    expect_that!(cut, gt(0));
}

/// New snapshots with other shard counts reach the leaves one by one while queries run.
#[gtest]
#[tokio::test]
async fn each_answer_is_of_one_snapshot_while_shards_change() {
    let installation = Installation::start(2).await;
    let leaves = start_leaves(&installation, 3, 12, 3).await;
    create_service(&installation, &leaves).await;
    let load = QueryLoad::default();

    let (outcomes, ()) = tokio::join!(load.run(&installation), async {
        roll_out(&installation, &leaves, &load, (12, 3), (13, 4)).await;
        roll_out(&installation, &leaves, &load, (13, 4), (14, 3)).await;
        load.stop();
    });

    let shard_counts = [(12, 3), (13, 4), (14, 3)];
    let mut seen = BTreeSet::new();
    expect_that!(outcomes.len(), ge(300));
    for (key, outcome) in &outcomes {
        expect_that!(outcome.verdict, eq("done"), "{key}: {:?}", outcome.content);
        let snapshot = outcome.snapshot().unwrap_or_default();
        let known = shard_counts.iter().find(|(it, _)| *it == snapshot);
        let shard_count = known.map_or(0, |(_, count)| *count);
        check_answer(key, outcome, snapshot, shard_count);
        seen.insert(snapshot);
    }
    expect_that!(seen, eq(&BTreeSet::from([12, 13, 14])));
}

/// Expects that an answer is the whole, true answer to the query with `key`.
fn check_answer(key: &str, outcome: &QueryOutcome, snapshot: u64, shard_count: u64) {
    let results = outcome.results();
    let shards: BTreeSet<u64> = results.iter().map(|(shard, _)| *shard).collect();
    let contributed = shards.len() as u64;
    expect_that!(outcome.snapshot(), some(eq(snapshot)), "{key}");
    expect_that!(outcome.coverage(), some(eq((contributed, shard_count))), "{key}");
    expect_that!(results.len(), eq(shards.len()), "{key}");
    for (shard, result) in results {
        let expected = json!({ "shard": shard, "snapshot": snapshot, "query": { "key": key } });
        expect_that!(*result, eq(&expected), "{key}");
    }
}

/// Callers that query until they are stopped.
#[derive(Default)]
struct QueryLoad {
    stopped: Arc<AtomicBool>,
    answered: std::sync::atomic::AtomicU64,
    newest: std::sync::atomic::AtomicU64,
}

impl QueryLoad {
    async fn run(&self, installation: &Installation) -> Vec<(String, QueryOutcome)> {
        let runs = (0..CALLERS).map(async |caller| {
            let at = installation.nodes[caller % 2].addresses.caller;
            let mut outcomes = Vec::new();
            while !self.stopped.load(Ordering::Relaxed) {
                let key = format!("caller {caller} query {}", outcomes.len());
                let parts = QueryParts::keyed(&key);
                let (caller, timer) = (&installation.caller, &installation.timer);
                let outcome = caller.query_patiently(timer, at, SERVICE, parts).await;
                let outcome = outcome.expect("a whole answer");
                self.answered.fetch_add(1, Ordering::Relaxed);
                self.newest.fetch_max(outcome.snapshot().unwrap_or_default(), Ordering::Relaxed);
                outcomes.push((key, outcome));
            }
            outcomes
        });
        join_all(runs).await.into_iter().flatten().collect()
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until `count` more queries have been answered.
    async fn wait_for_answers(&self, installation: &Installation, count: u64) {
        let goal = self.answered.load(Ordering::Relaxed) + count;
        wait_until(&installation.timer, "more answers", async || {
            (goal <= self.answered.load(Ordering::Relaxed)).then_some(())
        })
        .await;
    }

    async fn wait_for_snapshot(&self, installation: &Installation, snapshot: u64) {
        wait_until(&installation.timer, "an answer of the new snapshot", async || {
            (snapshot <= self.newest.load(Ordering::Relaxed)).then_some(())
        })
        .await;
    }
}

/// Gives every leaf the new snapshot besides the old one, then takes the old one away.
async fn roll_out(
    installation: &Installation,
    leaves: &[LeafProcess],
    load: &QueryLoad,
    old: (u64, u32),
    new: (u64, u32),
) {
    const ANSWERS_BETWEEN: u64 = 30;
    let (old, new) = (all_shards(old.0, old.1), all_shards(new.0, new.1));
    let newest = new["snapshot"].as_u64().unwrap_or_default();
    load.wait_for_answers(installation, ANSWERS_BETWEEN).await;
    for leaf in leaves {
        leaf.set_behaviour(&json!({ "snapshots": [old, new] })).await;
        load.wait_for_answers(installation, ANSWERS_BETWEEN).await;
    }
    for leaf in leaves {
        leaf.set_behaviour(&json!({ "snapshots": [new] })).await;
        load.wait_for_answers(installation, ANSWERS_BETWEEN).await;
    }
    load.wait_for_snapshot(installation, newest).await;
}

fn all_shards(snapshot: u64, shard_count: u32) -> Value {
    held_snapshot(snapshot, shard_count, &Vec::from_iter(0..shard_count))
}

async fn start_leaves(
    installation: &Installation,
    count: usize,
    snapshot: u64,
    shard_count: u32,
) -> Vec<LeafProcess> {
    let settings = leaf_settings(snapshot, shard_count, &Vec::from_iter(0..shard_count));
    let change = json!({ "slots": 32, "queue": 64, "latency": fixed_latency(4) });
    let mut leaves = Vec::new();
    for _ in 0..count {
        leaves.push(installation.start_leaf(&with_overrides(settings.clone(), &change)).await);
    }
    leaves
}

async fn create_service(installation: &Installation, leaves: &[LeafProcess]) {
    let upstreams: Vec<_> = leaves.iter().map(|it| it.address).collect();
    let limits = json!({ "limits": { "slots_per_upstream": 32 } });
    let definition = with_overrides(service_definition(SERVICE, &upstreams), &limits);
    installation.create_service(&definition).await;
}
