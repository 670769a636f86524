//! An upstream that sends scripted replies.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    header::HeaderValue,
    server::conn::http2,
    service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mux_upstream::header_names;
use tokio::{net::TcpListener, sync::watch};

type ReplyBody = BoxBody<Bytes, std::io::Error>;

/// Response of the server to each call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ScriptedReply {
    /// Replies with this body.
    Body(&'static str),
    /// Replies with this body in two chunks and without a length.
    Chunks(&'static str, &'static str),
    /// Replies with one header replaced, or removed if the value is empty.
    Header(&'static str, &'static str),
    /// Responds with status 503 and these headers.
    ErrorResponse(&'static [(&'static str, &'static str)]),
    /// Waits until another script is set and follows that.
    Hang,
}

/// Counters of connections and calls.
#[derive(Default)]
pub(crate) struct ServerCounters {
    pub(crate) accepted: AtomicU32,
    pub(crate) open: AtomicU32,
    pub(crate) started: AtomicU32,
    pub(crate) cancelled: AtomicU32,
}

/// HTTP/2 server on a loopback port.
pub(crate) struct ScriptedUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) counters: Arc<ServerCounters>,
    script: watch::Sender<ScriptedReply>,
}

impl ScriptedUpstream {
    pub(crate) async fn start(script: ScriptedReply) -> Self {
        Self::start_limited(script, u32::MAX).await
    }

    /// Starts a server that closes each new connection at once while `connections_max` others are
    /// open.
    pub(crate) async fn start_limited(script: ScriptedReply, connections_max: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let counters = Arc::new(ServerCounters::default());
        let script = watch::Sender::new(script);
        tokio::spawn(accept(listener, connections_max, Arc::clone(&counters), script.subscribe()));
        Self { address, counters, script }
    }

    pub(crate) fn set_script(&self, script: ScriptedReply) {
        self.script.send_replace(script);
    }
}

/// Runs a closure when dropped.
struct OnDrop<F: FnMut()>(F);

impl<F: FnMut()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

async fn accept(
    listener: TcpListener,
    connections_max: u32,
    counters: Arc<ServerCounters>,
    script: watch::Receiver<ScriptedReply>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        counters.accepted.fetch_add(1, Ordering::SeqCst);
        if connections_max <= counters.open.load(Ordering::SeqCst) {
            continue;
        }
        counters.open.fetch_add(1, Ordering::SeqCst);
        let (counters, script) = (Arc::clone(&counters), script.clone());
        tokio::spawn(async move {
            let _open = OnDrop(|| {
                counters.open.fetch_sub(1, Ordering::SeqCst);
            });
            let service = service_fn(|request| handle(request, &counters, &script));
            let server = http2::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn handle(
    request: Request<Incoming>,
    counters: &Arc<ServerCounters>,
    script: &watch::Receiver<ScriptedReply>,
) -> impl Future<Output = Result<Response<ReplyBody>, Infallible>> + use<> {
    let counters = Arc::clone(counters);
    let mut script = script.clone();
    async move {
        counters.started.fetch_add(1, Ordering::SeqCst);
        let cancelled = OnDrop(|| {
            counters.cancelled.fetch_add(1, Ordering::SeqCst);
        });
        let reply = script.wait_for(|it| *it != ScriptedReply::Hang).await;
        let reply = reply.expect("the sender of the script is alive").clone();
        std::mem::forget(cancelled);
        Ok(respond(&request, &reply))
    }
}

fn respond(request: &Request<Incoming>, script: &ScriptedReply) -> Response<ReplyBody> {
    let body = match script {
        ScriptedReply::Body(text) => chunks(vec![Ok(Bytes::from_static(text.as_bytes()))]),
        ScriptedReply::Chunks(lhs, rhs) => chunks(vec![
            Ok(Bytes::from_static(lhs.as_bytes())),
            Ok(Bytes::from_static(rhs.as_bytes())),
        ]),
        _ => chunks(vec![Ok(Bytes::from_static(b"{}"))]),
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    for name in [header_names::REQUEST_ID, header_names::CALL_ID, header_names::SNAPSHOT] {
        if let Some(value) = request.headers().get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert(header_names::SHARD, HeaderValue::from_static("3"));
    headers.insert(header_names::IN_FLIGHT, HeaderValue::from_static("2"));
    headers.insert(header_names::DRAINING, HeaderValue::from_static("true"));
    headers.insert(header_names::NEWEST_SNAPSHOT, HeaderValue::from_static("9"));
    match script {
        ScriptedReply::Header(name, "") => {
            headers.remove(*name);
        }
        ScriptedReply::Header(name, value) => {
            headers.insert(*name, HeaderValue::from_static(value));
        }
        ScriptedReply::ErrorResponse(error_headers) => {
            for (name, value) in *error_headers {
                headers.insert(*name, HeaderValue::from_static(value));
            }
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        }
        _ => {}
    }
    response
}

fn chunks(chunks: Vec<std::io::Result<Bytes>>) -> ReplyBody {
    BodyExt::boxed(StreamBody::new(stream::iter(chunks).map(|it| it.map(Frame::data))))
}
