//! Changes with lost replies, store outages, concurrent writers and repeated requests.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use futures::future::{join, join_all};
use googletest::prelude::*;
use mux_config::{
    ChangeError, ChangeOutcome, ConfigHead, FieldDiff, RECENT_LIMIT, ServiceChange, read_audit,
    read_refused,
    storage_keys::{HEAD_KEY, definition_key},
};
use mux_model::{RevisionNumber, Verdict};
use mux_store::{KvStore, memory::MemoryStore};

use self::common::{REVISION_ZERO, put, put_deadline, remove, store, writer};

const ALL: usize = 1_000;

/// Fault injected into the compare-and-swap of the head.
#[derive(Debug, Clone, Copy)]
enum SwapFault {
    None,
    LostReply,
    LostWrite,
}

async fn committed_count(store: &MemoryStore, change: &ServiceChange) -> usize {
    let trail = read_audit(store, REVISION_ZERO, ALL).await.unwrap();
    trail.iter().filter(|it| it.change == change.id).count()
}

async fn apply(store: &MemoryStore, change: &ServiceChange) -> ChangeOutcome {
    writer(store).apply(change, REVISION_ZERO).await.unwrap()
}

#[gtest]
#[tokio::test]
async fn change_is_committed_once_despite_a_lost_reply_or_write() {
    for fault in [SwapFault::LostReply, SwapFault::LostWrite] {
        let store = store();
        inject_fault(&store, fault);
        let outcome = apply(&store, &put("c1", "shopfront", 0)).await;
        expect_that!(outcome, matches_pattern!(ChangeOutcome::Committed(_)), "{fault:?}");
        expect_that!(committed_count(&store, &put("c1", "shopfront", 0)).await, eq(1), "{fault:?}");
    }
}

#[gtest]
#[tokio::test]
async fn verdict_is_correct_for_an_outage_after_any_call() {
    for fault in [SwapFault::None, SwapFault::LostReply, SwapFault::LostWrite] {
        for calls in 0..12 {
            check_outage(fault, calls).await;
        }
    }
}

async fn check_outage(fault: SwapFault, calls: u64) {
    let case = format!("fault {fault:?}, down after {calls} calls");
    let store = store();
    let change = put("c1", "shopfront", 0);
    inject_fault(&store, fault);
    store.set_down_after(calls);
    let result = writer(&store).apply(&change, REVISION_ZERO).await;
    store.set_down(false);
    let verdict = result.as_ref().map_or_else(ChangeError::verdict, |_| Verdict::Done);
    let committed = committed_count(&store, &change).await;
    match verdict {
        Verdict::Done => expect_that!(committed, eq(1), "{case}"),
        Verdict::NotRun => expect_that!(committed, eq(0), "{case}"),
        Verdict::MayHaveRun => {}
    }
    let is_unknown = verdict == Verdict::MayHaveRun;
    expect_that!(is_unknown, eq(calls_with_unknown_outcome(fault).contains(&calls)), "{case}");
    apply(&store, &change).await;
    expect_that!(committed_count(&store, &change).await, eq(1), "{case}, repeated");
}

/// Returns the numbers of calls after which an outage leaves the outcome unknown: the swap is the
/// fifth call, and a lost write may still arrive until the head's version has changed.
fn calls_with_unknown_outcome(fault: SwapFault) -> std::ops::Range<u64> {
    match fault {
        SwapFault::None => 0..0,
        SwapFault::LostReply => 5..6,
        SwapFault::LostWrite => 5..10,
    }
}

fn inject_fault(store: &MemoryStore, fault: SwapFault) {
    match fault {
        SwapFault::None => {}
        SwapFault::LostReply => store.lose_replies(HEAD_KEY, 1),
        SwapFault::LostWrite => store.lose_writes(HEAD_KEY, 1),
    }
}

