//! Serves the requests of nodes that are cut from all upstreams.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use http::StatusCode;
use mux_config::traffic::RouteTable;
use mux_model::RevisionNumber;

use super::{
    CallerRequest, RequestOrigin,
    assisted_answer::GIVEN_UP_OUTCOME,
    final_answer::{FinalAnswer, INTERRUPTED_OUTCOME, failure_answer},
    request_handler::RequestHandler,
};
use crate::{
    WireProtocol,
    edge_metrics::ResultLabel,
    edge_state::{EdgeState, StopPhase},
    relay::{ForwardedAnswer, ForwardedRequest, NotTakenReason, to_header_lines},
};

/// Maximum number of requests of other nodes that a node serves at the same time.
const HELPED_REQUESTS: usize = 256;
/// Maximum number of requests of other nodes in percent of [`HELPED_REQUESTS`] from which on only
/// requests of the most urgent routes are taken.
const URGENT_ONLY_PERCENT: usize = 75;

/// Serves a request that another node forwards because it is cut from all upstreams.
pub(crate) async fn serve_forwarded<W: WireProtocol>(
    edge: &Arc<EdgeState>,
    mut request: ForwardedRequest,
) -> ForwardedAnswer {
    let routes = edge.route_table();
    let answer = match take_request(edge, &request, routes.as_ref().map(|it| it.version())) {
        Ok((guard, body)) => {
            request.body = body;
            let answer = run_forwarded::<W>(edge, request, routes).await;
            drop(guard);
            answer
        }
        Err(refusal) => ForwardedAnswer::NotTaken { refusal, retry_after_ms: None },
    };
    let label = match &answer {
        ForwardedAnswer::Final { .. } => "answered",
        ForwardedAnswer::NotTaken { refusal, .. } => refusal.label(),
        ForwardedAnswer::GivenUp { .. } => GIVEN_UP_OUTCOME,
    };
    edge.metrics.helped_requests.get_or_create(&ResultLabel { result: label }).inc();
    answer
}

/// Counts a request of another node until it is dropped.
struct HelpedRequestGuard<'a> {
    edge: &'a EdgeState,
}

impl Drop for HelpedRequestGuard<'_> {
    fn drop(&mut self) {
        self.edge.helped_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Decides whether this node serves a request of another one; returns its body, which counts in the memory
/// for bodies.
fn take_request<'a>(
    edge: &'a EdgeState,
    request: &ForwardedRequest,
    version: Option<RevisionNumber>,
) -> Result<(HelpedRequestGuard<'a>, Bytes), NotTakenReason> {
    if edge.stop_phase() != StopPhase::Serving {
        return Err(NotTakenReason::Stopping);
    }
    if edge.reach.is_cut() {
        return Err(NotTakenReason::Cut);
    }
    if version.is_none_or(|it| it < request.version) {
        return Err(NotTakenReason::Outdated);
    }
    let in_flight = edge.helped_in_flight.fetch_add(1, Ordering::Relaxed);
    let guard = HelpedRequestGuard { edge };
    let limit = match request.rank == 0 {
        true => HELPED_REQUESTS,
        false => HELPED_REQUESTS * URGENT_ONLY_PERCENT / 100,
    };
    if limit <= in_flight {
        return Err(NotTakenReason::Busy);
    }
    let body = edge.body_buffers.adopt(edge.timer.now(), request.body.clone());
    Ok((guard, body.map_err(|_| NotTakenReason::Busy)?))
}

async fn run_forwarded<W: WireProtocol>(
    edge: &Arc<EdgeState>,
    request: ForwardedRequest,
    routes: Option<Arc<RouteTable>>,
) -> ForwardedAnswer {
    let version = routes.as_ref().map(|it| it.version());
    let Some((method, uri, headers)) = request.head() else {
        let reason = "a forwarded request is malformed";
        return to_forwarded(version, failure_answer(StatusCode::BAD_REQUEST, "rejected", reason));
    };
    let received_at = edge.timer.now();
    let origin = RequestOrigin::Node {
        node: request.origin.clone(),
        time_left: request.time_left(),
        elapsed: request.elapsed(),
        calls_made: request.calls_made,
        workspace: request.workspace.clone(),
        rank: request.rank,
        fingerprint: request.fingerprint,
    };
    let caller_address = request.caller;
    let body = request.body;
    let request =
        CallerRequest { method, uri, headers, body, received_at, caller_address, origin, routes };
    let calls_made = request.origin.calls_made();
    let (answer, own_calls) = RequestHandler::new(edge).handle_counted::<W>(request).await;
    if [GIVEN_UP_OUTCOME, INTERRUPTED_OUTCOME].contains(&answer.outcome) {
        return ForwardedAnswer::GivenUp { calls_made: calls_made + own_calls };
    }
    if answer.is_not_run() {
        let refusal = match edge.stop_phase() {
            StopPhase::Stopping(_) => NotTakenReason::Stopping,
            StopPhase::Serving if edge.reach.is_cut() => NotTakenReason::Cut,
            StopPhase::Serving => NotTakenReason::Busy,
        };
        let retry_after_ms =
            answer.retry_after().map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
        return ForwardedAnswer::NotTaken { refusal, retry_after_ms };
    }
    to_forwarded(version, answer)
}

/// Returns the answer to a request that was decided by the configuration `version`.
fn to_forwarded(version: Option<RevisionNumber>, answer: FinalAnswer) -> ForwardedAnswer {
    ForwardedAnswer::Final {
        status: answer.status.as_u16(),
        headers: to_header_lines(&answer.headers),
        body: answer.body,
        outcome: answer.outcome.to_owned(),
        version: version.unwrap_or(RevisionNumber(0)),
    }
}
