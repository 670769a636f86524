//! Contract between the upstream pool and an upstream, checked with the upstream test double.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, ShardIndex, SnapshotId};
use serde_json::json;

use support::LeafFixture;

const HANGING_CALL_MS: f64 = 3_600_000.0;

fn not_run(reason: NotRunReason) -> CallFailure {
    CallFailure::NotRun { reason, retry_after: None }
}

#[gtest]
#[tokio::test]
async fn reply_states_shard_and_snapshot_and_counts_one_run() {
    // Arrange.
    let fixture = LeafFixture::start(json!({})).await;

    // Act.
    let reply = fixture.call(1, 1, r#"{"key":"order-7"}"#).await.unwrap();

    // Assert.
    expect_that!(reply.shard, eq(ShardIndex(1)));
    expect_that!(reply.snapshot, eq(SnapshotId(1)));
    let expected = r#"{"shard":1,"snapshot":1,"query":{"key":"order-7"}}"#;
    expect_that!(&reply.body[..], eq(expected.as_bytes()));
    let report = fixture.wait_for_report(|_| true).await;
    expect_that!(report["calls"]["run"]["order-7/1"].as_u64(), some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn rejected_calls_are_not_run() {
    // Arrange.
    let cases = [
        ("draining", json!({ "draining": true }), 1, not_run(NotRunReason::Draining)),
        ("snapshot not held", json!({}), 2, not_run(NotRunReason::SnapshotMissing)),
        (
            "snapshot replaced",
            json!({ "snapshots": [{ "snapshot": 2, "shard_count": 3, "shards": [0, 2] }] }),
            1,
            not_run(NotRunReason::SnapshotMissing),
        ),
        (
            "shed",
            json!({ "shed_rate": 1.0 }),
            1,
            CallFailure::NotRun {
                reason: NotRunReason::Shed,
                retry_after: Some(Duration::from_millis(50)),
            },
        ),
    ];
    for (name, change, snapshot, expected) in cases {
        let fixture = LeafFixture::start(json!({})).await;
        fixture.control(change).await;

        // Act.
        let call = fixture.call(snapshot, 0, "{}").await;

        // Assert.
        expect_that!(call, err(eq(&expected)), "{name}");
        let report = fixture.wait_for_report(|_| true).await;
        expect_that!(report["runs"].as_u64(), some(eq(0)), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn faults_after_admission_fail_calls_that_may_have_run() {
    // Arrange.
    let cases = [
        ("error", json!({ "error_rate": 1.0 }), CallFailure::UpstreamError),
        ("silent connection", json!({ "silence": "open" }), CallFailure::Silent),
    ];
    for (name, change, expected) in cases {
        let fixture = LeafFixture::start(json!({})).await;
        fixture.call(1, 0, "{}").await.unwrap();
        fixture.control(change).await;

        // Act.
        let call = fixture.call(1, 0, "{}").await;

        // Assert.
        expect_that!(call, err(eq(&expected)), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn calls_beyond_slots_and_queue_are_shed() {
    // Arrange.
    let settings = json!({
        "slots": 2,
        "queue": 1,
        "latency": { "straggler_share": 1.0, "straggler_ms": HANGING_CALL_MS },
    });
    let fixture = LeafFixture::start(settings).await;
    let concurrent_calls = async {
        let call = || fixture.call(1, 0, "{}");
        tokio::join!(call(), call(), call())
    };

    // Act.
    let excess_call = async {
        fixture.wait_for_report(|it| it["in_flight"] == 3 && it["runs"] == 2).await;
        fixture.call(1, 0, "{}").await
    };
    let excess_call = tokio::select! {
        _ = concurrent_calls => None,
        excess_call = excess_call => Some(excess_call),
    };

    // Assert.
    let shed = pat!(CallFailure::NotRun { reason: eq(&NotRunReason::Shed), .. });
    expect_that!(excess_call, some(err(shed)));
}

#[gtest]
#[tokio::test]
async fn dropped_call_is_cancelled_at_the_upstream() {
    // Arrange.
    let settings = json!({
        "latency": { "straggler_share": 1.0, "straggler_ms": HANGING_CALL_MS },
    });
    let fixture = LeafFixture::start(settings).await;

    // Act.
    tokio::select! {
        _ = fixture.call(1, 0, "{}") => {}
        _ = fixture.wait_for_report(|it| it["runs"] == 1) => {}
    }

    // Assert.
    let report = fixture.wait_for_report(|it| it["in_flight"] == 0).await;
    expect_that!(report["cancelled"].as_u64(), some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn status_states_snapshots_and_falsified_in_flight_count() {
    // Arrange.
    let fixture = LeafFixture::start(json!({ "slots": 3 })).await;
    fixture.control(json!({ "reported_in_flight": 17 })).await;

    // Act.
    let status = fixture.pool.status(fixture.upstream).await.unwrap();

    // Assert.
    expect_that!(status.slots, eq(3));
    expect_that!(status.in_flight, eq(17));
    expect_that!(status.snapshots[0].shards, elements_are![eq(&ShardIndex(0)), eq(&ShardIndex(1))]);
}
