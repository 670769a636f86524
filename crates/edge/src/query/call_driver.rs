//! Executes the actions of a fan-out: calls, cancellations and timers.

use std::{
    fmt,
    pin::pin,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http::{HeaderValue, StatusCode};
use mux_model::{
    CallFailure, CallId, FastMap, InstanceId, NotRunReason, ServiceName, ShardIndex, TimePoint,
    UpstreamId,
};
use mux_quarantine::CRASH_LIMIT;
use mux_query::{CallReply, FanOut, FanOutAction, FanOutPlan, FanOutResult};
use mux_routing::{AcquireError, CallReservation, balancer::QueryRouter};
use tokio::sync::oneshot;

use crate::{
    WireProtocol,
    edge_metrics::ResultLabel,
    edge_state::EdgeState,
    request_quarantine::{record_crash, record_strong_sign},
    upstream::{CallError, CallResult, CallSpec, CallTemplate, UpstreamReply, spawn_call},
};

/// Which replies of an upstream are accepted as the reply of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcceptedReplies {
    /// Only signed replies with a success status.
    SuccessOnly,
    /// All signed replies except those with a server error status.
    AnyButServerError,
}

/// The result of a fan-out with the replies and failures of its shards.
#[derive(Debug)]
pub(super) struct CallDriverResult {
    pub(super) fan_out_result: FanOutResult,
    /// Accepted replies by shard.
    pub(super) replies: FastMap<ShardIndex, UpstreamReply>,
    /// The latest signed error reply of an upstream.
    pub(super) error_reply: Option<UpstreamReply>,
    /// Failed and unanswered calls in chronological order, then the calls for which no upstream was
    /// acquired, except those that had to wait for one.
    pub(super) failures: Vec<ShardFailure>,
}

/// A call to a shard that was not made or had no accepted reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShardFailure {
    pub(super) shard: ShardIndex,
    pub(super) cause: ShardFailureCause,
}

/// Why a shard has no reply from one upstream, or was not called.
#[derive(Debug, Clone, Copy)]
pub(super) enum ShardFailureCause {
    /// No upstream could be acquired for a call.
    NotCalled(AcquireError),
    /// The call to this upstream failed.
    Failed(UpstreamId, CallFailure),
    /// No reply was received from this upstream before the call was cancelled.
    NoReply(UpstreamId),
}

impl fmt::Display for ShardFailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotCalled(error) => error.fmt(f),
            Self::Failed(upstream, failure) => write!(f, "{upstream} {failure}"),
            Self::NoReply(upstream) => {
                write!(f, "{upstream} had not replied when the call was cancelled")
            }
        }
    }
}

/// Executes the calls of one query.
pub(super) struct CallDriver<'a> {
    edge: &'a Arc<EdgeState>,
    router: QueryRouter,
    plan: FanOutPlan,
    /// The service of each shard.
    services: &'a [ServiceName],
    template: Arc<CallTemplate>,
    accepted_replies: AcceptedReplies,
    replies: FastMap<ShardIndex, UpstreamReply>,
    error_reply: Option<UpstreamReply>,
    failures: Vec<ShardFailure>,
    calls_per_shard: FastMap<ShardIndex, u32>,
    /// Start of the attempt if the request was a suspect then.
    suspect_since: Option<TimePoint>,
}

#[derive(Debug)]
struct CallRecord {
    call: CallId,
    shard: ShardIndex,
    upstream: UpstreamId,
    started_at: TimePoint,
}

impl<'a> CallDriver<'a> {
    pub(super) fn new(
        edge: &'a Arc<EdgeState>,
        router: QueryRouter,
        plan: FanOutPlan,
        services: &'a [ServiceName],
        template: Arc<CallTemplate>,
        accepted_replies: AcceptedReplies,
    ) -> Self {
        Self {
            suspect_since: plan.is_suspect.then(|| edge.timer.now()),
            edge,
            router,
            plan,
            services,
            template,
            accepted_replies,
            replies: FastMap::default(),
            error_reply: None,
            failures: Vec::new(),
            calls_per_shard: FastMap::default(),
        }
    }

