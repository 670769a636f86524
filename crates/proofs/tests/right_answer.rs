//! Each reply is complete, belongs to the caller's query and to one snapshot, and reports its
//! coverage correctly.

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
    Installation, LeafProcess, QueryOutcome, QueryRequest, fixed_latency, leaf_settings,
    service_definition, snapshot_entry, wait_until, with_overrides,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const CALLER_COUNT: usize = 16;

/// With many callers on persistent connections, latency jitter and truncated upstream replies, no
/// reply holds the result of another caller's query or a truncated upstream reply.
#[gtest]
#[tokio::test]
async fn each_caller_receives_its_own_complete_reply() {
    const QUERIES_PER_CALLER: usize = 25;
    const SHARD_COUNT: u64 = 2;
    let installation = Installation::start(2).await;
    let leaves = start_leaves(&installation, 2, 12, 2).await;
    create_service(&installation, &leaves).await;
    for leaf in &leaves {
        let jitter = json!({ "median_ms": 4, "p99_ms": 40 });
        leaf.set_behaviour(&json!({ "latency": jitter, "cut_rate": 0.2 })).await;
    }

    let runs = (0..CALLER_COUNT).map(async |caller| {
        let address = installation.nodes[caller % 2].addresses.caller;
        let mut outcomes = Vec::new();
        for number in 0..QUERIES_PER_CALLER {
            let key = format!("caller {caller} query {number}");
            let outcome =
                installation.caller.query(address, SERVICE, QueryRequest::with_key(&key)).await;
            outcomes.push((key, outcome.expect("a complete reply")));
        }
        outcomes
    });
    let outcomes: Vec<_> = join_all(runs).await.into_iter().flatten().collect();

    let mut full_replies = 0;
    for (key, outcome) in &outcomes {
        if outcome.verdict == "done" {
            check_reply(key, outcome, 12, SHARD_COUNT);
            full_replies += u32::from(outcome.has_full_coverage());
        } else {
            expect_that!(outcome.code(), any![eq("coverage_unreachable"), eq("overloaded")]);
        }
    }
    let mut truncated_replies = 0;
    for leaf in &leaves {
        truncated_replies += leaf.count("cut").await;
    }
    expect_that!(full_replies, gt(0));
    expect_that!(truncated_replies, gt(0));
}

/// New snapshots with other shard counts are rolled out to the leaves one by one under load.
#[gtest]
#[tokio::test]
async fn each_reply_holds_one_snapshot_while_shard_counts_change() {
    let installation = Installation::start(2).await;
    let leaves = start_leaves(&installation, 3, 12, 3).await;
    create_service(&installation, &leaves).await;
    let load = RecordingQueryLoad::default();

    let (outcomes, ()) = tokio::join!(load.run(&installation), async {
        roll_out(&installation, &leaves, &load, (12, 3), (13, 4)).await;
        roll_out(&installation, &leaves, &load, (13, 4), (14, 3)).await;
        load.stop();
    });

    let snapshots_with_shard_counts = [(12, 3), (13, 4), (14, 3)];
    let mut seen_snapshots = BTreeSet::new();
    expect_that!(outcomes.len(), ge(300));
    for (key, outcome) in &outcomes {
        expect_that!(outcome.verdict, eq("done"), "{key}: {:?}", outcome.body);
        let snapshot = outcome.snapshot().unwrap_or_default();
        let rolled_out = snapshots_with_shard_counts.iter().find(|(it, _)| *it == snapshot);
        let shard_count = rolled_out.map_or(0, |(_, count)| *count);
        check_reply(key, outcome, snapshot, shard_count);
        seen_snapshots.insert(snapshot);
    }
    expect_that!(seen_snapshots, eq(&BTreeSet::from([12, 13, 14])));
}

