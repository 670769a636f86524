//! Answers requests with the help of other nodes while this node is cut from all upstreams.

use std::{
    fmt::Write,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::StatusCode;
use mux_config::traffic::{ExecutionSemantics, RouteRule, RouteTarget};
use mux_model::{NodeId, RevisionNumber};
use mux_query::AnswerTiming;
use slog::warn;

use super::{
    RequestOrigin,
    dispatch_summary::DispatchSummary,
    final_answer::{FinalAnswer, failure_answer, refusal_answer},
    request_handler::RequestHandler,
    workspace_admission::WorkspaceAdmission,
};
use crate::{
    WireProtocol,
    edge_metrics::ResultLabel,
    edge_state::EdgeState,
    relay::{
        ForwardedAnswer, ForwardedRequest, HelperResult, NotTakenReason, to_header_lines,
        to_header_map, to_status,
    },
    upstream::CallTemplate,
};

/// Number of helpers to which a request is sent at most.
const MAX_HELPERS: usize = 4;
/// Time for which an answer of a helper is awaited after the deadline, at which the helper answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Part of the remaining time for which a failed request waits for the result of a probe.
const PROBE_WAIT_DIVISOR: u32 = 3;

/// Reason in the answer to a request whose calls were lost.
const LOST_REASON: &str = "the connection was lost while the request may have run";
/// Outcome of a request that another node has to repeat.
pub(super) const GIVEN_UP_OUTCOME: &str = "given_up";

/// A request with its route, on the way to its answer.
pub(super) struct RequestAttempt<'a> {
    pub(super) rule: &'a RouteRule,
    pub(super) version: RevisionNumber,
    pub(super) timing: AnswerTiming,
    pub(super) template: &'a Arc<CallTemplate>,
    pub(super) origin: &'a RequestOrigin,
    pub(super) admission: &'a WorkspaceAdmission,
}

impl RequestAttempt<'_> {
    /// Returns the time until the final answer is due.
    fn time_left(&self, edge: &EdgeState) -> Duration {
        self.timing.deadline.since(edge.timer.now())
    }

    fn is_idempotent(&self) -> bool {
        self.rule.execution == ExecutionSemantics::Idempotent
    }

    /// Returns the calls to each shard that may have run.
    fn calls_made(&self) -> u32 {
        self.origin.calls_made() + self.template.calls_per_shard.load(Ordering::Relaxed)
    }
}

/// What became of a request that was to be forwarded.
enum ForwardResult {
    /// The answer to the caller.
    Answered(FinalAnswer, DispatchSummary),
    /// No helper has taken the request, which was not run there.
    NotTaken(DispatchSummary),
}

