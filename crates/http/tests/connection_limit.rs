//! More connections than a listener may have.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use mux_buffers::BufferAccount;
use mux_http::{BodyLimits, receive_body};
use support::TestContext;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_CONNECTIONS: usize = 3;
/// Request that is answered when its body is complete.
const GET: &[u8] = b"GET /quick HTTP/1.1\r\nhost: a\r\n\r\n";
/// Request that is not answered.
const ENDLESS_GET: &[u8] = b"GET /endless HTTP/1.1\r\nhost: a\r\n\r\n";
/// Request whose body does not end.
const UNFINISHED_POST: &[u8] = b"POST /quick HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nbody";

async fn respond(
    context: Arc<TestContext>,
    _caller: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    context.begun.fetch_add(1, Ordering::SeqCst);
    let (head, body) = request.into_parts();
    let account = BufferAccount::new(1 << 20);
    let limits = BodyLimits { max_bytes: 1_000, receive_time: IDLE_TIMEOUT };
    let received = receive_body(&context.timer, &account, &head, body, limits).await;
    context.received.fetch_add(1, Ordering::SeqCst);
    if head.uri.path() == "/endless" {
        context.timer.sleep(IDLE_TIMEOUT).await;
    }
    let text = if received.is_ok() { "done" } else { "failed" };
    Response::new(Full::new(Bytes::from_static(text.as_bytes())))
}

fn start_listener() -> (Arc<TestContext>, SocketAddr) {
    TestContext::listen(IDLE_TIMEOUT, MAX_CONNECTIONS, respond)
}

/// Opens a connection and sends `bytes` on it.
async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Returns whether a response is received; the other end is that the connection is closed.
async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 64];
    matches!(stream.read(&mut buffer).await, Ok(length) if 0 < length)
}

/// Opens connections on which `bytes` are sent, one after the other, until the limit is reached.
async fn fill(context: &TestContext, address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for count in 1..=MAX_CONNECTIONS {
        streams.push(connect(address, bytes).await);
        context.wait_until(|it| it.connections.counts().open == count).await;
    }
    streams
}

#[gtest]
#[tokio::test]
async fn longest_waiting_connection_gives_way() {
    let (context, address) = start_listener();
    let mut waiting = fill(&context, address, b"").await;

    let mut newcomer = connect(address, GET).await;

    expect_true!(is_answered(&mut newcomer).await);
    expect_false!(is_answered(&mut waiting[0]).await);
    waiting[1].write_all(GET).await.unwrap();
    expect_true!(is_answered(&mut waiting[1]).await);
    expect_that!(context.connections.counts().displaced, eq(1));
}

#[gtest]
#[tokio::test]
async fn connection_with_a_request_under_way_does_not_give_way() {
    let (context, address) = start_listener();
    let _running = fill(&context, address, ENDLESS_GET).await;
    context.wait_until(|it| it.received.load(Ordering::SeqCst) == MAX_CONNECTIONS).await;

    let mut newcomer = connect(address, GET).await;

    expect_false!(is_answered(&mut newcomer).await);
    let counts = context.connections.counts();
    expect_that!((counts.open, counts.displaced, counts.refused), eq((MAX_CONNECTIONS, 0, 1)));
}

#[gtest]
#[tokio::test]
async fn waiting_connection_gives_way_before_an_unfinished_body() {
    let (context, address) = start_listener();
    let _unfinished = connect(address, UNFINISHED_POST).await;
    context.wait_until(|it| it.connections.counts().open == 1).await;
    let _waiting = connect(address, b"").await;
    let mut unfinished = connect(address, UNFINISHED_POST).await;
    context.wait_until(|it| it.connections.counts().open == MAX_CONNECTIONS).await;
    context.wait_until(|it| it.begun.load(Ordering::SeqCst) == 2).await;

    let mut newcomer = connect(address, GET).await;

    expect_true!(is_answered(&mut newcomer).await);
    unfinished.write_all(b" done").await.unwrap();
    expect_true!(is_answered(&mut unfinished).await);
}

#[gtest]
#[tokio::test]
async fn unfinished_bodies_give_way_after_a_while() {
    let (context, address) = start_listener();
    let _unfinished = fill(&context, address, UNFINISHED_POST).await;

    let poll = async || {
        let mut newcomer = connect(address, GET).await;
        is_answered(&mut newcomer).await
    };
    while !poll().await {
        context.timer.sleep(Duration::from_millis(100)).await;
    }

    expect_that!(context.connections.counts().displaced, ge(1));
}
