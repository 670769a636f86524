//! What the pool makes of replies.

mod support;

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, ShardIndex, SnapshotId};
use mux_upstream::header_names;

use support::{LeafServer, PoolFixture, ScriptedReply, query};

#[gtest]
#[tokio::test]
async fn complete_reply_is_returned_with_its_hints() {
    // Arrange.
    let server = LeafServer::start(ScriptedReply::Chunks("{\"hits\":", "[1,2]}")).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.upstream(server.address, 2);

    // Act.
    let reply = fixture.pool.call(upstream, &fixture.header(1), query()).await.unwrap();

    // Assert.
    expect_that!(&reply.body[..], eq(br#"{"hits":[1,2]}"#));
    expect_that!(reply.snapshot, eq(SnapshotId(7)));
    expect_that!(reply.shard, eq(ShardIndex(3)));
    expect_that!(reply.in_flight, some(eq(2)));
    expect_that!(reply.newest_snapshot, some(eq(SnapshotId(9))));
    expect_true!(reply.draining);
}

#[gtest]
#[tokio::test]
async fn reply_of_another_call_or_incomplete_is_bad() {
    // Arrange.
    let cases = [
        ("cut off at an earlier end", ScriptedReply::Body("{\"hits\":[1,")),
        ("not JSON", ScriptedReply::Body("hits")),
        ("two values", ScriptedReply::Body("{}{}")),
        ("empty", ScriptedReply::Body("")),
        ("shorter than its length", ScriptedReply::Header("content-length", "3")),
        ("another request", ScriptedReply::Header(header_names::REQUEST_ID, "00")),
        ("another call", ScriptedReply::Header(header_names::CALL_ID, "2")),
        ("another shard", ScriptedReply::Header(header_names::SHARD, "4")),
        ("another snapshot", ScriptedReply::Header(header_names::SNAPSHOT, "8")),
        ("no request", ScriptedReply::Header(header_names::REQUEST_ID, "")),
        ("no call", ScriptedReply::Header(header_names::CALL_ID, "")),
        ("no shard", ScriptedReply::Header(header_names::SHARD, "")),
        ("no snapshot", ScriptedReply::Header(header_names::SNAPSHOT, "")),
    ];
    for (name, script) in cases {
        let server = LeafServer::start(script).await;
        let fixture = PoolFixture::new();
        let upstream = fixture.upstream(server.address, 2);

        // Act.
        let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

        // Assert.
        expect_that!(failure, err(eq(&CallFailure::BadReply)), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn refusal_is_not_run_only_if_the_upstream_says_so() {
    // Arrange.
    let not_run = |reason| CallFailure::NotRun { reason, retry_after: None };
    let cases: [(&[(&str, &str)], CallFailure); 7] = [
        (&[("mux-ran", "false"), ("mux-reason", "shed")], not_run(NotRunReason::Shed)),
        (&[("mux-ran", "false"), ("mux-reason", "draining")], not_run(NotRunReason::Draining)),
        (
            &[("mux-ran", "false"), ("mux-reason", "snapshot_missing")],
            not_run(NotRunReason::SnapshotMissing),
        ),
        (
            &[("mux-ran", "false"), ("mux-reason", "deadline_passed")],
            not_run(NotRunReason::DeadlinePassed),
        ),
        (&[("mux-ran", "true"), ("mux-reason", "shed")], CallFailure::UpstreamError),
        (&[("mux-reason", "shed")], CallFailure::UpstreamError),
        (
            &[("mux-ran", "false"), ("mux-reason", "shed"), ("mux-call-id", "2")],
            CallFailure::UpstreamError,
        ),
    ];
    for (refusal, expected) in cases {
        let server = LeafServer::start(ScriptedReply::Refusal(refusal)).await;
        let fixture = PoolFixture::new();
        let upstream = fixture.upstream(server.address, 2);

        // Act.
        let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

        // Assert.
        expect_that!(failure, err(eq(&expected)), "{refusal:?}");
    }
}