    /// Runs the query until it has a result. If the future is dropped, its calls are cancelled after
    /// a grace period, or at the deadline if the request must not be repeated.
    pub(super) async fn run<W: WireProtocol>(mut self) -> CallDriverResult {
        let timer = &self.edge.timer;
        let mut fan_out = FanOut::new(self.plan.clone());
        let mut calls = FuturesUnordered::new();
        let mut cancelled: Vec<CallId> = Vec::new();
        let mut sent_calls: Vec<(CallId, ShardIndex, UpstreamId)> = Vec::new();
        let mut actions = Vec::with_capacity(self.plan.map.shard_count() as usize + 1);
        let mut wake = pin!(timer.sleep_until(self.plan.deadline));
        let mut now = timer.now();
        fan_out.start(now, &self.router, &mut actions);
        loop {
            for action in actions.drain(..) {
                match action {
                    FanOutAction::Send { call, reservation, .. } => {
                        let (shard, upstream) = (reservation.shard, reservation.upstream());
                        let receiver = self.send::<W>(now, reservation);
                        let record = CallRecord { call, shard, upstream, started_at: now };
                        sent_calls.push((call, shard, upstream));
                        calls.push(wait_for_result(record, receiver));
                    }
                    FanOutAction::Cancel(call) => {
                        self.record_unanswered(&sent_calls, call);
                        cancelled.push(call);
                    }
                    FanOutAction::WakeAt(moment) => wake.set(timer.sleep_until(moment)),
                    FanOutAction::Finish(fan_out_result) => {
                        let Self { replies, error_reply, mut failures, router, .. } = self;
                        let not_called = router.refusals().into_iter().map(|(shard, error)| {
                            ShardFailure { shard, cause: ShardFailureCause::NotCalled(error) }
                        });
                        failures.extend(not_called);
                        return CallDriverResult { fan_out_result, replies, error_reply, failures };
                    }
                }
            }
            tokio::select! {
                biased;
                Some((record, call_result)) = calls.next(), if !calls.is_empty() => {
                    now = timer.now();
                    if !cancelled.contains(&record.call) {
                        self.on_call_result(&mut fan_out, now, &record, call_result, &mut actions);
                    }
                }
                () = &mut wake => {
                    now = timer.now();
                    wake.set(timer.sleep_until(self.plan.deadline));
                    fan_out.on_wake(now, &self.router, &mut actions);
                }
            }
        }
    }

    fn send<W: WireProtocol>(
        &mut self,
        now: TimePoint,
        reservation: CallReservation,
    ) -> oneshot::Receiver<CallResult> {
        let CallReservation { shard, slot } = reservation;
        let count = self.calls_per_shard.entry(shard).or_default();
        *count += 1;
        self.template.calls_per_shard.fetch_max(*count, Ordering::Relaxed);
        let spec = CallSpec {
            template: Arc::clone(&self.template),
            balancer: Arc::clone(self.router.balancer(shard)),
            slot,
            service: self.service(shard).clone(),
            reserved_at: now,
            suspect_since: self.suspect_since,
            deadline: self.plan.deadline,
            latency_estimate: self.router.latency_estimate(),
        };
        spawn_call::<W>(Arc::clone(self.edge), spec)
    }

    fn on_call_result(
        &mut self,
        fan_out: &mut FanOut,
        now: TimePoint,
        record: &CallRecord,
        call_result: CallResult,
        actions: &mut Vec<FanOutAction>,
    ) {
        let latency = now.since(record.started_at);
        let failure = match call_result {
            Ok(upstream_reply) if self.is_accepted(&upstream_reply) => {
                self.count_call_result("replied");
                self.replies.insert(record.shard, upstream_reply);
                let reply = CallReply {
                    request: self.plan.request,
                    snapshot: self.plan.map.snapshot(),
                    shard: record.shard,
                    body: Bytes::new(),
                };
                fan_out.on_reply(now, &self.router, record.call, reply, latency, actions);
                return;
            }
            Ok(upstream_reply)
                if upstream_reply.signature.is_some() && !upstream_reply.status.is_success() =>
            {
                self.error_reply = Some(upstream_reply);
                CallFailure::UpstreamError
            }
            Ok(_) => CallFailure::BadReply,
            Err(CallError { failure, ended_instance }) => {
                if let Some(instance) = ended_instance {
                    self.on_crash(fan_out, record, &instance);
                }
                failure
            }
        };
        self.count_call_result(failure_label(failure));
        let cause = ShardFailureCause::Failed(record.upstream, failure);
        self.failures.push(ShardFailure { shard: record.shard, cause });
        fan_out.on_failure(now, &self.router, record.call, failure, latency, actions);
    }

