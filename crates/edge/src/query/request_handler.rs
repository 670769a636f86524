//! Finds the route of a request, calls its upstreams and creates the final answer.

use std::{
    num::NonZeroU32,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, StatusCode};
use mux_config::traffic::{ExecutionSemantics, RouteRule, RouteTarget, ShardSet};
use mux_model::{RequestId, RevisionNumber, ServiceName, SnapshotId, TimePoint};
use mux_quarantine::{AttemptKind, RequestFingerprint};
use mux_query::{AnswerTiming, FanOutPlan, greatest_records};
use mux_routing::balancer::{QueryConstraints, QueryRouter};
use slog::info;

use super::{
    CallerRequest, RequestOrigin,
    assisted_answer::RequestAttempt,
    call_driver::{AcceptedReplies, CallDriver, CallDriverResult, signatures},
    caller_request::DisconnectGuard,
    dispatch_summary::DispatchSummary,
    final_answer::{
        FinalAnswer, failure_answer, interrupted_answer, quarantined_answer, refusal_answer,
        stopped_answer, stopping_answer,
    },
    outdated_config::{no_config_answer, no_route_answer},
    workspace_admission::{WorkspaceAdmission, admit_workspace},
};
use crate::{
    RequestMetadataError, WireProtocol,
    edge_state::{EdgeState, StopPhase},
    planned_stop::wait_for_final_answers,
    request_quarantine::{admit_request, end_trial, record_answer},
    upstream::UpstreamReply,
};

/// Route label of requests that were refused before a route was found.
const NO_ROUTE_LABEL: &str = "(none)";

/// Handles callers' requests.
pub(crate) struct RequestHandler<'a> {
    pub(super) edge: &'a Arc<EdgeState>,
}

/// Properties of a request that are logged with its answer.
struct RequestLogContext<'a> {
    id: &'a HeaderValue,
    /// Fingerprint of the content; `None` if no decision needed it.
    fingerprint: Option<RequestFingerprint>,
    rule: &'a RouteRule,
    version: RevisionNumber,
    origin: &'a RequestOrigin,
    admission: &'a WorkspaceAdmission,
    summary: &'a DispatchSummary,
}

impl<'a> RequestHandler<'a> {
    pub(crate) fn new(edge: &'a Arc<EdgeState>) -> Self {
        Self { edge }
    }

    /// Returns the final answer. If the future is dropped, the calls of the request are cancelled
    /// after a grace period, or at the deadline if the request must not be repeated.
    pub(crate) async fn handle<W: WireProtocol>(&self, request: CallerRequest) -> FinalAnswer {
        self.handle_counted::<W>(request).await.0
    }

    /// Returns the final answer like [`Self::handle`], and the largest number of calls to one shard.
    pub(super) async fn handle_counted<W: WireProtocol>(
        &self,
        request: CallerRequest,
    ) -> (FinalAnswer, u32) {
        let version = request.routes.as_ref().map(|it| it.version());
        let mut metadata = match W::read_request(&request.headers) {
            Ok(it) => it,
            Err(error) => {
                let answer = bad_request_answer(error);
                return (self.record_refusal(request.received_at, None, version, answer), 0);
            }
        };
        if let RequestOrigin::Node { time_left, .. } = request.origin {
            metadata.time_left = Some(time_left);
        }
        let id = Some(&metadata.request_id);
        let Some(table) = request.routes.clone() else {
            let answer = no_config_answer(metadata.time_left);
            return (self.record_refusal(request.received_at, id, version, answer), 0);
        };
        let host = request.host();
        let Some(rule) = table.find(&host, request.uri.path()) else {
            let path = request.uri.path();
            let answer =
                no_route_answer(self.edge, table.version(), metadata.time_left, &host, path);
            return (self.record_refusal(request.received_at, id, version, answer), 0);
        };
        let rule = Arc::clone(rule);
        let version = table.version();
        let received_at = request.received_at;
        let origin = request.origin.clone();
        let timing = AnswerTiming::new(
            received_at,
            metadata.time_left,
            rule.time_limit,
            rule.latency_target.saturating_sub(origin.elapsed()),
        );
        let now = self.edge.timer.now();
        if let StopPhase::Stopping(stop) = self.edge.stop_phase()
            && !stop.takes(now, &rule, &timing)
        {
            let answer = stopping_answer(timing.deadline.since(now));
            return (self.record_refusal(received_at, id, Some(version), answer), 0);
        }
        let admitted = admit_workspace::<W>(self.edge, &request, &metadata, &rule, &table).await;
        drop(table);
        let admission = match admitted {
            Ok(it) => it,
            Err(refusal) => {
                let log_context = RequestLogContext {
                    id: &metadata.request_id,
                    fingerprint: None,
                    rule: &rule,
                    version,
                    origin: &origin,
                    admission: &refusal.admission,
                    summary: &DispatchSummary::default(),
                };
                self.record_answer(received_at, &log_context, &refusal.answer);
                return (refusal.answer, 0);
            }
        };
        let template = request.into_template::<W>(&metadata, rule.execution, &admission);
        let template = Arc::new(template);
        let mut guard = DisconnectGuard { template: Arc::clone(&template), is_answered: false };
        let attempt = RequestAttempt {
            rule: &rule,
            version,
            timing,
            template: &template,
            origin: &origin,
            admission: &admission,
        };
        let (answer, summary) = tokio::select! {
            biased;
            answered = self.answer::<W>(&attempt) => answered,
            () = wait_for_final_answers(self.edge) => {
                (self.unfinished_answer(&attempt), DispatchSummary::default())
            }
        };
        guard.is_answered = true;
        admission.on_answered(self.edge, &answer);
        let log_context = RequestLogContext {
            id: &metadata.request_id,
            fingerprint: template.fingerprint.get().copied(),
            rule: &rule,
            version,
            origin: &origin,
            admission: &admission,
            summary: &summary,
        };
        self.record_answer(received_at, &log_context, &answer);
        (answer, template.calls_per_shard.load(Ordering::Relaxed))
    }

