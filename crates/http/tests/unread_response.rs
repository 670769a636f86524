//! Callers that do not read a response.

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
};

/// Length of the response, more than the operating system buffers.
const RESPONSE_BYTES: usize = 32 << 20;
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that is far longer than a connection takes to close on a slow machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(20);

struct ResponseContext {
    timer: TimerService,
    logger: Logger,
    connections: ConnectionTracker,
}

impl ListenerContext for ResponseContext {
    fn timer(&self) -> &TimerService {
        &self.timer
    }

    fn logger(&self) -> &Logger {
        &self.logger
    }

    fn header_timeout(&self) -> Duration {
        IDLE_TIMEOUT
    }

    fn max_header_bytes(&self) -> usize {
        16 * 1_024
    }

    fn max_connections(&self) -> usize {
        100
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connections
    }
}

async fn respond(
    _context: Arc<ResponseContext>,
    _caller: SocketAddr,
    _request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(vec![b'r'; RESPONSE_BYTES])))
}

fn start_listener() -> (Arc<ResponseContext>, SocketAddr) {
    let context = Arc::new(ResponseContext {
        timer: TimerService::start(Duration::from_secs(5)),
        logger: Logger::root(Discard, o!()),
        connections: ConnectionTracker::new(),
    });
    let listener = HttpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_address().unwrap();
    tokio::spawn(listener.serve(Arc::clone(&context), respond));
    (context, address)
}

async fn wait_for_connections(context: &ResponseContext, count: usize) {
    let poll = async {
        while context.connections.counts().open != count {
            context.timer.sleep(POLL_PERIOD).await;
        }
    };
    context.timer.timeout(WAIT_LIMIT, poll).await.unwrap();
}

/// The answers of callers that read none of them would use memory for as long as they like.
#[gtest]
#[tokio::test]
async fn connection_whose_response_is_not_read_is_closed() {
    let (context, address) = start_listener();
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();

    wait_for_connections(&context, 1).await;
    wait_for_connections(&context, 0).await;
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
