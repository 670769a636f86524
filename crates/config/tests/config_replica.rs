//! Replicas converge on the stored configuration, and their revisions never decrease.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use googletest::prelude::*;
use mux_config::{ConfigLoader, ConfigReplica, ConfigUpdate, RECENT_LIMIT, UpdateOutcome};
use mux_model::RevisionNumber;
use mux_store::{KvStore, ValueVersion, memory::MemoryStore};
use proptest::{
    prelude::{Strategy, any},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use self::common::{REVISION_ZERO, contents, put, put_deadline, remove, store, writer};

const CASES: u32 = 64;

/// One step of a random sequence: a change, a load, or the creation or delivery of an update.
#[derive(Debug, Clone, Copy)]
struct RandomStep {
    service: u8,
    kind: u8,
    from: usize,
    to: usize,
}

async fn loaded(store: &MemoryStore) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    load_into(store, &mut replica).await;
    replica
}

async fn load_into(store: &MemoryStore, replica: &mut ConfigReplica) -> UpdateOutcome {
    let loader = ConfigLoader::new(store.clone());
    let known = replica.snapshot();
    let load = tokio::spawn(async move { loader.load(&known).await });
    match load.await.unwrap().unwrap().update {
        Some(update) => replica.apply_update(&update),
        None => UpdateOutcome::Ignored,
    }
}

async fn store_with_history() -> MemoryStore {
    let store = store();
    let changes = [
        put("c1", "a", 0),
        put("c2", "b", 0),
        put_deadline("c3", "a", 1, 700),
        remove("c4", "b", 2),
    ];
    for change in changes {
        writer(&store).apply(&change, REVISION_ZERO).await.unwrap();
    }
    store
}

#[gtest]
#[tokio::test]
async fn replica_reads_only_changed_definitions() {
    let store = store_with_history().await;
    let mut replica = loaded(&store).await;
    expect_that!(contents(&replica), eq(&vec![("a".to_owned(), 3)]));
    writer(&store).apply(&put("c5", "c", 0), REVISION_ZERO).await.unwrap();
    let calls = store.calls();
    load_into(&store, &mut replica).await;
    expect_that!(store.calls() - calls, eq(2));
    expect_that!(contents(&replica), eq(&vec![("a".to_owned(), 3), ("c".to_owned(), 5)]));
}

#[gtest]
#[tokio::test]
async fn replica_behind_the_recent_changes_catches_up_and_updates_others() {
    let store = store();
    writer(&store).apply(&put("c1", "old", 0), REVISION_ZERO).await.unwrap();
    let mut oldest = loaded(&store).await;
    writer(&store).apply(&put("c2", "brief", 0), REVISION_ZERO).await.unwrap();
    let mut older = loaded(&store).await;
    for change in [remove("c3", "brief", 2), remove("c4", "old", 1)] {
        writer(&store).apply(&change, REVISION_ZERO).await.unwrap();
    }
    for idx in 0..RECENT_LIMIT {
        let change = put(&format!("n{idx}"), &format!("n{idx}"), 0);
        writer(&store).apply(&change, REVISION_ZERO).await.unwrap();
    }
    let newest = loaded(&store).await;
    load_into(&store, &mut oldest).await;
    expect_that!(contents(&oldest), eq(&contents(&newest)));
    older.apply_update(&oldest.update_since(older.revision()));
    expect_that!(contents(&older), eq(&contents(&newest)));
}

