//! Limit on the connections that the pool opens, and closing of connections.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use futures::future::join_all;
use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason};
use mux_upstream::PoolSettings;
use tokio::net::TcpListener;

use support::{PoolFixture, ScriptedReply, ScriptedUpstream, query};

const LONG_BACKOFF: Duration = Duration::from_secs(3_600);

#[gtest]
#[tokio::test]
async fn connections_stay_within_the_limit() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Hang).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 2);

    // Act.
    let calls = fixture.fill_connections(upstream, 2, 20).await;
    let header = fixture.header(100);
    let additional = fixture.pool.call(upstream, &header, query());
    let release = async {
        fixture.wait_for_report(upstream, |it| it.calls_in_flight == 41).await;
        server.set_script(ScriptedReply::Body("{}"));
    };
    let (additional, ()) = tokio::join!(additional, release);

    // Assert.
    expect_that!(additional, ok(anything()));
    expect_that!(join_all(calls).await, each(ok(ok(anything()))));
    expect_that!(fixture.report(upstream).dials, eq(2));
    expect_that!(server.counters.accepted.load(Ordering::SeqCst), eq(2));
}

#[gtest]
#[tokio::test]
async fn lowered_limit_closes_connections_after_their_calls() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Hang).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 3);
    let calls = fixture.fill_connections(upstream, 3, 20).await;

    // Act.
    fixture.pool.set_limit(upstream, 1);
    let lowered = fixture.report(upstream);
    server.set_script(ScriptedReply::Body("{}"));

    // Assert.
    expect_that!(lowered.open, eq(3));
    expect_that!(join_all(calls).await, each(ok(ok(anything()))));
    fixture.wait_for_report(upstream, |it| it.open == 1).await;
    fixture.wait_until(|| server.counters.open.load(Ordering::SeqCst) == 1).await;
}

#[gtest]
#[tokio::test]
async fn removed_upstream_loses_its_connections() {
    // Arrange.
    let server = ScriptedUpstream::start(ScriptedReply::Body("{}")).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 2);
    fixture.pool.call(upstream, &fixture.header(1), query()).await.unwrap();

    // Act.
    fixture.pool.retain(&[]);

    // Assert.
    fixture.wait_until(|| server.counters.open.load(Ordering::SeqCst) == 0).await;
    let call = fixture.pool.call(upstream, &fixture.header(2), query()).await;
    let reason = NotRunReason::NotSent;
    expect_that!(call, err(eq(&CallFailure::NotRun { reason, retry_after: None })));
}

#[gtest]
#[tokio::test]
async fn failed_dial_is_not_repeated_within_the_backoff() {
    // Arrange.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let settings = PoolSettings {
        backoff_min: LONG_BACKOFF,
        backoff_max: LONG_BACKOFF,
        ..PoolSettings::default()
    };
    let fixture = PoolFixture::with_settings(settings);
    let upstream = fixture.add_upstream(address, 4);

    // Act.
    let mut failures = Vec::new();
    for call in 0..50 {
        failures.push(fixture.pool.call(upstream, &fixture.header(call), query()).await);
    }

    // Assert.
    let not_sent = pat!(CallFailure::NotRun {
        reason: eq(&NotRunReason::NotSent),
        retry_after: some(anything()),
    });
    expect_that!(failures, each(err(not_sent)));
    expect_that!(fixture.report(upstream).dials, eq(1));
}

#[gtest]
#[tokio::test]
async fn failed_additional_dial_fails_no_call() {
    // Arrange.
    let server = ScriptedUpstream::start_limited(ScriptedReply::Hang, 1).await;
    let settings = PoolSettings {
        backoff_min: LONG_BACKOFF,
        backoff_max: LONG_BACKOFF,
        ..PoolSettings::default()
    };
    let fixture = PoolFixture::with_settings(settings);
    let upstream = fixture.add_upstream(server.address, 4);
    let headers: Vec<_> = (0..60).map(|call| fixture.header(call)).collect();
    let calls = join_all(headers.iter().map(|it| fixture.pool.call(upstream, it, query())));

    // Act.
    let release = async {
        let report = fixture.wait_for_report(upstream, |it| 0 < it.failed_dials).await;
        server.set_script(ScriptedReply::Body("{}"));
        report
    };
    let (replies, report) = tokio::join!(calls, release);

    // Assert.
    expect_that!(replies, each(ok(anything())));
    expect_that!(report.open, eq(1));
    expect_that!(fixture.report(upstream).dials, eq(2));
}
