//! Cancelled calls and silent connections.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use googletest::prelude::*;
use mux_model::CallFailure;
use mux_upstream::PoolSettings;

use support::{PoolFixture, ScriptedReply, ScriptedUpstream, SilentRelay, query};

#[gtest]
#[tokio::test]
async fn dropped_call_resets_its_stream_and_keeps_the_connection() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Hang).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 2);
    let started = || server.counters.started.load(Ordering::SeqCst);
    let cancelled = || server.counters.cancelled.load(Ordering::SeqCst);

    // Act.
    let header = fixture.header(1);
    tokio::select! {
        _ = fixture.pool.call(upstream, &header, query()) => {}
        _ = fixture.wait_until(|| started() == 1) => {}
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
async fn silent_connection_is_aborted_while_new_ones_work() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Body("{}")).await;
    let relay = SilentRelay::start(server.address).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(relay.address, 2);
    fixture.pool.call(upstream, &fixture.header(1), query()).await.unwrap();

    // Act.
    relay.silence_open_connections();
    let silent = fixture.pool.call(upstream, &fixture.header(2), query()).await;
    let after_redial = fixture.pool.call(upstream, &fixture.header(3), query()).await;

    // Assert.
    expect_that!(silent, err(eq(&CallFailure::Silent)));
    expect_that!(after_redial, ok(anything()));
    expect_that!(fixture.report(upstream).silent_connections, eq(1));
}

#[gtest]
#[tokio::test]
async fn idle_silent_connection_is_aborted_before_the_next_call() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Body("{}")).await;
    let relay = SilentRelay::start(server.address).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(relay.address, 1);
    fixture.pool.call(upstream, &fixture.header(1), query()).await.unwrap();

    // Act.
    relay.silence_open_connections();
    fixture.wait_for_report(upstream, |it| it.open == 0).await;
    let call = fixture.pool.call(upstream, &fixture.header(2), query()).await;

    // Assert.
    expect_that!(call, ok(anything()));
    expect_that!(fixture.report(upstream).silent_connections, eq(1));
}

#[gtest]
#[tokio::test]
async fn responsive_connection_with_a_slow_reply_is_not_aborted() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Hang).await;
    let settings = PoolSettings {
        ping_interval: Duration::from_millis(100),
        sibling_silence_timeout: Duration::from_secs(2),
        silence_timeout: Duration::from_secs(2),
        ..PoolSettings::default()
    };
    let fixture = PoolFixture::with_settings(settings);
    let upstream = fixture.add_upstream(server.address, 1);
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