/// Checks snapshot, coverage and results of the reply to the query with `key`.
fn check_reply(key: &str, outcome: &QueryOutcome, snapshot: u64, shard_count: u64) {
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

/// Queries of concurrent callers until stopped; all outcomes are recorded.
#[derive(Default)]
struct RecordingQueryLoad {
    stopped: Arc<AtomicBool>,
    reply_count: std::sync::atomic::AtomicU64,
    newest_snapshot: std::sync::atomic::AtomicU64,
}

impl RecordingQueryLoad {
    async fn run(&self, installation: &Installation) -> Vec<(String, QueryOutcome)> {
        let runs = (0..CALLER_COUNT).map(async |caller| {
            let address = installation.nodes[caller % 2].addresses.caller;
            let mut outcomes = Vec::new();
            while !self.stopped.load(Ordering::Relaxed) {
                let key = format!("caller {caller} query {}", outcomes.len());
                let request = QueryRequest::with_key(&key);
                let (caller, timer) = (&installation.caller, &installation.timer);
                let outcome =
                    caller.query_with_overload_retries(timer, address, SERVICE, request).await;
                let outcome = outcome.expect("a complete reply");
                self.reply_count.fetch_add(1, Ordering::Relaxed);
                self.newest_snapshot
                    .fetch_max(outcome.snapshot().unwrap_or_default(), Ordering::Relaxed);
                outcomes.push((key, outcome));
            }
            outcomes
        });
        join_all(runs).await.into_iter().flatten().collect()
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until `count` more replies have been received.
    async fn wait_for_replies(&self, installation: &Installation, count: u64) {
        let goal = self.reply_count.load(Ordering::Relaxed) + count;
        wait_until(&installation.timer, "more replies are received", async || {
            (goal <= self.reply_count.load(Ordering::Relaxed)).then_some(())
        })
        .await;
    }

    async fn wait_for_snapshot(&self, installation: &Installation, snapshot: u64) {
        wait_until(&installation.timer, "a reply holds the new snapshot", async || {
            (snapshot <= self.newest_snapshot.load(Ordering::Relaxed)).then_some(())
        })
        .await;
    }
}

/// Adds the new snapshot to every leaf, then removes the old one from every leaf; `old` and `new`
/// are pairs of snapshot and shard count.
async fn roll_out(
    installation: &Installation,
    leaves: &[LeafProcess],
    load: &RecordingQueryLoad,
    old: (u64, u32),
    new: (u64, u32),
) {
    const REPLIES_BETWEEN_STEPS: u64 = 30;
    let (old, new) = (all_shards(old.0, old.1), all_shards(new.0, new.1));
    let newest_snapshot = new["snapshot"].as_u64().unwrap_or_default();
    load.wait_for_replies(installation, REPLIES_BETWEEN_STEPS).await;
    for leaf in leaves {
        leaf.set_behaviour(&json!({ "snapshots": [old, new] })).await;
        load.wait_for_replies(installation, REPLIES_BETWEEN_STEPS).await;
    }
    for leaf in leaves {
        leaf.set_behaviour(&json!({ "snapshots": [new] })).await;
        load.wait_for_replies(installation, REPLIES_BETWEEN_STEPS).await;
    }
    load.wait_for_snapshot(installation, newest_snapshot).await;
}

fn all_shards(snapshot: u64, shard_count: u32) -> Value {
    snapshot_entry(snapshot, shard_count, &Vec::from_iter(0..shard_count))
}

async fn start_leaves(
    installation: &Installation,
    count: usize,
    snapshot: u64,
    shard_count: u32,
) -> Vec<LeafProcess> {
    let settings = leaf_settings(snapshot, shard_count, &Vec::from_iter(0..shard_count));
    let overrides = json!({ "slots": 32, "queue": 64, "latency": fixed_latency(4) });
    let mut leaves = Vec::new();
    for _ in 0..count {
        leaves.push(installation.start_leaf(&with_overrides(settings.clone(), &overrides)).await);
    }
    leaves
}

async fn create_service(installation: &Installation, leaves: &[LeafProcess]) {
    let upstreams: Vec<_> = leaves.iter().map(|it| it.address).collect();
    let limits = json!({ "limits": { "slots_per_upstream": 32 } });
    let definition = with_overrides(service_definition(SERVICE, &upstreams), &limits);
    installation.create_service(&definition).await;
}
