//! Carries out what a fan-out decides: calls, cancellations and waits.

use std::{fmt, pin::pin, sync::Arc};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http::{HeaderValue, StatusCode};
use mux_model::{CallFailure, CallId, FastMap, NotRunReason, ShardIndex, TimePoint, UpstreamId};
use mux_query::{CallReply, FanOut, FanOutAction, FanOutPlan, FanOutResult};
use mux_routing::{AcquireError, balancer::QueryRouter};
use tokio::sync::oneshot;

use crate::{
    WireProtocol,
    edge::Edge,
    edge_metrics::ResultLabel,
    upstream::{CallEnd, CallOrder, CallTemplate, UpstreamAnswer, spawn_call},
};

/// Which answers of an upstream count as the reply of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplyRule {
    /// Only a success.
    Success,
    /// Whatever is not the upstream's own failure.
    AnyButFailure,
}

/// What came of a fan-out.
#[derive(Debug)]
pub(super) struct DrivenResult {
    pub(super) result: FanOutResult,
    /// Answers of the shards that replied.
    pub(super) answers: FastMap<ShardIndex, UpstreamAnswer>,
    /// The latest failure that an upstream itself answered with.
    pub(super) failure: Option<UpstreamAnswer>,
    /// What kept shards from contributing, in order.
    pub(super) troubles: Vec<ShardTrouble>,
}

/// Why a call was not made or had no use.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShardTrouble {
    pub(super) shard: ShardIndex,
    pub(super) cause: TroubleCause,
}

/// What went wrong.
#[derive(Debug, Clone, Copy)]
pub(super) enum TroubleCause {
    /// No upstream was given for a call.
    NotCalled(AcquireError),
    /// The call to this upstream failed.
    Failed(UpstreamId, CallFailure),
    /// The call to this upstream had no reply when the answer was due.
    NoReply(UpstreamId),
}

impl fmt::Display for TroubleCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotCalled(error) => error.fmt(f),
            Self::Failed(upstream, failure) => write!(f, "{upstream} {failure}"),
            Self::NoReply(upstream) => write!(f, "{upstream} no reply yet"),
        }
    }
}

/// Drives the calls of one query.
pub(super) struct CallDriver<'a> {
    edge: &'a Arc<Edge>,
    router: QueryRouter,
    plan: FanOutPlan,
    template: Arc<CallTemplate>,
    rule: ReplyRule,
    answers: FastMap<ShardIndex, UpstreamAnswer>,
    failure: Option<UpstreamAnswer>,
    troubles: Vec<ShardTrouble>,
}

#[derive(Debug)]
struct CallRecord {
    call: CallId,
    shard: ShardIndex,
    upstream: UpstreamId,
    started: TimePoint,
}

impl<'a> CallDriver<'a> {
    pub(super) fn new(
        edge: &'a Arc<Edge>,
        router: QueryRouter,
        plan: FanOutPlan,
        template: Arc<CallTemplate>,
        rule: ReplyRule,
    ) -> Self {
        Self {
            edge,
            router,
            plan,
            template,
            rule,
            answers: FastMap::default(),
            failure: None,
            troubles: Vec::new(),
        }
    }

