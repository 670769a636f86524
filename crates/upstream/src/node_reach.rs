//! What this node knows about its contact with upstreams, shared by calls and probes.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{TimePoint, UpstreamId};
use mux_routing::reach::{ContactFailure, ProbeReason, ProbeResult, ReachChange, ReachMonitor};
use mux_timer::TimerService;
use tokio::sync::{Notify, watch};

/// Time since the latest reply of an upstream up to which a node that is cut takes its open connections
/// for usable.
const KEPT_CONTACT_AGE: Duration = Duration::from_millis(300);
/// Longest time for which a failed request waits for the result of a probe.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(800);

/// This node's contact with upstreams.
#[derive(Debug)]
pub struct NodeReach {
    monitor: Mutex<ReachMonitor>,
    /// Wakes the task that probes.
    wakeup: Notify,
    is_cut: watch::Sender<bool>,
    /// Number of probes that have ended.
    probes: watch::Sender<u64>,
}

impl Default for NodeReach {
    fn default() -> Self {
        Self::new()
    }
}

impl NodeReach {
    /// Creates the state of a node without contact so far.
    pub fn new() -> Self {
        Self {
            monitor: Mutex::default(),
            wakeup: Notify::new(),
            is_cut: watch::Sender::new(false),
            probes: watch::Sender::new(0),
        }
    }

    /// Records a reply of an upstream.
    pub fn on_reply(&self, now: TimePoint) {
        self.lock().on_reply(now);
    }

    /// Records that an upstream accepted a connection.
    pub fn on_connected(&self, now: TimePoint) {
        self.lock().on_connected(now);
    }

    /// Records a failed attempt to reach an upstream.
    pub fn on_failure(&self, upstream: UpstreamId, failure: ContactFailure) {
        self.lock().on_failure(upstream, failure);
        self.wakeup.notify_one();
    }

    /// Lets the node probe because it is about to serve more callers.
    pub fn probe_at_once(&self) {
        self.lock().probe_at_once();
    }

    /// Lets the task that probes check whether it has to, because the known nodes have changed.
    pub fn check(&self) {
        self.wakeup.notify_one();
    }

    /// Waits until a failure is recorded or the known nodes have changed.
    pub async fn woken(&self) {
        self.wakeup.notified().await;
    }

    /// Returns when upstreams have to be probed, and why; `known` is the number of known upstreams.
    pub fn next_probe(&self, known: usize) -> Option<(TimePoint, ProbeReason)> {
        self.lock().next_probe(known)
    }

    /// Applies the result of a probe that began at `started`.
    pub fn on_probe(
        &self,
        now: TimePoint,
        started: TimePoint,
        reason: ProbeReason,
        result: ProbeResult,
    ) -> Option<ReachChange> {
        let change = self.lock().on_probe(now, started, reason, result);
        match change {
            Some(ReachChange::Cut) => _ = self.is_cut.send_replace(true),
            Some(ReachChange::Returned(_)) => _ = self.is_cut.send_replace(false),
            None => {}
        }
        self.probes.send_modify(|it| *it += 1);
        change
    }

    /// Returns the time since the latest contact with an upstream; `None` before the first one.
    pub fn contact_age(&self, now: TimePoint) -> Option<Duration> {
        self.lock().contact_age(now)
    }

    /// Returns the latest contact with an upstream; zero before the first one.
    pub fn last_contact(&self) -> TimePoint {
        self.lock().last_contact()
    }

    /// Returns whether this node is cut from all upstreams.
    pub fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    /// Waits until this node is cut from all upstreams, and calls in flight will have no reply either.
    pub async fn wait_until_lost(&self, timer: &TimerService) {
        let mut is_cut = self.is_cut.subscribe();
        loop {
            // No error is possible: the sender is part of `self`.
            let _ = is_cut.wait_for(|it| *it).await;
            if !self.has_kept_connections(timer.now()) {
                return;
            }
            timer.sleep(KEPT_CONTACT_AGE).await;
        }
    }

    /// Returns whether upstreams replied on open connections just now, although new ones are refused.
    pub fn has_kept_connections(&self, now: TimePoint) -> bool {
        self.contact_age(now).is_some_and(|it| it <= KEPT_CONTACT_AGE)
    }

    /// Returns whether several upstreams failed and no probe has shown yet whether this node is cut.
    pub fn is_suspect(&self, known: usize) -> bool {
        self.lock().is_suspect(known)
    }

    /// Waits for the result of a probe if one is due; returns whether this node is cut from all
    /// upstreams.
    pub async fn settle(&self, timer: &TimerService, known: usize, limit: Duration) -> bool {
        if !self.is_cut() && self.is_suspect(known) {
            let mut probes = self.probes.subscribe();
            probes.mark_unchanged();
            let _ = timer.timeout(limit.min(MAX_PROBE_WAIT), probes.changed()).await;
        }
        self.is_cut()
    }

    fn lock(&self) -> MutexGuard<'_, ReachMonitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
