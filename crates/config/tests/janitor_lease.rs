//! The janitor's lock, its fencing, and the values that the janitor deletes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use googletest::prelude::*;
use mux_config::{
    ConfigJanitor, JanitorReport, LeaseHolder, RetentionLimits, read_audit,
    storage_keys::{DEFINITION_PREFIX, JANITOR_KEY},
};
use mux_model::TimePoint;
use mux_store::{KvStore, StoreError, ValueVersion, memory::MemoryStore};

use self::common::{REVISION_ZERO, put, put_deadline, store, writer};

const TTL: Duration = Duration::from_secs(6);
const NONE: ValueVersion = ValueVersion(0);

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

fn holder(store: &MemoryStore, node: &str) -> LeaseHolder<MemoryStore> {
    LeaseHolder::new(store.clone(), JANITOR_KEY, node.into(), TTL)
}

fn janitor(store: &MemoryStore) -> ConfigJanitor<MemoryStore> {
    let limits =
        RetentionLimits { audit_records: 2, refused_attempts: 1, ..RetentionLimits::default() };
    ConfigJanitor::new(store.clone(), limits)
}

#[gtest]
#[tokio::test]
async fn lock_is_taken_over_only_after_the_lease_has_expired() {
    let store = store();
    let (mut first, mut second) = (holder(&store, "n1"), holder(&store, "n2"));
    expect_that!(first.renew_or_acquire(at(0)).await, ok(eq(&true)));
    expect_that!(second.renew_or_acquire(at(1)).await, ok(eq(&false)));
    expect_that!(first.renew_or_acquire(at(3)).await, ok(eq(&true)));
    expect_that!(second.renew_or_acquire(at(13)).await, ok(eq(&false)));
    expect_that!(second.renew_or_acquire(at(24)).await, ok(eq(&false)));
    expect_that!(second.renew_or_acquire(at(25)).await, ok(eq(&true)));
    expect_that!(second.lease(at(26)), some(anything()));
    expect_that!(second.lease(at(31)), none());
}

#[gtest]
#[tokio::test]
async fn lease_is_dropped_on_pause_and_a_late_write_fails() {
    let store = store();
    let mut holder = holder(&store, "n1");
    holder.renew_or_acquire(at(0)).await.unwrap();
    let lease = holder.lease(at(1)).unwrap();
    store.advance_clock(TTL);
    let late = store.compare_and_swap("x", "late", NONE, Some(lease)).await;
    expect_that!(late, err(eq(&StoreError::LeaseExpired)));
    holder.on_pause();
    expect_that!(holder.lease(at(1)), none());
}

#[gtest]
#[tokio::test]
async fn failed_renewal_drops_the_lease() {
    let store = store();
    let mut holder = holder(&store, "n1");
    holder.renew_or_acquire(at(0)).await.unwrap();
    store.advance_clock(TTL);
    expect_that!(holder.renew_or_acquire(at(3)).await, err(eq(&StoreError::LeaseExpired)));
    expect_that!(holder.lease(at(3)), none());
}

#[gtest]
#[tokio::test]
async fn janitor_deletes_unused_definitions_only_with_a_valid_lease() {
    let store = store();
    for idx in 0..40 {
        let change = put_deadline(&format!("c{idx:02}"), "shopfront", idx, 500 + idx);
        writer(&store).apply(&change, REVISION_ZERO).await.unwrap();
    }
    let expired = store.grant_lease(TTL).await.unwrap();
    store.advance_clock(TTL);
    expect_that!(janitor(&store).run(expired).await, err(anything()));
    expect_that!(store.list(DEFINITION_PREFIX).await.unwrap(), len(eq(40)));
    let lease = store.grant_lease(TTL).await.unwrap();
    let report = janitor(&store).run(lease).await.unwrap();
    let expected = JanitorReport { definitions: 39, audit_records: 6, refused_attempts: 0 };
    expect_that!(report, eq(expected));
    let kept = store.list(DEFINITION_PREFIX).await.unwrap();
    expect_that!(kept, elements_are![eq("config/services/shopfront/c39")]);
    expect_that!(read_audit(&store, REVISION_ZERO, 100).await.unwrap(), len(eq(34)));
}

#[gtest]
#[tokio::test]
async fn janitor_never_deletes_a_definition_that_a_writer_commits() {
    for delay in 0..24 {
        check_cleanup_race(delay, 0).await;
        check_cleanup_race(0, delay).await;
    }
}

/// Runs a repeated change concurrently with the janitor, which deletes other definitions first.
async fn check_cleanup_race(writer_delay: u32, janitor_delay: u32) {
    let store = store();
    for service in ["a", "b", "c", "d", "e", "shopfront"] {
        store_unused_definition(&store, service).await;
    }
    let lease = store.grant_lease(TTL).await.unwrap();
    let (writer, janitor) = (writer(&store), janitor(&store));
    let change = put("c1", "shopfront", 0);
    let write = after_yields(writer_delay, writer.apply(&change, REVISION_ZERO));
    let clean = after_yields(janitor_delay, janitor.run(lease));
    let (written, _) = futures::join!(write, clean);
    written.unwrap();
    let stored = store.get("config/services/shopfront/c1").await.unwrap();
    expect_that!(stored, some(anything()), "delays {writer_delay} and {janitor_delay}");
}

async fn store_unused_definition(store: &MemoryStore, service: &str) {
    store.set_down_after(4);
    writer(store).apply(&put("c1", service, 0), REVISION_ZERO).await.unwrap_err();
    store.set_down(false);
}

async fn after_yields<T>(count: u32, operation: impl Future<Output = T> + Send) -> T {
    for _ in 0..count {
        tokio::task::yield_now().await;
    }
    operation.await
}
