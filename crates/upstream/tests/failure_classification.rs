//! Classification of failed calls by whether the upstream may have run them.

mod support;

use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, UpstreamId};
use mux_upstream::header_names;
use tokio::net::TcpListener;

use support::{PoolFixture, RawServer, ScriptedReply, ScriptedUpstream, frames, query};

const NOT_SENT: CallFailure =
    CallFailure::NotRun { reason: NotRunReason::NotSent, retry_after: None };

#[gtest]
#[tokio::test]
async fn failure_after_the_write_counts_as_not_run_only_if_the_upstream_declares_it() {
    // Arrange.
    let partial_reply = [
        frames::reply_head(&[
            (header_names::REQUEST_ID, "0123456789abcdef0123456789abcdef"),
            (header_names::CALL_ID, "1"),
            (header_names::SNAPSHOT, "7"),
            (header_names::SHARD, "3"),
        ]),
        frames::data("{\"hits\":[1"),
    ]
    .concat();
    let cases = [
        ("stream refused", frames::REFUSED_STREAM.to_vec(), NOT_SENT),
        ("GOAWAY that excludes the stream", frames::GO_AWAY_LAST_STREAM_0.to_vec(), NOT_SENT),
        (
            "GOAWAY that covers the stream, then closed",
            frames::GO_AWAY_LAST_STREAM_1.to_vec(),
            CallFailure::ConnectionLost,
        ),
        ("closed without a reply", Vec::new(), CallFailure::ConnectionLost),
        ("reset without a reply", frames::RESET_STREAM.to_vec(), CallFailure::UpstreamError),
        (
            "reset during the reply",
            [&partial_reply, frames::RESET_STREAM].concat(),
            CallFailure::BadReply,
        ),
        (
            "refused during the reply",
            [&partial_reply, frames::REFUSED_STREAM].concat(),
            CallFailure::ConnectionLost,
        ),
        ("closed during the reply", partial_reply, CallFailure::ConnectionLost),
    ];
    for (name, reply, expected) in cases {
        let server = RawServer::start(reply).await;
        let fixture = PoolFixture::new();
        let upstream = fixture.add_upstream(server.address, 2);

        // Act.
        let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

        // Assert.
        expect_that!(failure, err(eq(&expected)), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn call_is_not_sent_if_the_upstream_closes_before_its_first_byte() {
    // Arrange.
    let fixture = PoolFixture::new();
    let server = RawServer::start_closing(fixture.timer.clone()).await;
    let upstream = fixture.add_upstream(server.address, 2);

    // Act.
    let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

    // Assert.
    expect_that!(
        failure,
        err(pat!(CallFailure::NotRun { reason: eq(&NotRunReason::NotSent), .. }))
    );
}

#[gtest]
#[tokio::test]
async fn call_is_not_sent_if_the_connection_is_refused() {
    // Arrange.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(address, 2);

    // Act.
    let failure = fixture.pool.call(upstream, &fixture.header(1), query()).await;

    // Assert.
    expect_that!(
        failure,
        err(pat!(CallFailure::NotRun { reason: eq(&NotRunReason::NotSent), .. }))
    );
}

#[gtest]
#[tokio::test]
async fn call_to_an_unknown_upstream_is_not_sent() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Body("{}")).await;
    let fixture = PoolFixture::new();

    // Act.
    let call = fixture.pool.call(UpstreamId(server.address), &fixture.header(1), query()).await;

    // Assert.
    expect_that!(call, err(eq(&NOT_SENT)));
}

#[gtest]
#[tokio::test]
async fn expired_call_is_not_run() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Body("{}")).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 2);

    // Act.
    let call = fixture.pool.call(upstream, &fixture.expired_header(), query()).await;

    // Assert.
    let reason = NotRunReason::DeadlinePassed;
    expect_that!(call, err(eq(&CallFailure::NotRun { reason, retry_after: None })));
}
