//! Cancelled calls and connections without progress.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use googletest::prelude::*;
use mux_model::CallFailure;
use mux_upstream::PoolSettings;

use support::{LeafServer, PoolFixture, ScriptedReply, SilentRelay, query};

#[gtest]
#[tokio::test]
async fn dropped_call_resets_its_stream_and_keeps_the_connection() {
    // Arrange.
    let server = LeafServer::start(ScriptedReply::Hang).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.upstream(server.address, 2);
    let begun = || server.counters.begun.load(Ordering::SeqCst);
    let cancelled = || server.counters.cancelled.load(Ordering::SeqCst);

    // Act.
    let header = fixture.header(1);
    tokio::select! {
        _ = fixture.pool.call(upstream, &header, query()) => {}
        _ = fixture.wait_until(|| begun() == 1) => {}
    }

    // Assert.
    fixture.wait_until(|| cancelled() == 1).await;
    server.set_script(ScriptedReply::Body("{}"));
    let reply = fixture.pool.call(upstream, &fixture.header(2), query()).await;
    expect_that!(reply, ok(anything()));
    expect_that!(server.counters.accepted.load(Ordering::SeqCst), eq(1));
}

#[gtest]
#[tokio::test]
async fn silent_connection_is_retired_while_new_ones_work() {
    // Arrange.
    let server = LeafServer::start(ScriptedReply::Body("{}")).await;
    let relay = SilentRelay::start(server.address).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.upstream(relay.address, 2);
    fixture.pool.call(upstream, &fixture.header(1), query()).await.unwrap();

    // Act.
    relay.silence_open();
    let silent = fixture.pool.call(upstream, &fixture.header(2), query()).await;
    let redialed = fixture.pool.call(upstream, &fixture.header(3), query()).await;

    // Assert.
    expect_that!(silent, err(eq(&CallFailure::Silent)));
    expect_that!(redialed, ok(anything()));
    expect_that!(fixture.report(upstream).silent_connections, eq(1));
}

#[gtest]
#[tokio::test]
async fn idle_connection_that_went_silent_is_retired_before_the_next_call() {
    // Arrange.
    let server = LeafServer::start(ScriptedReply::Body("{}")).await;
    let relay = SilentRelay::start(server.address).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.upstream(relay.address, 1);
    fixture.pool.call(upstream, &fixture.header(1), query()).await.unwrap();

    // Act.
    relay.silence_open();
    fixture.wait_for(upstream, |it| it.open == 0).await;
    let call = fixture.pool.call(upstream, &fixture.header(2), query()).await;

    // Assert.
    expect_that!(call, ok(anything()));
    expect_that!(fixture.report(upstream).silent_connections, eq(1));
}

#[gtest]
#[tokio::test]
async fn slow_reply_on_an_answering_connection_is_waited_for() {
    // Arrange.
    let server = LeafServer::start(ScriptedReply::Hang).await;
    let settings = PoolSettings {
        probe_interval: Duration::from_millis(100),
        sibling_silence_limit: Duration::from_secs(2),
        silence_limit: Duration::from_secs(2),
        ..PoolSettings::default()
    };
    let fixture = PoolFixture::with_settings(settings);
    let upstream = fixture.upstream(server.address, 1);
    let header = fixture.header(1);

    // Act.
    let release = async {
        fixture.timer.sleep(Duration::from_secs(3)).await;
        server.set_script(ScriptedReply::Body("{}"));
    };
    let (reply, ()) = tokio::join!(fixture.pool.call(upstream, &header, query()), release);

    // Assert.
    expect_that!(reply, ok(anything()));
    expect_that!(fixture.report(upstream).silent_connections, eq(0));
}
