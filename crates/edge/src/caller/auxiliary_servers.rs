//! Serves address requests, readiness probes and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{WireProtocol, edge_state::EdgeState};

/// Lifetime of an address answer. A shorter lifetime lets callers notice sooner that a node has
/// failed.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(5);

/// Answers an address request.
pub(crate) async fn serve_directory<W: WireProtocol>(
    edge: Arc<EdgeState>,
    _caller: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(address_request) = W::read_address_request(request.uri()) else {
        return text_response(StatusCode::NOT_FOUND, "no such page\n");
    };
    let addresses = edge.nodes().addresses_for(&address_request.zone, &address_request.region);
    if addresses.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no node serves\n");
    }
    let lifetime = ADDRESS_LIFETIME.min(edge.limits().max_address_lifetime);
    let body = W::write_address_answer(&addresses, lifetime);
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Answers a readiness probe.
pub(crate) async fn serve_readiness<W: WireProtocol>(
    edge: Arc<EdgeState>,
    _caller: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if !W::is_readiness_probe(request.uri()) {
        return text_response(StatusCode::NOT_FOUND, "no such page\n");
    }
    if edge.is_ready() {
        return text_response(StatusCode::OK, "ready\n");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

/// Serves the node's metrics.
pub(crate) async fn serve_metrics(
    edge: Arc<EdgeState>,
    _caller: SocketAddr,
    _request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(edge.render_metrics())));
    let text = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
