//! Stored definitions that cannot be decoded, or hold values that no operator may set: each costs its own
//! service alone.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use googletest::prelude::*;
use mux_config::{ConfigLoader, ConfigReplica, ConfigState, UpdateOutcome, storage_keys};
use mux_store::{KvStore, memory::MemoryStore};

use self::common::{REVISION_ZERO, contents, put, put_deadline, remove, store, writer};

/// Levels of nesting that no recursive decoder survives.
const DEEP_LEVELS: usize = 100_000;

/// Returns texts that other writers may leave in place of a definition of the service `odd`.
fn odd_definitions() -> Vec<String> {
    let upstreams = r#"[{"address": "10.0.0.1:1", "availability_zone": "muc-a"}]"#;
    let with = |rest: &str| format!("{{\"name\": \"odd\", \"upstreams\": {upstreams}, {rest}}}");
    vec![
        String::new(),
        "{".to_owned(),
        "null".to_owned(),
        format!("{}{}", "[".repeat(DEEP_LEVELS), "]".repeat(DEEP_LEVELS)),
        r#"{"name": "other", "upstreams": []}"#.to_owned(),
        r#"{"name": "odd", "upstreams": [{"address": "10.0.0.1:70000", "availability_zone": "a"}]}"#
            .to_owned(),
        r#"{"name": "odd", "upstreams": [{"address": "10.0.0.1:0", "availability_zone": "a"}]}"#
            .to_owned(),
        with(r#""deadline_ms": 18446744073709551615"#),
        with(r#""deadline_ms": 1e999"#),
        with(r#""limits": {"slots_per_upstream": 4294967295}"#),
    ]
}

/// Replaces what the change `change` has stored.
async fn overwrite(store: &MemoryStore, change: &str, text: &str) {
    let key = storage_keys::definition_key(&"odd".into(), &change.into());
    let version = store.get(&key).await.unwrap().unwrap().version;
    store.compare_and_swap(&key, text, version, None).await.unwrap();
}

async fn load_into(store: &MemoryStore, replica: &mut ConfigReplica) -> UpdateOutcome {
    let loader = ConfigLoader::new(store.clone());
    let update = loader.load(&replica.snapshot()).await.unwrap().update.unwrap();
    replica.apply_update(&update)
}

fn names_of(state: &ConfigState) -> Vec<&str> {
    state.unreadable_services().map(|it| it.as_str()).collect()
}

/// Nodes stopped following all services.
#[gtest]
#[tokio::test]
async fn odd_definition_costs_its_own_service_alone() {
    for odd in odd_definitions() {
        let store = store();
        writer(&store).apply(&put("c1", "odd", 0), REVISION_ZERO).await.unwrap();
        overwrite(&store, "c1", &odd).await;
        writer(&store).apply(&put("c2", "a", 0), REVISION_ZERO).await.unwrap();
        let mut replica = ConfigReplica::new();

        load_into(&store, &mut replica).await;

        expect_that!(contents(&replica), eq(&vec![("a".to_owned(), 2)]), "{odd:.80}");
        expect_that!(names_of(&replica.snapshot()), elements_are![eq(&"odd")], "{odd:.80}");
        // Later changes are followed, also that which mends the definition.
        writer(&store).apply(&put("c3", "b", 0), REVISION_ZERO).await.unwrap();
        writer(&store).apply(&put_deadline("c4", "odd", 1, 700), REVISION_ZERO).await.unwrap();
        load_into(&store, &mut replica).await;
        let expected = [("a", 2), ("b", 3), ("odd", 4)].map(|(name, it)| (name.to_owned(), it));
        expect_that!(contents(&replica), eq(&expected.to_vec()), "{odd:.80}");
        expect_that!(names_of(&replica.snapshot()), is_empty(), "{odd:.80}");
    }
}

#[gtest]
#[tokio::test]
async fn service_keeps_its_last_definition_while_the_stored_one_is_odd() {
    let store = store();
    writer(&store).apply(&put("c1", "odd", 0), REVISION_ZERO).await.unwrap();
    let mut replica = ConfigReplica::new();
    load_into(&store, &mut replica).await;
    writer(&store).apply(&put_deadline("c2", "odd", 1, 700), REVISION_ZERO).await.unwrap();
    overwrite(&store, "c2", "{").await;

    load_into(&store, &mut replica).await;

    expect_that!(contents(&replica), eq(&vec![("odd".to_owned(), 1)]));
    // A node that learns the configuration from this one is at the same revision.
    let mut peer = ConfigReplica::new();
    peer.apply_update(&replica.update_since(REVISION_ZERO));
    expect_that!(peer.revision(), eq(replica.revision()));
    expect_that!(contents(&peer), eq(&vec![("odd".to_owned(), 1)]));
    // So does one that reads everything again.
    let full = ConfigLoader::new(store.clone()).load(&ConfigState::default()).await.unwrap();
    let mut later = replica.clone();
    writer(&store).apply(&put("c3", "a", 0), REVISION_ZERO).await.unwrap();
    load_into(&store, &mut later).await;
    expect_that!(full.update.unwrap().entries, len(eq(1)));
    expect_that!(contents(&later), eq(&vec![("a".to_owned(), 3), ("odd".to_owned(), 1)]));
}

#[gtest]
#[tokio::test]
async fn service_with_an_odd_definition_can_be_removed() {
    let store = store();
    writer(&store).apply(&put("c1", "odd", 0), REVISION_ZERO).await.unwrap();
    overwrite(&store, "c1", "{").await;
    let mut replica = ConfigReplica::new();
    load_into(&store, &mut replica).await;

    writer(&store).apply(&remove("c2", "odd", 1), REVISION_ZERO).await.unwrap();
    load_into(&store, &mut replica).await;

    expect_that!(contents(&replica), is_empty());
    expect_that!(names_of(&replica.snapshot()), is_empty());
}
