//! What this node knows about its contact with upstreams, shared by calls and probes.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{TimePoint, UpstreamId};
use mux_routing::reach::{ContactFailure, ProbeReason, ProbeResult, ReachChange, ReachMonitor};
use tokio::sync::Notify;

/// This node's contact with upstreams.
#[derive(Debug)]
pub(crate) struct NodeReach {
    monitor: Mutex<ReachMonitor>,
    /// Wakes the task that probes.
    failed: Notify,
}

impl NodeReach {
    pub(crate) fn new() -> Self {
        Self { monitor: Mutex::default(), failed: Notify::new() }
    }

    /// Records a reply of an upstream.
    pub(crate) fn on_reply(&self, now: TimePoint) {
        self.lock().on_reply(now);
    }

    /// Records that an upstream accepted a connection.
    pub(crate) fn on_connected(&self, now: TimePoint) {
        self.lock().on_connected(now);
    }

    /// Records a failed attempt to reach an upstream.
    pub(crate) fn on_failure(&self, upstream: UpstreamId, failure: ContactFailure) {
        self.lock().on_failure(upstream, failure);
        self.failed.notify_one();
    }

    /// Lets the node probe because it is about to serve more callers.
    pub(crate) fn probe_at_once(&self) {
        self.lock().probe_at_once();
        self.failed.notify_one();
    }

    /// Waits until a failure is recorded.
    pub(super) async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Returns when upstreams have to be probed, and why; `known` is the number of known upstreams.
    pub(super) fn next_probe(&self, known: usize) -> Option<(TimePoint, ProbeReason)> {
        self.lock().next_probe(known)
    }

    /// Applies the result of a probe that began at `started`.
    pub(super) fn on_probe(
        &self,
        now: TimePoint,
        started: TimePoint,
        reason: ProbeReason,
        result: ProbeResult,
    ) -> Option<ReachChange> {
        self.lock().on_probe(now, started, reason, result)
    }

    /// Returns the time since the latest contact with an upstream; `None` before the first one.
    pub(crate) fn contact_age(&self, now: TimePoint) -> Option<Duration> {
        self.lock().contact_age(now)
    }

    fn lock(&self) -> MutexGuard<'_, ReachMonitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