impl RequestHandler<'_> {
    /// Answers a request: with calls of this node to upstreams, or those of a helper if this node is
    /// cut from all upstreams.
    pub(super) async fn answer<W: WireProtocol>(
        &self,
        attempt: &RequestAttempt<'_>,
    ) -> (FinalAnswer, DispatchSummary) {
        let edge = self.edge;
        if !attempt.origin.is_caller() {
            return self.answer_for_node::<W>(attempt).await;
        }
        if (edge.reach.is_cut() && !self.can_use_kept_connections(attempt))
            || attempt.version < edge.helpers.served_version()
        {
            return match self.forward(attempt, 0).await {
                ForwardResult::Answered(answer, summary) => (answer, summary),
                ForwardResult::NotTaken(summary) => {
                    let reason =
                        "this node reaches no upstream, and no other node takes the request";
                    (refusal_answer(reason, summary.retry_after, attempt.time_left(edge)), summary)
                }
            };
        }
        let local = tokio::select! {
            biased;
            local = self.answer_locally::<W>(attempt) => Some(local),
            () = edge.reach.wait_until_lost(&edge.timer), if attempt.is_idempotent() && !edge.reach.is_cut() => None,
        };
        match local {
            Some((answer, summary)) if answer.is_failure() => {
                self.answer_after_failure(attempt, answer, summary).await
            }
            Some(local) => local,
            None => self.repeat_after_cut(attempt).await,
        }
    }

    /// Answers a request of another node with calls of this one, until this one is cut itself.
    async fn answer_for_node<W: WireProtocol>(
        &self,
        attempt: &RequestAttempt<'_>,
    ) -> (FinalAnswer, DispatchSummary) {
        let reach = &self.edge.reach;
        let given_up = || failure_answer(StatusCode::BAD_GATEWAY, GIVEN_UP_OUTCOME, LOST_REASON);
        let local = tokio::select! {
            biased;
            local = self.answer_locally::<W>(attempt) => Some(local),
            () = reach.wait_until_lost(&self.edge.timer), if attempt.is_idempotent() => None,
        };
        let Some((answer, summary)) = local else {
            return (given_up(), DispatchSummary::default());
        };
        let may_go_on = answer.is_not_run() || attempt.is_idempotent();
        if !answer.is_failure() || !may_go_on || !self.settle(attempt).await {
            if answer.is_not_run() && 0 < attempt.origin.calls_made() {
                // It may have run before this node received it.
                return (failure_answer(StatusCode::BAD_GATEWAY, "failed", LOST_REASON), summary);
            }
            return (answer, summary);
        }
        if answer.is_not_run() { (answer, summary) } else { (given_up(), summary) }
    }

    /// Waits for the result of a probe if one is due; returns whether this node is cut from all
    /// upstreams.
    async fn settle(&self, attempt: &RequestAttempt<'_>) -> bool {
        let edge = self.edge;
        let limit = attempt.time_left(edge) / PROBE_WAIT_DIVISOR;
        let known = edge.upstreams().len();
        edge.reach.settle(&edge.timer, known, limit).await
    }

    /// Handles a failure of this node's own calls: if the node is cut from all upstreams, a helper may
    /// serve the request.
    async fn answer_after_failure(
        &self,
        attempt: &RequestAttempt<'_>,
        answer: FinalAnswer,
        summary: DispatchSummary,
    ) -> (FinalAnswer, DispatchSummary) {
        let is_not_run = answer.is_not_run();
        if !is_not_run && !attempt.is_idempotent() {
            return (answer, summary);
        }
        if !self.settle(attempt).await {
            return (answer, summary);
        }
        if is_not_run {
            return match self.forward(attempt, 0).await {
                ForwardResult::Answered(answer, summary) => (answer, summary),
                ForwardResult::NotTaken(_) => (answer, summary),
            };
        }
        self.repeat_after_cut(attempt).await
    }

    /// Lets a helper repeat an idempotent request whose calls this node has given up.
    async fn repeat_after_cut(
        &self,
        attempt: &RequestAttempt<'_>,
    ) -> (FinalAnswer, DispatchSummary) {
        let result = match self.may_repeat(attempt, attempt.calls_made()) {
            true => self.forward(attempt, attempt.calls_made()).await,
            false => ForwardResult::NotTaken(DispatchSummary::default()),
        };
        match result {
            ForwardResult::Answered(answer, summary) => (answer, summary),
            ForwardResult::NotTaken(summary) => {
                (failure_answer(StatusCode::BAD_GATEWAY, "failed", LOST_REASON), summary)
            }
        }
    }

    fn may_repeat(&self, attempt: &RequestAttempt<'_>, calls_made: u32) -> bool {
        attempt.is_idempotent()
            && calls_made < attempt.rule.max_calls
            && !attempt.time_left(self.edge).is_zero()
    }

    /// Returns whether this node can serve a request on open connections, although it can open no new
    /// ones.
    fn can_use_kept_connections(&self, attempt: &RequestAttempt<'_>) -> bool {
        if !self.edge.reach.has_kept_connections(self.edge.timer.now()) {
            return false;
        }
        let has_free = |it| self.edge.balancer(it).has_free_connection();
        match &attempt.rule.target {
            RouteTarget::Service(service) => has_free(service),
            RouteTarget::Split(services) => services.iter().all(|it| has_free(&it.service)),
            RouteTarget::Shards(shard_set) => shard_set.services.iter().all(has_free),
        }
    }

    /// Lets helpers serve a request of which `calls_made` calls to each shard may have run.
    async fn forward(&self, attempt: &RequestAttempt<'_>, mut calls_made: u32) -> ForwardResult {
        let edge = self.edge;
        let mut summary = DispatchSummary::default();
        let mut tried: Vec<NodeId> = Vec::new();
        let mut is_busy = false;
        while tried.len() < MAX_HELPERS && !attempt.time_left(edge).is_zero() {
            if is_busy && attempt.timing.target <= edge.timer.now() {
                // Under an overload, further attempts would only add to it.
                break;
            }
            let helpers = edge.nodes().helpers();
            let Some(helper) = edge.helpers.choose(edge.timer.now(), &helpers, &tried) else {
                break;
            };
            tried.push(helper.node.clone());
            let request = self.forwarded_request(attempt, calls_made);
            let limit = attempt.time_left(edge) + ANSWER_MARGIN;
            attempt.template.is_forwarded.store(true, Ordering::Relaxed);
            let running = Box::pin(edge.helpers.run_request(edge, &helper, request, limit));
            let result = running.await;
            edge.metrics.forwarded_requests.get_or_create(&result_label(&result)).inc();
            // Writing to a string does not fail.
            let _ = write!(summary.helpers, "{}: {}; ", helper.node, describe(&result));
            match result {
                HelperResult::Answered(ForwardedAnswer::Final {
                    status,
                    headers,
                    body,
                    version,
                    ..
                }) => {
                    edge.helpers.set_served_version(version);
                    let (Some(status), Some(headers)) =
                        (to_status(status), to_header_map(&headers))
                    else {
                        warn!(edge.logger, "request: malformed answer of a helper";
                            "helper" => helper.node.as_str(), "status" => status);
                        let status = StatusCode::BAD_GATEWAY;
                        let answer = failure_answer(status, "failed", LOST_REASON);
                        return ForwardResult::Answered(answer, summary);
                    };
                    let answer = FinalAnswer { status, headers, body, outcome: "forwarded" };
                    return ForwardResult::Answered(answer, summary);
                }
                HelperResult::Answered(ForwardedAnswer::NotTaken { refusal, retry_after_ms }) => {
                    is_busy |= refusal == NotTakenReason::Busy;
                    summary.retry_after =
                        summary.retry_after.max(retry_after_ms.map(Duration::from_millis));
                }
                HelperResult::NotSent => {}
                HelperResult::Lost | HelperResult::Answered(ForwardedAnswer::GivenUp { .. }) => {
                    calls_made = match result {
                        HelperResult::Answered(ForwardedAnswer::GivenUp { calls_made }) => {
                            calls_made
                        }
                        // The helper may have hedged each call.
                        _ => attempt.rule.max_calls,
                    };
                    if !self.may_repeat(attempt, calls_made) {
                        let status = StatusCode::BAD_GATEWAY;
                        let answer = failure_answer(status, "failed", LOST_REASON);
                        return ForwardResult::Answered(answer, summary);
                    }
                }
            }
        }
        if 0 < calls_made {
            let answer = failure_answer(StatusCode::BAD_GATEWAY, "failed", LOST_REASON);
            return ForwardResult::Answered(answer, summary);
        }
        ForwardResult::NotTaken(summary)
    }

    fn forwarded_request(&self, attempt: &RequestAttempt<'_>, calls_made: u32) -> ForwardedRequest {
        let edge = self.edge;
        let template = attempt.template;
        let millis = |it: Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        ForwardedRequest {
            origin: edge.settings.node.node.clone(),
            method: template.method.as_str().to_owned(),
            target: template.target.to_string(),
            headers: to_header_lines(&template.headers),
            body: template.body.clone(),
            caller: template.caller_address,
            time_left_ms: millis(attempt.time_left(edge)),
            elapsed_ms: millis(edge.timer.now().since(template.received_at)),
            version: attempt.version.max(edge.helpers.served_version()),
            calls_made,
            rank: attempt.admission.rank,
            workspace: attempt.admission.workspace.clone(),
            fingerprint: template.fingerprint(),
        }
    }
}

fn result_label(result: &HelperResult) -> ResultLabel {
    let result = match result {
        HelperResult::Answered(ForwardedAnswer::Final { .. }) => "answered",
        HelperResult::Answered(ForwardedAnswer::NotTaken { refusal, .. }) => refusal.label(),
        HelperResult::Answered(ForwardedAnswer::GivenUp { .. }) => GIVEN_UP_OUTCOME,
        HelperResult::NotSent => "not_sent",
        HelperResult::Lost => "lost",
    };
    ResultLabel { result }
}

/// Returns the result for the log line of the request.
fn describe(result: &HelperResult) -> &str {
    match result {
        HelperResult::Answered(ForwardedAnswer::Final { outcome, .. }) => outcome,
        HelperResult::Answered(ForwardedAnswer::NotTaken { refusal, .. }) => refusal.label(),
        HelperResult::Answered(ForwardedAnswer::GivenUp { .. }) => GIVEN_UP_OUTCOME,
        HelperResult::NotSent => "not sent",
        HelperResult::Lost => "no answer",
    }
}
