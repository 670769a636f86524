//! Opens one connection to an upstream.

use std::{io, sync::Arc, time::Duration};

use hyper::client::conn::http2::{self, Connection, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use mux_model::UpstreamId;
use mux_timer::TimerService;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, sync::oneshot, task::JoinHandle};

use crate::{
    PoolSettings,
    call_request::RequestBody,
    watched_stream::{StreamProgress, WatchedStream},
};

const TCP_KEEPALIVE_TIME: Duration = Duration::from_secs(5);
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of HTTP/2 pings. The pool aborts silent connections earlier, so this ends only
/// connections that the pool no longer holds.
const PING_TIMEOUT: Duration = Duration::from_secs(5);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

type ConnectionFuture = Connection<TokioIo<WatchedStream>, RequestBody, TokioExecutor>;

/// A connection on which the upstream has sent its first byte.
pub(crate) struct DialedConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) progress: Arc<StreamProgress>,
    /// Task that drives the connection and finishes when it closes.
    pub(crate) driver: JoinHandle<()>,
}

/// Connects and waits for the upstream's first byte, so that no request is sent on a connection
/// that the upstream accepts and closes at once.
///
/// # Errors
///
/// Fails if the upstream refuses or closes the connection, or sends no byte before the timeout.
pub(crate) async fn dial(
    upstream: UpstreamId,
    timer: &TimerService,
    settings: &PoolSettings,
) -> io::Result<DialedConnection> {
    let progress = Arc::new(StreamProgress::new(timer.now()));
    let opening = open(upstream, timer, settings, Arc::clone(&progress));
    let Ok(res) = timer.timeout(settings.dial_timeout, opening).await else {
        progress.abort();
        return Err(io::Error::from(io::ErrorKind::TimedOut));
    };
    res
}

async fn open(
    upstream: UpstreamId,
    timer: &TimerService,
    settings: &PoolSettings,
    progress: Arc<StreamProgress>,
) -> io::Result<DialedConnection> {
    let stream = TcpStream::connect(upstream.0).await?;
    set_options(&stream)?;
    let (first_byte_tx, first_byte_rx) = oneshot::channel();
    let stream = WatchedStream::new(stream, timer.clone(), Arc::clone(&progress), first_byte_tx);
    let (sender, connection) = handshake(stream, settings).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The error is reported by the calls on the connection.
        let _ = connection.await;
    });
    first_byte_rx.await.map_err(|_| io::Error::from(io::ErrorKind::ConnectionReset))?;
    Ok(DialedConnection { sender, progress, driver })
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive =
        TcpKeepalive::new().with_time(TCP_KEEPALIVE_TIME).with_interval(TCP_KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

async fn handshake(
    stream: WatchedStream,
    settings: &PoolSettings,
) -> hyper::Result<(SendRequest<RequestBody>, ConnectionFuture)> {
    http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(settings.ping_interval)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .handshake(TokioIo::new(stream))
        .await
}
