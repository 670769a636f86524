//! Serves callers' requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use mux_config::traffic::{RequestLimits, RouteTable};
use mux_http::{BodyError, BodyLimits, receive_body};

use crate::{
    WireProtocol,
    edge_state::{EdgeState, StopPhase},
    planned_stop::wait_for_final_answers,
    query::{
        CallerRequest, FinalAnswer, RequestHandler, RequestOrigin, failure_answer, refusal_answer,
        stopping_answer,
    },
};

/// Bytes of a header line besides its name and value: colon, space and line break.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;
/// Suggested retry delay if there is no memory for a body, long enough for some to be complete.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time that a caller is taken to have left if its request does not tell.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(1);

/// Serves one request of a caller.
pub(crate) async fn serve_request<W: WireProtocol>(
    edge: Arc<EdgeState>,
    caller_address: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let received_at = edge.timer.now();
    let handler = RequestHandler::new(&edge);
    let metadata = W::read_request(request.headers()).ok();
    let time_left = metadata.as_ref().and_then(|it| it.time_left);
    let id = metadata.map(|it| it.request_id);
    let routes = edge.route_table();
    let version = routes.as_ref().map(|it| it.version());
    let read = tokio::select! {
        biased;
        read = read_request(&edge, routes, caller_address, request, time_left) => read,
        () = wait_for_final_answers(&edge) => Err(stopping_answer(Duration::ZERO)),
    };
    let answer = match read {
        Ok(request) => handler.handle::<W>(request).await,
        Err(refusal) => handler.record_refusal(received_at, id.as_ref(), version, refusal),
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if edge.stop_phase() != StopPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn read_request(
    edge: &EdgeState,
    routes: Option<Arc<RouteTable>>,
    caller_address: SocketAddr,
    request: Request<Incoming>,
    time_left: Option<Duration>,
) -> Result<CallerRequest, FinalAnswer> {
    let received_at = edge.timer.now();
    let limits = routes.as_ref().map(|it| it.request_limits());
    let (head, body) = request.into_parts();
    if limits.is_some_and(|it| it.header_bytes < header_bytes_used(&head.headers)) {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(failure_answer(status, "rejected", "the head of the request is too long"));
    }
    let body = read_body(edge, &head, body, limits, time_left).await?;
    Ok(CallerRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        received_at,
        caller_address,
        origin: RequestOrigin::Caller,
        routes,
    })
}

async fn read_body(
    edge: &EdgeState,
    head: &Parts,
    body: Incoming,
    limits: Option<RequestLimits>,
    time_left: Option<Duration>,
) -> Result<Bytes, FinalAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let Some(limits) = limits else {
        // The request is refused, as it stays without routes, so the body is not needed.
        return Ok(Bytes::new());
    };
    let limits = BodyLimits { max_bytes: limits.body_bytes, receive_time: limits.idle_timeout };
    let received = receive_body(&edge.timer, &edge.body_buffers, head, body, limits).await;
    received.map_err(|error| match error {
        BodyError::TooLong => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            failure_answer(status, "rejected", "the body of the request is too long")
        }
        BodyError::Malformed(_) => {
            let reason = "the body of the request is malformed";
            failure_answer(StatusCode::BAD_REQUEST, "rejected", reason)
        }
        BodyError::TimedOut => {
            let reason = "the body of the request took too long";
            failure_answer(StatusCode::REQUEST_TIMEOUT, "not_run", reason)
        }
        BodyError::NoMemory(error) => {
            let usage = edge.body_buffers.usage();
            let reason = format!(
                "no memory for the body of the request: {error}; {} of {} bytes are in use",
                usage.used_bytes, usage.limit_bytes
            );
            let time_left = time_left.unwrap_or(DEFAULT_TIME_LEFT);
            refusal_answer(&reason, Some(NO_MEMORY_RETRY_DELAY), time_left)
        }
    })
}

fn header_bytes_used(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES)
        .sum()
}