    /// Handles that the process of an upstream ended during a call.
    fn on_crash(&self, fan_out: &mut FanOut, record: &CallRecord, instance: &InstanceId) {
        let is_strong_sign = fan_out.is_strong_sign(record.call);
        let fingerprint = self.template.fingerprint();
        if fan_out.is_evidence(record.call) {
            let service = self.service(record.shard);
            let since = self.suspect_since;
            let crashes = record_crash(self.edge, fingerprint, service, instance, since);
            if CRASH_LIMIT <= crashes {
                fan_out.contain();
            }
        }
        if is_strong_sign {
            record_strong_sign(self.edge, fingerprint);
        }
    }

    /// Returns the service of a shard of the query.
    ///
    /// # Panics
    ///
    /// Panics if the query does not have the shard.
    fn service(&self, shard: ShardIndex) -> &ServiceName {
        &self.services[usize::try_from(shard.0).unwrap_or(usize::MAX)]
    }

    fn count_call_result(&self, result: &'static str) {
        self.edge.metrics.calls.get_or_create(&ResultLabel { result }).inc();
    }

    /// Records a cancelled call as a failure; the log omits it if another call to the shard
    /// succeeded.
    fn record_unanswered(&mut self, sent_calls: &[(CallId, ShardIndex, UpstreamId)], call: CallId) {
        if let Some((_, shard, upstream)) = sent_calls.iter().find(|it| it.0 == call).copied() {
            self.failures.push(ShardFailure { shard, cause: ShardFailureCause::NoReply(upstream) });
        }
    }

    fn is_accepted(&self, upstream_reply: &UpstreamReply) -> bool {
        if upstream_reply.signature.is_none() {
            return false;
        }
        match self.accepted_replies {
            AcceptedReplies::SuccessOnly => upstream_reply.status.is_success(),
            AcceptedReplies::AnyButServerError => {
                upstream_reply.status.as_u16() < StatusCode::INTERNAL_SERVER_ERROR.as_u16()
            }
        }
    }
}

/// Returns the metric label of a failed call.
fn failure_label(failure: CallFailure) -> &'static str {
    match failure {
        CallFailure::NotRun { reason: NotRunReason::NotSent, .. } => "not_sent",
        CallFailure::NotRun { reason: NotRunReason::ConnectionRefused, .. } => "connection_refused",
        CallFailure::NotRun { reason: NotRunReason::Shed, .. } => "shed",
        CallFailure::NotRun { .. } => "not_run",
        CallFailure::ConnectionLost => "connection_lost",
        CallFailure::UpstreamEnded => "upstream_ended",
        CallFailure::Silent => "silent",
        CallFailure::UpstreamError => "upstream_error",
        CallFailure::BadReply => "bad_reply",
        CallFailure::DeadlinePassed => "deadline_passed",
    }
}

/// Returns the signatures of the shards that replied, in shard order.
pub(super) fn signatures(replies: &FastMap<ShardIndex, UpstreamReply>) -> Vec<HeaderValue> {
    let mut signed: Vec<_> =
        replies.iter().filter_map(|(shard, it)| Some((*shard, it.signature.clone()?))).collect();
    signed.sort_by_key(|(shard, _)| *shard);
    signed.into_iter().map(|(_, signature)| signature).collect()
}

async fn wait_for_result(
    record: CallRecord,
    receiver: oneshot::Receiver<CallResult>,
) -> (CallRecord, CallResult) {
    // The sender is dropped without a result only if the task of the call has panicked.
    let call_result = receiver.await.unwrap_or_else(|_| Err(CallFailure::ConnectionLost.into()));
    (record, call_result)
}
