//! When connections end.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

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
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A host whose handler waits until the test lets it answer.
struct SlowHost {
    timer: TimerService,
    logger: Logger,
    connection_tracker: ConnectionTracker,
    begun: mpsc::UnboundedSender<()>,
    ended: mpsc::UnboundedSender<()>,
    release: Notify,
}

/// Tells when the handler's future is dropped.
struct EndGuard(mpsc::UnboundedSender<()>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl ListenerContext for SlowHost {
    fn timer(&self) -> &TimerService {
        &self.timer
    }

    fn logger(&self) -> &Logger {
        &self.logger
    }

    fn header_timeout(&self) -> Duration {
        WAIT_LIMIT
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connection_tracker
    }
}

async fn answer(
    host: Arc<SlowHost>,
    _caller: SocketAddr,
    _request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _guard = EndGuard(host.ended.clone());
    host.begun.send(()).unwrap();
    host.release.notified().await;
    Response::new(Full::new(Bytes::from_static(b"done")))
}

struct Fixture {
    host: Arc<SlowHost>,
    address: SocketAddr,
    begun: mpsc::UnboundedReceiver<()>,
    ended: mpsc::UnboundedReceiver<()>,
}

async fn fixture() -> Fixture {
    let (begun_sender, begun) = mpsc::unbounded_channel();
    let (ended_sender, ended) = mpsc::unbounded_channel();
    let host = Arc::new(SlowHost {
        timer: TimerService::start(Duration::from_secs(5)),
        logger: Logger::root(Discard, o!()),
        connection_tracker: ConnectionTracker::new(),
        begun: begun_sender,
        ended: ended_sender,
        release: Notify::new(),
    });
    let listener = HttpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_address().unwrap();
    tokio::spawn(listener.serve(Arc::clone(&host), answer));
    Fixture { host, address, begun, ended }
}

#[gtest]
#[tokio::test]
async fn connection_with_a_request_counts_until_its_answer_after_the_gate_has_closed() {
    let mut fixture = fixture().await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    fixture.begun.recv().await.unwrap();

    fixture.host.connection_tracker.close();
    // Lets the connection see that the gate has closed.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let while_answering = fixture.host.connection_tracker.open_count();
    fixture.host.release.notify_one();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();

    expect_that!(while_answering, eq(1));
    expect_that!(answer, ends_with("done"));
    fixture.ended.recv().await.unwrap();
    while 0 < fixture.host.connection_tracker.open_count() {
        tokio::task::yield_now().await;
    }
}

#[gtest]
#[tokio::test]
async fn idle_connection_ends_when_the_gate_closes() {
    let mut fixture = fixture().await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    fixture.begun.recv().await.unwrap();
    fixture.host.release.notify_one();
    let mut answer = [0; 4_096];
    let length = caller.read(&mut answer).await.unwrap();
    expect_that!(length, gt(0));

    fixture.host.connection_tracker.close();

    let length = caller.read(&mut answer).await.unwrap();
    expect_that!(length, eq(0));
}

#[gtest]
#[tokio::test]
async fn handler_ends_with_its_caller() {
    let mut fixture = fixture().await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    fixture.begun.recv().await.unwrap();

    drop(caller);

    expect_that!(fixture.ended.recv().await, some(eq(())));
}