    /// Runs the query to its result; dropping the future gives all calls up.
    pub(super) async fn run<W: WireProtocol>(mut self) -> DrivenResult {
        let timer = &self.edge.timer;
        let mut fan_out = FanOut::new(self.plan.clone());
        let mut calls = FuturesUnordered::new();
        let mut cancelled: Vec<CallId> = Vec::new();
        let mut open: Vec<(CallId, ShardIndex, UpstreamId)> = Vec::new();
        let mut actions = Vec::with_capacity(self.plan.map.shard_count() as usize + 1);
        let mut wake = pin!(timer.sleep_until(self.plan.deadline));
        let mut now = timer.now();
        fan_out.start(now, &self.router, &mut actions);
        loop {
            for action in actions.drain(..) {
                match action {
                    FanOutAction::Send { call, shard, upstream, .. } => {
                        let receiver = self.send::<W>(now, shard, upstream);
                        let record = CallRecord { call, shard, upstream, started: now };
                        open.push((call, shard, upstream));
                        calls.push(wait_for(record, receiver));
                    }
                    FanOutAction::Cancel(call) => {
                        self.note_unanswered(&open, call);
                        cancelled.push(call);
                    }
                    FanOutAction::WakeAt(moment) => wake.set(timer.sleep_until(moment)),
                    FanOutAction::Finish(result) => {
                        let Self { answers, failure, mut troubles, router, .. } = self;
                        let not_called = router.refusals().into_iter().map(|(shard, error)| {
                            ShardTrouble { shard, cause: TroubleCause::NotCalled(error) }
                        });
                        troubles.extend(not_called);
                        return DrivenResult { result, answers, failure, troubles };
                    }
                }
            }
            tokio::select! {
                biased;
                Some((record, end)) = calls.next(), if !calls.is_empty() => {
                    now = timer.now();
                    if !cancelled.contains(&record.call) {
                        self.take_end(&mut fan_out, now, &record, end, &mut actions);
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
        &self,
        now: TimePoint,
        shard: ShardIndex,
        upstream: UpstreamId,
    ) -> oneshot::Receiver<CallEnd> {
        let order = CallOrder {
            template: Arc::clone(&self.template),
            balancer: Arc::clone(self.router.balancer(shard)),
            upstream,
            started: now,
            deadline: self.plan.deadline,
            latency_estimate: self.router.latency_estimate(),
        };
        spawn_call::<W>(Arc::clone(self.edge), order)
    }

    fn take_end(
        &mut self,
        fan_out: &mut FanOut,
        now: TimePoint,
        record: &CallRecord,
        end: CallEnd,
        actions: &mut Vec<FanOutAction>,
    ) {
        let latency = now.since(record.started);
        let failure = match end {
            Ok(answer) if self.is_reply(&answer) => {
                self.count_call("replied");
                self.answers.insert(record.shard, answer);
                let reply = CallReply {
                    request: self.plan.request,
                    snapshot: self.plan.map.snapshot(),
                    shard: record.shard,
                    body: Bytes::new(),
                };
                fan_out.on_reply(now, &self.router, record.call, reply, latency, actions);
                return;
            }
            Ok(answer) if answer.signature.is_some() && !answer.status.is_success() => {
                self.failure = Some(answer);
                CallFailure::UpstreamError
            }
            Ok(_) => CallFailure::BadReply,
            Err(failure) => failure,
        };
        self.count_call(failure_label(failure));
        let cause = TroubleCause::Failed(record.upstream, failure);
        self.troubles.push(ShardTrouble { shard: record.shard, cause });
        fan_out.on_failure(now, &self.router, record.call, failure, latency, actions);
    }

    fn count_call(&self, result: &'static str) {
        self.edge.metrics.calls.get_or_create(&ResultLabel { result }).inc();
    }

    /// Notes a call that is given up; one whose shard was answered by another call is left out of
    /// what is logged.
    fn note_unanswered(&mut self, open: &[(CallId, ShardIndex, UpstreamId)], call: CallId) {
        if let Some((_, shard, upstream)) = open.iter().find(|it| it.0 == call).copied() {
            self.troubles.push(ShardTrouble { shard, cause: TroubleCause::NoReply(upstream) });
        }
    }

    fn is_reply(&self, answer: &UpstreamAnswer) -> bool {
        if answer.signature.is_none() {
            return false;
        }
        match self.rule {
            ReplyRule::Success => answer.status.is_success(),
            ReplyRule::AnyButFailure => {
                answer.status.as_u16() < StatusCode::INTERNAL_SERVER_ERROR.as_u16()
            }
        }
    }
}

/// Returns the value of the label of failed calls.
fn failure_label(failure: CallFailure) -> &'static str {
    match failure {
        CallFailure::NotRun { reason: NotRunReason::NotSent, .. } => "not_sent",
        CallFailure::NotRun { reason: NotRunReason::Shed, .. } => "shed",
        CallFailure::NotRun { .. } => "not_run",
        CallFailure::ConnectionLost => "connection_lost",
        CallFailure::Silent => "silent",
        CallFailure::UpstreamError => "upstream_error",
        CallFailure::BadReply => "bad_reply",
        CallFailure::DeadlinePassed => "deadline_passed",
    }
}

/// Returns the signatures of the shards that replied, in shard order.
pub(super) fn signatures(answers: &FastMap<ShardIndex, UpstreamAnswer>) -> Vec<HeaderValue> {
    let mut signed: Vec<_> =
        answers.iter().filter_map(|(shard, it)| Some((*shard, it.signature.clone()?))).collect();
    signed.sort_by_key(|(shard, _)| *shard);
    signed.into_iter().map(|(_, signature)| signature).collect()
}

async fn wait_for(
    record: CallRecord,
    receiver: oneshot::Receiver<CallEnd>,
) -> (CallRecord, CallEnd) {
    // A call that ends without a word has lost its task.
    let end = receiver.await.unwrap_or(Err(CallFailure::ConnectionLost));
    (record, end)
}
