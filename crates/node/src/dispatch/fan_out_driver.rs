//! Executes the actions of a fan-out: calls, cancellations and wake-ups.

use std::pin::pin;

use futures::{
    StreamExt,
    future::{AbortHandle, Abortable, Aborted},
    stream::FuturesUnordered,
};
use mux_model::{
    CallFailure, CallId, FastMap, NotRunReason, ServiceName, SnapshotId, TimePoint, UpstreamId,
};
use mux_quarantine::CRASH_LIMIT;
use mux_query::{CallReply, FanOut, FanOutAction, FanOutPlan, FanOutResult, QueryAttempts};
use mux_routing::CallReservation;
use mux_timer::TimerService;
use mux_upstream::{CallHeader, UpstreamPool, UpstreamReply};
use tokio::sync::mpsc;

use super::{QueryCommand, ServiceRuntime};
use crate::Node;

/// Result of a call, with the upstream and snapshot that it was for.
#[derive(Debug)]
pub(crate) struct CallReport {
    /// Upstream that was called.
    pub(crate) upstream: UpstreamId,
    /// Snapshot that was requested.
    pub(crate) snapshot: SnapshotId,
    /// Reply or failure.
    pub(crate) result: Result<UpstreamReply, CallFailure>,
}

/// Drives one fan-out until it finishes.
pub(crate) struct FanOutDriver<'a> {
    node: &'a Node,
    timer: &'a TimerService,
    pool: &'a UpstreamPool,
    runtime: &'a ServiceRuntime,
    service: &'a ServiceName,
    plan: FanOutPlan,
    command: &'a QueryCommand,
    /// Start of the attempt if the query was a suspect then.
    suspect_since: Option<TimePoint>,
}

struct CallCompletion {
    call: CallId,
    upstream: UpstreamId,
    sent_at: TimePoint,
    result: Result<UpstreamReply, CallFailure>,
}

impl<'a> FanOutDriver<'a> {
    /// Creates a driver for the fan-out of `plan`.
    pub(crate) fn new(
        node: &'a Node,
        runtime: &'a ServiceRuntime,
        plan: FanOutPlan,
        command: &'a QueryCommand,
    ) -> Self {
        let (timer, pool) = (node.timer(), node.pool());
        let suspect_since = plan.is_suspect.then(|| timer.now());
        Self { node, timer, pool, runtime, service: runtime.name(), plan, command, suspect_since }
    }

    /// Runs the fan-out and returns its result.
    ///
    /// An idempotent query is abandoned when the caller disconnects. Any other query continues, so
    /// that its outcome is recorded for a repeated request.
    pub(crate) async fn run(
        self,
        attempts: &QueryAttempts,
        caller_disconnected: &mut mpsc::Receiver<()>,
    ) -> FanOutResult {
        let router = self.runtime.router();
        let mut fan_out = FanOut::with_first_call(self.plan.clone(), attempts.next_call());
        let mut calls = FuturesUnordered::new();
        let mut abort_handles = FastMap::default();
        let mut actions = Vec::with_capacity(self.plan.map.shard_count() as usize + 1);
        let mut wake = pin!(self.timer.sleep_until(self.plan.deadline));
        let mut watch_caller = self.plan.idempotent;
        fan_out.start(self.timer.now(), router, &mut actions);
        loop {
            for action in actions.drain(..) {
                match action {
                    FanOutAction::Send { call, reservation, deadline } => {
                        let (handle, registration) = AbortHandle::new_pair();
                        abort_handles.insert(call, handle);
                        let future = self.call(call, reservation, deadline);
                        calls.push(Abortable::new(future, registration));
                    }
                    FanOutAction::Cancel(call) => {
                        if let Some(handle) = abort_handles.remove(&call) {
                            handle.abort();
                        }
                    }
                    FanOutAction::WakeAt(moment) => wake.set(self.timer.sleep_until(moment)),
                    FanOutAction::Finish(result) => return result,
                }
            }
            tokio::select! {
                biased;
                Some(finished) = calls.next(), if !calls.is_empty() => {
                    let Ok::<CallCompletion, Aborted>(completion) = finished else {
                        continue;
                    };
                    abort_handles.remove(&completion.call);
                    self.handle_completion(&mut fan_out, attempts, completion, &mut actions);
                }
                () = &mut wake => {
                    wake.set(self.timer.sleep_until(self.plan.deadline));
                    fan_out.on_wake(self.timer.now(), router, &mut actions);
                }
                _ = caller_disconnected.recv(), if watch_caller => {
                    watch_caller = false;
                    fan_out.abandon(self.timer.now(), router, &mut actions);
                }
            }
        }
    }

    async fn call(
        &self,
        call: CallId,
        reservation: CallReservation,
        deadline: TimePoint,
    ) -> CallCompletion {
        let (shard, upstream) = (reservation.shard, reservation.upstream());
        let header = CallHeader {
            request: self.plan.request,
            call,
            service: self.service.clone(),
            snapshot: self.plan.map.snapshot(),
            shard,
            deadline,
        };
        let sent_at = self.timer.now();
        let result = self.pool.call(upstream, &header, self.command.body.clone()).await;
        CallCompletion { call, upstream, sent_at, result }
    }

    fn handle_completion(
        &self,
        fan_out: &mut FanOut,
        attempts: &QueryAttempts,
        completion: CallCompletion,
        actions: &mut Vec<FanOutAction>,
    ) {
        let now = self.timer.now();
        let latency = now.since(completion.sent_at);
        let snapshot = self.plan.map.snapshot();
        let report =
            CallReport { upstream: completion.upstream, snapshot, result: completion.result };
        if let Some(draining) = self.runtime.record_call(now, &report) {
            self.node.set_upstream_draining(report.upstream, draining);
        }
        let router = self.runtime.router();
        match report.result {
            Ok(reply) => {
                self.node.record_survival(self.command, completion.sent_at);
                let reply = CallReply {
                    request: self.plan.request,
                    snapshot: reply.snapshot,
                    shard: reply.shard,
                    body: reply.body,
                };
                fan_out.on_reply(now, router, completion.call, reply, latency, actions);
            }
            Err(failure) => {
                if failure == CallFailure::UpstreamEnded {
                    self.on_crash(fan_out, completion.call, report.upstream);
                }
                fan_out.on_failure(now, router, completion.call, failure, latency, actions);
                let missing = matches!(
                    failure,
                    CallFailure::NotRun { reason: NotRunReason::SnapshotMissing, .. }
                );
                if missing
                    && self.runtime.has_other_snapshot(attempts.unavailable_snapshots(), snapshot)
                {
                    fan_out.stop_if_snapshot_unavailable(now, router, actions);
                }
            }
        }
    }

    /// Handles that the process of an upstream ended during a call.
    fn on_crash(&self, fan_out: &mut FanOut, call: CallId, upstream: UpstreamId) {
        let is_strong_sign = fan_out.is_strong_sign(call);
        if fan_out.is_evidence(call) {
            let crashes = self.node.record_crash(self.command, upstream, self.suspect_since);
            if CRASH_LIMIT <= crashes {
                fan_out.contain();
            }
        }
        if is_strong_sign {
            self.node.record_strong_sign(self.command);
        }
    }
}
