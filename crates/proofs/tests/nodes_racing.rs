//! Concurrent changes of one service by operators at different nodes.

use googletest::prelude::*;
use mux_admin::{ChangeReply, Verdict};
use proofs::{
    ChangeClient, Installation, long_deadline_service, start_in_zones, start_leaf_with_all_shards,
    wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 4;
const ROUND_COUNT: u64 = 5;

/// One of several concurrent changes, with its reply.
#[derive(Debug)]
struct ConcurrentChange {
    id: String,
    latency_target_ms: u64,
    reply: ChangeReply,
}

#[gtest]
#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted() {
    run_concurrent_changes(2).await;
}

#[gtest]
#[tokio::test]
async fn one_of_ten_concurrent_changes_is_accepted() {
    run_concurrent_changes(10).await;
}

/// In each round, `count` operators concurrently send changes with the same expected revision;
/// exactly one change is accepted.
async fn run_concurrent_changes(count: usize) {
    let installation = start_in_zones(NODE_COUNT).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    let definition = long_deadline_service(SERVICE, &[&leaf]);
    installation.create_service(&definition).await;
    let operators: Vec<_> = (0..count).map(|it| operator(&installation, it)).collect();
    let mut revision = operators[0].get(SERVICE).await.expect("the service exists").revision;
    let mut accepted_changes = Vec::new();

    for round in 0..ROUND_COUNT {
        let changes = run_round(&operators, &definition, round, revision).await;

        let accepted_change = expect_one_accepted_change(changes, revision);
        revision = accepted_change.reply.revision;
        accepted_changes.push(accepted_change);
    }

    expect_in_force_everywhere(
        &installation,
        accepted_changes.last().expect("one change is accepted"),
    )
    .await;
    let records = operators[0].audit().await.expect("the audit trail can be read");
    let updates = records.iter().filter(|it| it.kind == "update");
    let audited: Vec<_> = updates.map(|it| (it.change_id.clone(), it.to_revision)).collect();
    let expected: Vec<_> =
        accepted_changes.iter().map(|it| (it.id.clone(), it.reply.revision)).collect();
    expect_that!(audited, eq(&expected));
}

async fn run_round(
    operators: &[ChangeClient],
    definition: &Value,
    round: u64,
    revision: u64,
) -> Vec<ConcurrentChange> {
    let tasks = operators.iter().enumerate().map(|(idx, operator)| {
        let (operator, mut definition) = (operator.clone(), definition.clone());
        let latency_target_ms = 1_000 * (round + 1) + idx as u64;
        definition["latency_target_ms"] = json!(latency_target_ms);
        tokio::spawn(async move {
            let id = format!("change-{round}-{idx}");
            let reply = operator.put(&id, &definition, revision).await.expect("a reply");
            ConcurrentChange { id, latency_target_ms, reply }
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut changes = Vec::new();
    for task in tasks {
        changes.push(task.await.expect("the change task completes"));
    }
    changes
}

/// Checks that exactly one change took effect and that all others report a conflict with its
/// revision.
fn expect_one_accepted_change(
    changes: Vec<ConcurrentChange>,
    expected_revision: u64,
) -> ConcurrentChange {
    let (mut done, rejected): (Vec<_>, Vec<_>) =
        changes.into_iter().partition(|it| it.reply.verdict() == Verdict::Done);
    expect_that!(done, len(eq(1)));
    let accepted_change = done.pop().expect("one change is accepted");
    expect_that!(accepted_change.reply.revision, gt(expected_revision));
    for change in &rejected {
        expect_that!(change.reply.verdict(), eq(Verdict::NotRun));
        expect_that!(change.reply.code, eq("conflict"));
        expect_that!(change.reply.revision, eq(accepted_change.reply.revision));
    }
    accepted_change
}

async fn expect_in_force_everywhere(
    installation: &Installation,
    accepted_change: &ConcurrentChange,
) {
    for idx in 0..NODE_COUNT {
        let operator = operator(installation, idx);
        let entry = wait_until(&installation.timer, "the last change is in force", async || {
            let entry = operator.get(SERVICE).await.ok()?;
            (accepted_change.reply.revision <= entry.revision).then_some(entry)
        })
        .await;
        let definition: Value = serde_json::from_str(&entry.definition_json).expect("JSON");
        expect_that!(entry.revision, eq(accepted_change.reply.revision));
        expect_that!(
            definition["latency_target_ms"].as_u64(),
            some(eq(accepted_change.latency_target_ms))
        );
    }
}

fn operator(installation: &Installation, idx: usize) -> ChangeClient {
    let address = installation.nodes[idx % NODE_COUNT].addresses.operator;
    ChangeClient::new(address, &format!("operator-{idx}"))
}
