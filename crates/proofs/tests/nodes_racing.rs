//! Operators who change one service at the same time by way of different nodes.

use googletest::prelude::*;
use mux_admin::{ChangeReply, Verdict};
use proofs::{
    ChangeClient, Installation, patient_service, start_in_zones, start_whole_leaf, wait_until,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const NODE_COUNT: usize = 4;
const ROUND_COUNT: u64 = 5;

/// One change of a race, with its answer.
#[derive(Debug)]
struct RacedChange {
    id: String,
    latency_target_ms: u64,
    reply: ChangeReply,
}

#[gtest]
#[tokio::test]
async fn two_operators_have_one_winner_a_revision() {
    race(2).await;
}

#[gtest]
#[tokio::test]
async fn ten_operators_have_one_winner_a_revision() {
    race(10).await;
}

/// Lets `count` operators base changes on the same revision, round after round.
async fn race(count: usize) {
    let installation = start_in_zones(NODE_COUNT).await;
    let leaf = start_whole_leaf(&installation, 1).await;
    let definition = patient_service(SERVICE, &[&leaf]);
    installation.create_service(&definition).await;
    let operators: Vec<_> = (0..count).map(|it| operator(&installation, it)).collect();
    let mut revision = operators[0].get(SERVICE).await.expect("the service").revision;
    let mut winners = Vec::new();

    for round in 0..ROUND_COUNT {
        let changes = run_round(&operators, &definition, round, revision).await;

        let winner = expect_one_winner(changes, revision);
        revision = winner.reply.revision;
        winners.push(winner);
    }

    expect_in_force_everywhere(&installation, winners.last().expect("a winner")).await;
    let records = operators[0].audit().await.expect("the audit trail");
    let updates = records.iter().filter(|it| it.kind == "update");
    let audited: Vec<_> = updates.map(|it| (it.change_id.clone(), it.to_revision)).collect();
    let expected: Vec<_> = winners.iter().map(|it| (it.id.clone(), it.reply.revision)).collect();
    expect_that!(audited, eq(&expected));
}

async fn run_round(
    operators: &[ChangeClient],
    definition: &Value,
    round: u64,
    revision: u64,
) -> Vec<RacedChange> {
    let tasks = operators.iter().enumerate().map(|(idx, operator)| {
        let (operator, mut definition) = (operator.clone(), definition.clone());
        let latency_target_ms = 1_000 * (round + 1) + idx as u64;
        definition["latency_target_ms"] = json!(latency_target_ms);
        tokio::spawn(async move {
            let id = format!("change-{round}-{idx}");
            let reply = operator.put(&id, &definition, revision).await.expect("a reply");
            RacedChange { id, latency_target_ms, reply }
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut changes = Vec::new();
    for task in tasks {
        changes.push(task.await.expect("a change"));
    }
    changes
}

/// Checks that one change took effect and that all others name it, and returns it.
fn expect_one_winner(changes: Vec<RacedChange>, before: u64) -> RacedChange {
    let (mut won, lost): (Vec<_>, Vec<_>) =
        changes.into_iter().partition(|it| it.reply.verdict() == Verdict::Done);
    expect_that!(won, len(eq(1)));
    let winner = won.pop().expect("a winner");
    expect_that!(winner.reply.revision, gt(before));
    for change in &lost {
        expect_that!(change.reply.verdict(), eq(Verdict::NotRun));
        expect_that!(change.reply.code, eq("conflict"));
        expect_that!(change.reply.revision, eq(winner.reply.revision));
    }
    winner
}

async fn expect_in_force_everywhere(installation: &Installation, winner: &RacedChange) {
    for idx in 0..NODE_COUNT {
        let operator = operator(installation, idx);
        let entry = wait_until(&installation.timer, "the last change is in force", async || {
            let entry = operator.get(SERVICE).await.ok()?;
            (winner.reply.revision <= entry.revision).then_some(entry)
        })
        .await;
        let definition: Value = serde_json::from_str(&entry.definition_json).expect("JSON");
        expect_that!(entry.revision, eq(winner.reply.revision));
        expect_that!(definition["latency_target_ms"].as_u64(), some(eq(winner.latency_target_ms)));
    }
}

fn operator(installation: &Installation, idx: usize) -> ChangeClient {
    let at = installation.nodes[idx % NODE_COUNT].addresses.operator;
    ChangeClient::new(at, &format!("operator-{idx}"))
}