    /// Returns the final answer to a request in flight when this node has to exit. Its calls end with this
    /// node.
    fn unfinished_answer(&self, attempt: &RequestAttempt<'_>) -> FinalAnswer {
        if attempt.template.may_have_run() {
            return interrupted_answer();
        }
        stopping_answer(attempt.timing.deadline.since(self.edge.timer.now()))
    }

    /// Records the answer to a request that was refused before a route of the configuration `version` was
    /// found, and returns it.
    pub(crate) fn record_refusal(
        &self,
        received_at: TimePoint,
        id: Option<&HeaderValue>,
        version: Option<RevisionNumber>,
        answer: FinalAnswer,
    ) -> FinalAnswer {
        let now = self.edge.timer.now();
        self.edge.metrics.record_answer(NO_ROUTE_LABEL, answer.outcome, now.since(received_at));
        if let Some(suppressed) = self.edge.request_log.allow(now) {
            info!(self.edge.logger, "request: refused";
                "id" => id.and_then(|it| it.to_str().ok()).unwrap_or("(none)"),
                "version" => version.map_or(0, |it| it.0),
                "status" => answer.status.as_u16(),
                "outcome" => answer.outcome,
                "reason" => String::from_utf8_lossy(&answer.body).into_owned(),
                "suppressed_lines" => suppressed);
        }
        answer
    }

    /// Answers a request with calls of this node to upstreams.
    pub(super) async fn answer_locally<W: WireProtocol>(
        &self,
        attempt: &RequestAttempt<'_>,
    ) -> (FinalAnswer, DispatchSummary) {
        let fingerprint = || attempt.template.fingerprint();
        match admit_request(self.edge, fingerprint).await {
            Some(kind) => {
                let (answer, mut summary) =
                    self.dispatch::<W>(attempt, kind != AttemptKind::Ordinary).await;
                summary.attempt = Some(kind);
                if kind == AttemptKind::Trial {
                    end_trial(self.edge, fingerprint());
                }
                (answer, summary)
            }
            None => (quarantined_answer(), DispatchSummary::default()),
        }
    }

    async fn dispatch<W: WireProtocol>(
        &self,
        attempt: &RequestAttempt<'_>,
        is_suspect: bool,
    ) -> (FinalAnswer, DispatchSummary) {
        let RequestAttempt { rule, version, timing, template, origin, admission } = attempt;
        let split_service;
        let (services, accepted_replies, shard_set): (&[ServiceName], _, Option<&ShardSet>) =
            match &rule.target {
                RouteTarget::Service(service) => {
                    (std::slice::from_ref(service), AcceptedReplies::AnyButServerError, None)
                }
                RouteTarget::Split(weighted_services) => {
                    let Some(chosen) = self.edge.routes.choose_service(rule, weighted_services)
                    else {
                        let remaining = timing.deadline.since(self.edge.timer.now());
                        let reason = "no part of the route takes requests";
                        return (
                            refusal_answer(reason, None, remaining),
                            DispatchSummary::default(),
                        );
                    };
                    split_service = chosen;
                    (std::slice::from_ref(&split_service), AcceptedReplies::AnyButServerError, None)
                }
                RouteTarget::Shards(shard_set) => {
                    (&shard_set.services, AcceptedReplies::SuccessOnly, Some(shard_set))
                }
            };
        let balancers: Vec<_> = services.iter().map(|it| self.edge.balancer(it)).collect();
        let constraints = QueryConstraints {
            rank: admission.rank,
            started: self.edge.timer.now(),
            // A late reply of a single upstream is still useful to the caller; late replies of
            // shards mostly are not, because the caller has continued without them.
            soft_deadline: if shard_set.is_some() { timing.target } else { timing.deadline },
            deadline: timing.deadline,
        };
        let router = QueryRouter::new(
            SnapshotId(version.0),
            balancers,
            self.edge.routes.latency_estimator(rule),
            constraints,
        );
        let coverage = shard_set.map_or(1.0, |it| it.minimum_coverage);
        let plan = FanOutPlan {
            request: RequestId::random(),
            map: Arc::clone(router.map()),
            idempotent: rule.execution == ExecutionSemantics::Idempotent,
            latency_target: timing.target,
            deadline: timing.deadline,
            coverage_target: coverage,
            coverage_minimum: coverage,
            max_calls: NonZeroU32::new(rule.max_calls)
                .map(|it| remaining_calls(it, origin.calls_made())),
            is_suspect,
            is_repeat: 0 < origin.calls_made(),
        };
        let template = Arc::clone(template);
        let driver = CallDriver::new(
            self.edge,
            router,
            plan,
            services,
            Arc::clone(&template),
            accepted_replies,
        );
        let driver_result = driver.run::<W>().await;
        if driver_result.replies.len() == services.len() {
            let service = shard_set.is_none().then(|| &services[0]);
            record_answer(self.edge, template.fingerprint(), service);
        }
        let summary = DispatchSummary::new(&driver_result, services);
        let remaining = timing.deadline.since(self.edge.timer.now());
        let answer = match shard_set {
            Some(shard_set) => merged_answer::<W>(driver_result, shard_set, remaining),
            None => single_answer(driver_result, remaining),
        };
        (answer, summary)
    }

