//! Graceful shutdown of connections, and cancellation of handlers.

#![allow(clippy::unwrap_used, reason = "an error in the setup fails the test")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use mux_http::{ConnectionTracker, HttpListener, ListenerContext};
use mux_timer::TimerService;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Notify, mpsc},
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_HEADER_BYTES: usize = 16 * 1_024;
const MAX_CONNECTIONS: usize = 100;

/// Listener context whose handler waits for `release` before it responds.
struct BlockingContext {
    timer: TimerService,
    logger: Logger,
    connection_tracker: ConnectionTracker,
    started: mpsc::UnboundedSender<()>,
    dropped: mpsc::UnboundedSender<()>,
    release: Notify,
}

/// Reports that the handler's future ended, whether it completed or was dropped.
struct DropNotifier(mpsc::UnboundedSender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl ListenerContext for BlockingContext {
    fn timer(&self) -> &TimerService {
        &self.timer
    }

    fn logger(&self) -> &Logger {
        &self.logger
    }

    fn header_timeout(&self) -> Duration {
        HEADER_TIMEOUT
    }

    fn max_header_bytes(&self) -> usize {
        MAX_HEADER_BYTES
    }

    fn max_connections(&self) -> usize {
        MAX_CONNECTIONS
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connection_tracker
    }
}

async fn respond(
    context: Arc<BlockingContext>,
    _caller: SocketAddr,
    _request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _notifier = DropNotifier(context.dropped.clone());
    context.started.send(()).unwrap();
    context.release.notified().await;
    Response::new(Full::new(Bytes::from_static(b"done")))
}

struct Fixture {
    context: Arc<BlockingContext>,
    address: SocketAddr,
    started: mpsc::UnboundedReceiver<()>,
    dropped: mpsc::UnboundedReceiver<()>,
}

async fn fixture() -> Fixture {
    let (started_sender, started) = mpsc::unbounded_channel();
    let (dropped_sender, dropped) = mpsc::unbounded_channel();
    let context = Arc::new(BlockingContext {
        timer: TimerService::start(Duration::from_secs(5)),
        logger: Logger::root(Discard, o!()),
        connection_tracker: ConnectionTracker::new(),
        started: started_sender,
        dropped: dropped_sender,
        release: Notify::new(),
    });
    let listener = HttpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_address().unwrap();
    tokio::spawn(listener.serve(Arc::clone(&context), respond));
    Fixture { context, address, started, dropped }
}

#[gtest]
#[tokio::test]
async fn busy_connection_is_counted_until_its_response_during_shutdown() {
    let mut fixture = fixture().await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    fixture.started.recv().await.unwrap();

    fixture.context.connection_tracker.start_shutdown();
    // Lets the connection's task observe the shutdown.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let open_during_request = fixture.context.connection_tracker.open_count();
    fixture.context.release.notify_one();
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();

    expect_that!(open_during_request, eq(1));
    expect_that!(response, ends_with("done"));
    fixture.dropped.recv().await.unwrap();
    while 0 < fixture.context.connection_tracker.open_count() {
        tokio::task::yield_now().await;
    }
}

#[gtest]
#[tokio::test]
async fn idle_connection_is_closed_on_shutdown() {
    let mut fixture = fixture().await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    fixture.started.recv().await.unwrap();
    fixture.context.release.notify_one();
    let mut response = [0; 4_096];
    let length = caller.read(&mut response).await.unwrap();
    expect_that!(length, gt(0));

    fixture.context.connection_tracker.start_shutdown();

    let length = caller.read(&mut response).await.unwrap();
    expect_that!(length, eq(0));
}

#[gtest]
#[tokio::test]
async fn handler_is_dropped_when_its_caller_disconnects() {
    let mut fixture = fixture().await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    fixture.started.recv().await.unwrap();

    drop(caller);

    expect_that!(fixture.dropped.recv().await, some(eq(())));
}
