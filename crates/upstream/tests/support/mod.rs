//! Fixtures shared by the tests: a pool, calls, and small servers on loopback.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod leaf_server;
mod raw_server;
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

pub(crate) use leaf_server::{LeafServer, ScriptedReply};
pub(crate) use raw_server::{RawServer, frames};
pub(crate) use silent_relay::SilentRelay;

/// Limit for what must happen at all; no test depends on how fast it does.
pub(crate) const OUTER_LIMIT: Duration = Duration::from_secs(20);

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

    /// Makes `address` known with a limit of `connections`.
    pub(crate) fn upstream(&self, address: SocketAddr, connections: u32) -> UpstreamId {
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
            deadline: self.timer.now() + OUTER_LIMIT,
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
    pub(crate) async fn wait_for(
        &self,
        upstream: UpstreamId,
        condition: impl Fn(&UpstreamReport) -> bool,
    ) -> UpstreamReport {
        self.wait_until(|| condition(&self.report(upstream))).await;
        self.report(upstream)
    }

    /// Starts calls until `connections` connections, the upstream's limit, have `calls_each` calls.
    pub(crate) async fn fill(
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
            // The calls of a round go to the newest connection and bring about the next one.
            let report = (connections.min(open + 1), open * calls_each);
            self.wait_for(upstream, |it| (it.open, it.calls_in_flight) == report).await;
        }
        calls
    }

    /// Waits until `condition` holds.
    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        let started = self.timer.now();
        while !condition() {
            assert!(self.timer.now().since(started) < OUTER_LIMIT, "the condition never came");
            self.timer.sleep(Duration::from_millis(5)).await;
        }
    }
}

pub(crate) fn query() -> Bytes {
    Bytes::from_static(br#"{"text":"print"}"#)
}