#[gtest]
#[tokio::test]
async fn exactly_one_of_several_concurrent_writers_commits() {
    for count in [2, 10] {
        let store = store();
        apply(&store, &put("c0", "shopfront", 0)).await;
        let changes: Vec<_> = (0..count)
            .map(|it| put_deadline(&format!("r{it}"), "shopfront", 1, 500 + it))
            .collect();
        let results = join_all(changes.iter().map(|it| apply_in_task(&store, it))).await;
        let winners: Vec<_> = results.iter().flatten().collect();
        assert_that!(winners, len(eq(1)));
        let winner = winners[0].record();
        for error in results.iter().filter_map(|it| it.as_ref().err()) {
            let ChangeError::Conflict { current, conflicting_change: reported, .. } = error else {
                panic!("{error}");
            };
            expect_that!(*current, eq(RevisionNumber(2)));
            expect_that!(reported.as_deref(), some(eq(winner)));
        }
        let refused = read_refused(&store, ALL).await.unwrap();
        expect_that!(u64::try_from(refused.len()).unwrap(), eq(count - 1));
    }
}

async fn apply_in_task(
    store: &MemoryStore,
    change: &ServiceChange,
) -> Result<ChangeOutcome, ChangeError> {
    let (writer, change) = (writer(store), change.clone());
    tokio::spawn(async move { writer.apply(&change, REVISION_ZERO).await }).await.unwrap()
}

#[gtest]
#[tokio::test]
async fn lost_swap_is_a_conflict_once_another_writer_commits() {
    let store = store();
    apply(&store, &put("c0", "shopfront", 0)).await;
    let calls = store.calls();
    let (lost, other) = (put("c1", "shopfront", 1), put_deadline("c2", "shopfront", 1, 700));
    store.lose_writes(HEAD_KEY, 1);
    let overtaking_change = async {
        while store.calls() < calls + 6 {
            tokio::task::yield_now().await;
        }
        apply_in_task(&store, &other).await
    };
    let (lost, other) = join(apply_in_task(&store, &lost), overtaking_change).await;
    expect_that!(other, ok(anything()));
    expect_that!(lost, err(matches_pattern!(ChangeError::Conflict { .. })));
}

#[gtest]
#[tokio::test]
async fn concurrent_changes_of_different_services_are_all_committed() {
    let store = store();
    let changes: Vec<_> = (0..4).map(|it| put(&format!("c{it}"), &format!("s{it}"), 0)).collect();
    let results = join_all(changes.iter().map(|it| apply_in_task(&store, it))).await;
    expect_that!(results, each(ok(anything())));
    let trail = read_audit(&store, REVISION_ZERO, ALL).await.unwrap();
    let revisions: Vec<_> = trail.iter().map(|it| it.to.0).collect();
    expect_that!(revisions, eq(&vec![1, 2, 3, 4]));
}

#[gtest]
#[tokio::test]
async fn repeated_change_is_committed_once_even_after_it_left_the_head() {
    let store = store();
    apply(&store, &put("c1", "shopfront", 0)).await;
    apply(&store, &remove("c2", "shopfront", 1)).await;
    for idx in 0..RECENT_LIMIT {
        let repeated = apply(&store, &put("c1", "shopfront", 0)).await;
        assert_that!(repeated, matches_pattern!(ChangeOutcome::AlreadyDone(_)), "after {idx}");
        apply(&store, &put(&format!("n{idx}"), &format!("n{idx}"), 0)).await;
    }
    let repeated = apply(&store, &put("c1", "shopfront", 0)).await;
    expect_that!(repeated.record().to, eq(RevisionNumber(1)));
    let trail = read_audit(&store, REVISION_ZERO, ALL).await.unwrap();
    let revisions: Vec<_> = trail.iter().map(|it| it.to.0).collect();
    expect_that!(revisions, eq(&(1..=34).collect::<Vec<_>>()));
    let page = read_audit(&store, RevisionNumber(1), 3).await.unwrap();
    expect_that!(
        page,
        elements_are![
            field!(&mux_config::ChangeRecord.to, eq(RevisionNumber(2))),
            field!(&mux_config::ChangeRecord.to, eq(RevisionNumber(3))),
            field!(&mux_config::ChangeRecord.to, eq(RevisionNumber(4))),
        ]
    );
}

