//! Fixtures of the tests: a pool, calls, and servers on loopback ports.

#![allow(dead_code, unused_imports, reason = "no test file uses all of them")]

mod raw_server;
mod scripted_upstream;
mod silent_relay;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use mux_model::{
    CallFailure, CallId, RequestId, ServiceName, ShardIndex, SnapshotId, TimePoint, UpstreamId,
};
use mux_timer::TimerService;
use mux_upstream::{CallHeader, PoolSettings, UpstreamPool, UpstreamReply, UpstreamReport};
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;

pub(crate) use raw_server::{RawServer, frames};
pub(crate) use scripted_upstream::{ScriptedReply, ScriptedUpstream};
pub(crate) use silent_relay::SilentRelay;

/// Time limit of waits and calls; no test depends on how early within it they finish.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) struct PoolFixture {
    pub(crate) pool: UpstreamPool,
    pub(crate) timer: TimerService,
}

impl PoolFixture {
    pub(crate) fn new() -> Self {
        Self::with_settings(PoolSettings::default())
    }

    pub(crate) fn with_settings(settings: PoolSettings) -> Self {
        let timer = TimerService::start(Duration::from_secs(1));
        let pool = UpstreamPool::start(settings, timer.clone(), Logger::root(Discard, o!()));
        Self { pool, timer }
    }

    /// Adds the upstream at `address` with a limit of `connections`.
    pub(crate) fn add_upstream(&self, address: SocketAddr, connections: u32) -> UpstreamId {
        let upstream = UpstreamId(address);
        self.pool.set_limit(upstream, connections);
        upstream
    }

    pub(crate) fn header(&self, call: u32) -> CallHeader {
        CallHeader {
            request: RequestId(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef),
            call: CallId(call),
            service: ServiceName::from("shopfront-1"),
            snapshot: SnapshotId(7),
            shard: ShardIndex(3),
            deadline: self.timer.now() + TEST_TIMEOUT,
        }
    }

    pub(crate) fn expired_header(&self) -> CallHeader {
        CallHeader { deadline: TimePoint::ZERO, ..self.header(1) }
    }

    pub(crate) fn report(&self, upstream: UpstreamId) -> UpstreamReport {
        let report = self.pool.report();
        report.upstreams.into_iter().find(|it| it.upstream == upstream).expect("known upstream")
    }

    /// Waits until the upstream's report meets `condition`.
    pub(crate) async fn wait_for_report(
        &self,
        upstream: UpstreamId,
        condition: impl Fn(&UpstreamReport) -> bool,
    ) -> UpstreamReport {
        self.wait_until(|| condition(&self.report(upstream))).await;
        self.report(upstream)
    }

    /// Starts calls until `connections` connections are open, which has to be the upstream's limit,
    /// with `calls_each` calls in flight on each.
    pub(crate) async fn fill_connections(
        &self,
        upstream: UpstreamId,
        connections: u32,
        calls_each: u32,
    ) -> Vec<JoinHandle<Result<UpstreamReply, CallFailure>>> {
        let mut calls = Vec::new();
        for open in 1..=connections {
            for _ in 0..calls_each {
                let header = self.header(u32::try_from(calls.len()).expect("few calls"));
                let pool = self.pool.clone();
                calls
                    .push(tokio::spawn(async move { pool.call(upstream, &header, query()).await }));
            }
            // The calls of one iteration use the newest connection and trigger the next dial.
            let report = (connections.min(open + 1), open * calls_each);
            self.wait_for_report(upstream, |it| (it.open, it.calls_in_flight) == report).await;
        }
        calls
    }

    /// Waits until `condition` holds.
    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        let start = self.timer.now();
        while !condition() {
            assert!(
                self.timer.now().since(start) < TEST_TIMEOUT,
                "the condition was not met in time"
            );
            self.timer.sleep(Duration::from_millis(5)).await;
        }
    }
}

pub(crate) fn query() -> Bytes {
    Bytes::from_static(br#"{"text":"print"}"#)
}