    fn record_answer(
        &self,
        received_at: TimePoint,
        log_context: &RequestLogContext<'_>,
        answer: &FinalAnswer,
    ) {
        let now = self.edge.timer.now();
        let latency = now.since(received_at);
        self.edge.metrics.record_answer(&log_context.rule.name, answer.outcome, latency);
        let Some(suppressed) = self.edge.request_log.allow(now) else {
            return;
        };
        let time_since_store_reply =
            self.edge.store_reachability().time_since_reply(now).unwrap_or_default();
        info!(self.edge.logger, "request: answered";
            "id" => log_context.id.to_str().unwrap_or("(not text)"),
            "route" => &log_context.rule.name,
            "workspace" => log_context.admission.workspace_name(),
            "rank" => log_context.admission.rank,
            "version" => log_context.version.0,
            "store_age_ms" => time_since_store_reply.as_millis() as u64,
            "status" => answer.status.as_u16(),
            "outcome" => answer.outcome,
            "ms" => latency.as_millis() as u64,
            "target_ms" => log_context.rule.latency_target.as_millis() as u64,
            "calls" => log_context.summary.calls,
            "shards" => log_context.summary.shards,
            "parts" => log_context.summary.replied_shards,
            "missing" => &log_context.summary.missing,
            "attempt" => log_context.summary.attempt.map_or("", AttemptKind::label),
            "fingerprint" => log_context.fingerprint.map(|it| it.to_string()).unwrap_or_default(),
            "helpers" => &log_context.summary.helpers,
            "origin" => log_context.origin.node_name(),
            "suppressed_lines" => suppressed);
    }
}

/// Returns how many of `max_calls` remain.
fn remaining_calls(max_calls: NonZeroU32, calls_made: u32) -> NonZeroU32 {
    NonZeroU32::new(max_calls.get().saturating_sub(calls_made)).unwrap_or(NonZeroU32::MIN)
}

fn merged_answer<W: WireProtocol>(
    driver_result: CallDriverResult,
    shard_set: &ShardSet,
    time_left: Duration,
) -> FinalAnswer {
    if driver_result.fan_out_result.stop.is_some() {
        return stopped_answer(&driver_result.fan_out_result, time_left);
    }
    let coverage = driver_result.fan_out_result.coverage;
    let missing = coverage.total - coverage.contributed;
    let bodies = driver_result.replies.values().map(|it| it.body.as_ref());
    let body = greatest_records(bodies, shard_set.record_count);
    let mut headers = HeaderMap::new();
    W::write_merged(&mut headers, &signatures(&driver_result.replies), missing);
    let outcome = if missing == 0 { "whole" } else { "partial" };
    FinalAnswer { status: StatusCode::OK, headers, body, outcome }
}

fn single_answer(mut driver_result: CallDriverResult, time_left: Duration) -> FinalAnswer {
    let reply = driver_result.replies.drain().next().map(|(_, it)| it);
    match (reply, driver_result.error_reply) {
        (Some(reply), _) if driver_result.fan_out_result.stop.is_none() => {
            forward_reply(reply, "whole")
        }
        (_, Some(error_reply)) => forward_reply(error_reply, "upstream_failed"),
        _ => stopped_answer(&driver_result.fan_out_result, time_left),
    }
}

fn forward_reply(reply: UpstreamReply, outcome: &'static str) -> FinalAnswer {
    FinalAnswer { status: reply.status, headers: reply.headers, body: reply.body, outcome }
}

fn bad_request_answer(error: RequestMetadataError) -> FinalAnswer {
    let reason = match error {
        RequestMetadataError::MissingId => "the request has no identity",
        RequestMetadataError::InvalidTimeLimit => "the time limit of the request is not a number",
    };
    failure_answer(StatusCode::BAD_REQUEST, "rejected", reason)
}
