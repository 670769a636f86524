//! HTTP server of one upstream.

use std::{
    convert::Infallible,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    call_handler::answer_call,
    leaf_settings::{LeafControl, SilenceMode},
    leaf_state::LeafState,
    reply_body::{ReplyBody, full},
    silenced_stream::SilencedStream,
};

const MAX_STREAMS_PER_CONNECTION: u32 = 1_024;

/// HTTP server of one upstream.
pub(crate) struct LeafServer {
    state: Arc<LeafState>,
    served_connections: watch::Sender<u64>,
    silenced_up_to: watch::Sender<u64>,
}

impl LeafServer {
    pub(crate) fn new(state: LeafState) -> Arc<Self> {
        Arc::new(Self {
            state: Arc::new(state),
            served_connections: watch::Sender::new(0),
            silenced_up_to: watch::Sender::new(0),
        })
    }

    /// Serves calls and control requests until the listener fails.
    pub(crate) async fn serve_calls(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            if self.is_full() {
                self.state.counters.connections_refused.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.state.counters.connections_accepted.fetch_add(1, Ordering::Relaxed);
            self.state.counters.connections_open.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(Arc::clone(&self).serve_connection(stream));
        }
    }

    /// Serves requests on the control address, without connection limit, connect delay or
    /// silencing, until the listener fails.
    pub(crate) async fn serve_control(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            tokio::spawn(Arc::clone(&self).serve_http(TokioIo::new(stream)));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let state = Arc::clone(&self.state);
        let cost = Duration::from_millis(state.settings.connect_cost_ms);
        state.timer.sleep(cost).await;
        // Nagle's algorithm would delay small replies until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        self.served_connections.send_modify(|it| *it += 1);
        let number = *self.served_connections.borrow();
        let stream = SilencedStream::new(stream, number, self.silenced_up_to.subscribe());
        self.serve_http(TokioIo::new(stream)).await;
        state.counters.connections_open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve_http<I>(self: Arc<Self>, io: I)
    where
        I: hyper::rt::Read + hyper::rt::Write + Unpin + Send + 'static,
    {
        let service = service_fn(|request| Arc::clone(&self).answer(request));
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder.http2().max_concurrent_streams(MAX_STREAMS_PER_CONNECTION);
        // The peer sees a connection error as failed calls.
        let _ = builder.serve_connection(io, service).await;
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, Infallible> {
        let shard = read_shard(request.uri().path());
        let response = match (request.method(), request.uri().path(), shard) {
            (&Method::POST, _, Some(shard)) => {
                answer_call(Arc::clone(&self.state), shard, request).await
            }
            (&Method::GET, "/v1/status", _) => json_response(&self.state.status()),
            (&Method::GET, "/v1/control", _) => json_response(&self.state.report()),
            (&Method::PUT, "/v1/control", _) => self.control(request).await,
            _ => status_response(StatusCode::NOT_FOUND, "no such resource".to_owned()),
        };
        Ok(response)
    }

    async fn control(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let Ok(body) = request.into_body().collect().await else {
            return status_response(StatusCode::BAD_REQUEST, "incomplete".to_owned());
        };
        let change: LeafControl = match serde_json::from_slice(&body.to_bytes()) {
            Ok(change) => change,
            Err(error) => return status_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        self.silence(change.silence);
        self.state.apply(change);
        json_response(&self.state.report())
    }

    fn silence(&self, mode: Option<SilenceMode>) {
        let silenced_up_to = match mode {
            None => return,
            Some(SilenceMode::Off) => {
                self.silenced_up_to.borrow().min(*self.served_connections.borrow())
            }
            Some(SilenceMode::Open) => *self.served_connections.borrow(),
            Some(SilenceMode::All) => u64::MAX,
        };
        self.silenced_up_to.send_replace(silenced_up_to);
    }

    fn is_full(&self) -> bool {
        let open = self.state.counters.connections_open.load(Ordering::Relaxed);
        usize::try_from(open).is_ok_and(|it| self.state.settings.connections <= it)
    }
}

fn read_shard(path: &str) -> Option<u32> {
    path.strip_prefix("/v1/shards/")?.strip_suffix("/query")?.parse().ok()
}

fn json_response<T: Serialize>(value: &T) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut response = Response::new(full(text));
            let content_type = hyper::header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(error) => status_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn status_response(status: StatusCode, text: String) -> Response<ReplyBody> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}
