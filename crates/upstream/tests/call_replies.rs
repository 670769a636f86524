//! Checks and classification of replies.

mod support;

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, ShardIndex, SnapshotId};
use mux_upstream::header_names;

use support::{PoolFixture, ScriptedReply, ScriptedUpstream, query};

#[gtest]
#[tokio::test]
async fn complete_reply_is_returned_with_its_load_drain_and_snapshot_headers() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Chunks("{\"hits\":", "[1,2]}")).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 2);

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
async fn mismatched_or_malformed_reply_is_bad() {
    // Arrange.
    let cases = [
        ("truncated JSON", ScriptedReply::Body("{\"hits\":[1,")),
        ("not JSON", ScriptedReply::Body("hits")),
        ("two JSON values", ScriptedReply::Body("{}{}")),
        ("empty body", ScriptedReply::Body("")),
        ("shorter than its content length", ScriptedReply::Header("content-length", "3")),
        ("other request ID", ScriptedReply::Header(header_names::REQUEST_ID, "00")),
        ("other call ID", ScriptedReply::Header(header_names::CALL_ID, "2")),
        ("other shard", ScriptedReply::Header(header_names::SHARD, "4")),
        ("other snapshot", ScriptedReply::Header(header_names::SNAPSHOT, "8")),
        ("no request ID", ScriptedReply::Header(header_names::REQUEST_ID, "")),
        ("no call ID", ScriptedReply::Header(header_names::CALL_ID, "")),
        ("no shard", ScriptedReply::Header(header_names::SHARD, "")),
        ("no snapshot", ScriptedReply::Header(header_names::SNAPSHOT, "")),
    ];
    for (name, script) in cases {
        let server = ScriptedUpstream::start(script).await;
        let fixture = PoolFixture::new();
        let upstream = fixture.add_upstream(server.address, 2);

        // Act.
        let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

        // Assert.
        expect_that!(failure, err(eq(&CallFailure::BadReply)), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn error_response_counts_as_not_run_only_if_the_upstream_declares_it() {
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
    for (headers, expected) in cases {
        let server = ScriptedUpstream::start(ScriptedReply::ErrorResponse(headers)).await;
        let fixture = PoolFixture::new();
        let upstream = fixture.add_upstream(server.address, 2);

        // Act.
        let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

        // Assert.
        expect_that!(failure, err(eq(&expected)), "{headers:?}");
    }
}