#[gtest]
#[tokio::test]
async fn reused_change_id_is_rejected() {
    let store = store();
    apply(&store, &put("c1", "shopfront", 0)).await;
    let cases = [
        put_deadline("c1", "shopfront", 0, 700),
        put("c1", "newsletter", 0),
        remove("c1", "shopfront", 1),
    ];
    for change in cases {
        let error = writer(&store).apply(&change, REVISION_ZERO).await.unwrap_err();
        expect_that!(error, matches_pattern!(ChangeError::ChangeIdReused(_)));
    }
}

#[gtest]
#[tokio::test]
async fn change_is_rejected_if_the_store_is_older_than_the_node() {
    let store = store();
    let error = writer(&store).apply(&put("c1", "s", 0), RevisionNumber(3)).await.unwrap_err();
    expect_that!(error, matches_pattern!(ChangeError::StoreBehind { .. }));
}

#[gtest]
#[tokio::test]
async fn preview_shows_each_field_and_stores_nothing() {
    let store = store();
    apply(&store, &put("c1", "shopfront", 0)).await;
    let before = store.list("").await.unwrap();
    let change = put_deadline("c2", "shopfront", 1, 700);
    let preview = writer(&store).preview(&change).await.unwrap();
    let diff = FieldDiff {
        key: "deadline_ms".to_owned(),
        old: Some("1000".to_owned()),
        new: Some("700".to_owned()),
    };
    expect_that!(preview.diffs, eq(&vec![diff]));
    expect_that!(store.list("").await.unwrap(), eq(&before));
}

#[gtest]
fn head_of_933_services_stays_below_250_kb() {
    let mut head = ConfigHead::default();
    for idx in 0..2_800 / 3 {
        let change =
            put(&format!("2f9a6a1e-8d3b-4c55-9c1d-{idx:012}"), &format!("svc-{idx:050}"), 0);
        head = advance(&head, &change);
    }
    expect_that!(head.services, len(eq(933)));
    expect_that!(head.recent, len(eq(RECENT_LIMIT)));
    expect_that!(head.to_json().len(), lt(250_000));
    expect_that!(definition_key(&"s".into(), &"c".into()), eq("config/services/s/c"));
}

fn advance(head: &ConfigHead, change: &ServiceChange) -> ConfigHead {
    let record = mux_config::ChangeRecord {
        change: change.id.clone(),
        operator: "o".repeat(128),
        at_ms: 1_800_000_000_000,
        kind: change.kind(),
        service: change.service.clone(),
        from: change.expected,
        to: head.next_revision(),
        digest: "0".repeat(32),
        fields: vec![long_diff(); 12],
        omitted_fields: 3,
    };
    head.advance(record)
}

fn long_diff() -> FieldDiff {
    let value = Some("x".repeat(64));
    FieldDiff {
        key: "upstreams[4095].availability_zone".to_owned(),
        old: value.clone(),
        new: value,
    }
}

#[gtest]
#[tokio::test]
async fn audit_trail_records_operator_time_fields_and_revisions() {
    let store = store();
    apply(&store, &put("c1", "shopfront", 0)).await;
    apply(&store, &put_deadline("c2", "shopfront", 1, 700)).await;
    let trail = read_audit(&store, RevisionNumber(1), ALL).await.unwrap();
    let text = serde_json::to_value(&trail).unwrap();
    let expected = serde_json::json!([{
        "change": "c2", "operator": "ana", "at_ms": 1_000, "kind": "update",
        "service": "shopfront", "from": 1, "to": 2, "digest": trail[0].digest,
        "fields": [{"key": "deadline_ms", "old": "1000", "new": "700"}], "omitted_fields": 0,
    }]);
    expect_that!(text, eq(&expected));
}
