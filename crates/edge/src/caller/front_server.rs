//! Takes in callers' requests.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use mux_config::traffic::RequestLimits;

use crate::{
    WireProtocol,
    edge::{Edge, StopPhase},
    query::{CallerRequest, FinalAnswer, QueryFlow, failure_answer},
};

/// Bytes that a header line takes besides its name and value.
const HEADER_LINE_BYTES: usize = 4;

/// Answers one request of a caller.
pub(crate) async fn serve_front<W: WireProtocol>(
    edge: Arc<Edge>,
    _caller: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived = edge.timer.now();
    let flow = QueryFlow::new(&edge);
    let id = W::read_request(request.headers()).ok().map(|it| it.request_id);
    let answer = match read_request(&edge, request).await {
        Ok(request) => flow.answer::<W>(request).await,
        Err(refused) => flow.refuse(arrived, id.as_ref(), refused),
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if edge.phase() != StopPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn read_request(
    edge: &Edge,
    request: Request<Incoming>,
) -> Result<CallerRequest, FinalAnswer> {
    let arrived = edge.timer.now();
    let bounds = edge.table().map(|it| it.request_limits());
    let (head, body) = request.into_parts();
    if bounds.is_some_and(|it| it.header_bytes < head_bytes(&head.headers)) {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(failure_answer(status, "rejected", "the head of the request is too long"));
    }
    let body = read_body(edge, body, bounds).await?;
    Ok(CallerRequest { method: head.method, uri: head.uri, headers: head.headers, body, arrived })
}

async fn read_body(
    edge: &Edge,
    body: Incoming,
    bounds: Option<RequestLimits>,
) -> Result<Bytes, FinalAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let Some(bounds) = bounds else {
        // Without the operators' bounds no route is known either.
        return Ok(Bytes::new());
    };
    let limited = Limited::new(body, bounds.body_bytes).collect();
    match edge.timer.timeout(bounds.idle_timeout, limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(failure_answer(status, "rejected", "the body of the request is too long"))
        }
        Ok(Err(_)) => {
            let reason = "the body of the request is malformed";
            Err(failure_answer(StatusCode::BAD_REQUEST, "rejected", reason))
        }
        Err(_) => {
            let reason = "the body of the request took too long";
            Err(failure_answer(StatusCode::REQUEST_TIMEOUT, "not_run", reason))
        }
    }
}

fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES).sum()
}
