//! Callers that do not read a response.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use support::TestContext;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Length of the response, more than the operating system buffers.
const RESPONSE_BYTES: usize = 32 << 20;
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

async fn respond(
    _context: Arc<TestContext>,
    _caller: SocketAddr,
    _request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(vec![b'r'; RESPONSE_BYTES])))
}

fn start_listener() -> (Arc<TestContext>, SocketAddr) {
    TestContext::listen(IDLE_TIMEOUT, 100, respond)
}

/// The answers of callers that read none of them would use memory for as long as they like.
#[gtest]
#[tokio::test]
async fn connection_whose_response_is_not_read_is_closed() {
    let (context, address) = start_listener();
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();

    context.wait_until(|it| it.connections.counts().open == 1).await;
    context.wait_until(|it| it.connections.counts().open == 0).await;
}

/// A slow reader makes progress, and takes longer than the time-out in all.
#[gtest]
#[tokio::test]
async fn response_that_is_read_slowly_is_completed() {
    let (context, address) = start_listener();
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await.unwrap();

    let mut received = 0;
    let mut buffer = vec![0; 4 << 20];
    loop {
        context.timer.sleep(IDLE_TIMEOUT / 4).await;
        let mut round = 0;
        while round < buffer.len() {
            match caller.read(&mut buffer[round..]).await.unwrap() {
                0 => break,
                length => round += length,
            }
        }
        received += round;
        if round < buffer.len() {
            break;
        }
    }

    expect_that!(received, gt(RESPONSE_BYTES));
}