#[gtest]
#[tokio::test]
async fn inapplicable_update_leaves_the_services_unchanged() {
    let replica = loaded(&store_with_history().await).await;
    let newer =
        ConfigUpdate { revision: RevisionNumber(9), ..replica.update_since(RevisionNumber(3)) };
    let full = replica.update_since(REVISION_ZERO);
    let mut incomplete = ConfigUpdate { revision: RevisionNumber(9), ..full.clone() };
    incomplete.entries.clear();
    let mut malformed = ConfigUpdate { revision: RevisionNumber(9), ..full.clone() };
    // A definition that cannot be decoded is no reason to stop following the others.
    malformed.entries[0].definition = "{}".to_owned();
    let applied = UpdateOutcome::Applied { from: replica.revision(), to: RevisionNumber(9) };
    let cases = [
        ("the same revision", full.clone(), UpdateOutcome::Ignored),
        (
            "a lower revision",
            ConfigUpdate { revision: RevisionNumber(2), ..full },
            UpdateOutcome::Ignored,
        ),
        (
            "a gap",
            ConfigUpdate { since: Some(RevisionNumber(8)), ..newer },
            UpdateOutcome::FullUpdateRequired,
        ),
        ("a missing definition", incomplete, UpdateOutcome::FullUpdateRequired),
        ("a malformed definition", malformed, applied),
    ];
    for (name, update, outcome) in cases {
        let mut updated = replica.clone();
        expect_that!(updated.apply_update(&update), eq(outcome), "{name}");
        expect_that!(contents(&updated), eq(&contents(&replica)), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn update_round_trips_through_postcard() {
    let update = loaded(&store_with_history().await).await.update_since(REVISION_ZERO);
    let bytes = postcard::to_stdvec(&update).unwrap();
    let decoded: ConfigUpdate = postcard::from_bytes(&bytes).unwrap();
    expect_that!(decoded, eq(&update));
}

#[gtest]
#[tokio::test]
async fn watch_returns_the_next_change_or_times_out() {
    let store = store_with_history().await;
    let replica = loaded(&store).await;
    let loader = ConfigLoader::new(store.clone());
    let version = loader.load(&replica.snapshot()).await.unwrap().version;
    let limit = Duration::from_millis(20);
    expect_that!(loader.watch(&replica.snapshot(), version, limit).await, ok(none()));
    writer(&store).apply(&put("c5", "c", 0), REVISION_ZERO).await.unwrap();
    let watched = loader.watch(&replica.snapshot(), version, limit).await.unwrap().unwrap();
    expect_that!(watched.revision, eq(RevisionNumber(5)));
}

#[gtest]
#[tokio::test]
async fn load_fails_if_a_definition_named_by_the_head_is_missing() {
    let store = store_with_history().await;
    let key = "config/services/a/c3";
    let version = store.get(key).await.unwrap().map_or(ValueVersion(0), |it| it.version);
    store.delete(key, version).await.unwrap();
    let loader = ConfigLoader::new(store.clone());
    expect_that!(loader.load(&ConfigReplica::new().snapshot()).await, err(anything()));
}

#[gtest]
fn replicas_converge_without_lowering_their_revision() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let step = (any::<u8>(), any::<u8>(), 0..4_usize, 0..4_usize)
        .prop_map(|(service, kind, from, to)| RandomStep { service: service % 5, kind, from, to });
    let steps = proptest::collection::vec(step, 1..150);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runner
        .run(&steps, |steps| {
            runtime.block_on(check_history(&steps));
            Ok(())
        })
        .unwrap();
}

async fn check_history(steps: &[RandomStep]) {
    let store = store();
    let mut replicas = vec![ConfigReplica::new(); 4];
    let mut delayed = Vec::new();
    for (idx, step) in steps.iter().enumerate() {
        let before: Vec<_> = replicas.iter().map(ConfigReplica::revision).collect();
        match step.kind % 4 {
            0 => change_service(&store, idx, step).await,
            1 => drop(load_into(&store, &mut replicas[step.from]).await),
            2 => {
                let since = replicas[step.to].revision();
                delayed.push(replicas[step.from].update_since(since));
            }
            _ => {
                let picked = usize::from(step.service) % delayed.len().max(1);
                delayed.get(picked).map(|it| replicas[step.to].apply_update(it));
            }
        }
        for (replica, before) in replicas.iter().zip(before) {
            assert!(before <= replica.revision(), "step {idx} lowered the revision");
        }
    }
    load_into(&store, &mut replicas[0]).await;
    check_convergence(&store, replicas).await;
}

async fn change_service(store: &MemoryStore, idx: usize, step: &RandomStep) {
    let name = format!("s{}", step.service);
    let (head, _) = mux_config::ConfigHead::read(store).await.unwrap();
    let expected = head.service_revision(&name.as_str().into()).0;
    let id = format!("c{idx}");
    let change = if expected != 0 && step.from == 0 {
        remove(&id, &name, expected)
    } else {
        put_deadline(&id, &name, expected, 500 + u64::from(step.kind))
    };
    writer(store).apply(&change, REVISION_ZERO).await.unwrap();
}

async fn check_convergence(store: &MemoryStore, mut replicas: Vec<ConfigReplica>) {
    let newest = replicas[0].clone();
    for replica in &mut replicas {
        let update = newest.update_since(replica.revision());
        assert_ne!(replica.apply_update(&update), UpdateOutcome::FullUpdateRequired);
        assert_eq!(contents(replica), contents(&newest));
    }
    assert_eq!(contents(&loaded(store).await), contents(&newest));
}
