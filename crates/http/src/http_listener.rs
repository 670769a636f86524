//! Accepts connections and serves HTTP/1.1 on them.

use std::{convert::Infallible, future, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use mux_timer::TimerService;
use slog::{Logger, warn};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::{
    ConnectionTracker,
    connection_table::ConnectionPhase,
    connection_tracker::{ConnectionGuard, RequestProgress},
};

/// Length of the queue of connections to accept; callers' retries arrive in bursts.
const BACKLOG: i32 = 1_024;
/// Delay after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a connection without a request so far is kept open during the shutdown: its first
/// request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Bytes that a connection buffers for the request line, besides the headers; the library rejects a longer
/// head.
const REQUEST_LINE_BYTES: usize = 8 * 1_024;

/// Returns the size of the buffers of a connection whose requests have headers of up to
/// `max_header_bytes`; it fills up to three of them while a body arrives.
pub fn buffer_bytes(max_header_bytes: usize) -> usize {
    max_header_bytes.saturating_add(REQUEST_LINE_BYTES)
}

/// State of the process that its listeners share.
pub trait ListenerContext: Send + Sync + 'static {
    /// Returns the timer.
    fn timer(&self) -> &TimerService;

    /// Returns the logger.
    fn logger(&self) -> &Logger;

    /// Returns the time within which the head of the next request must arrive on a connection,
    /// idle time included, and within which the caller must go on reading a response.
    fn header_timeout(&self) -> Duration;

    /// Returns the longest headers of a request, in bytes. A connection reads ahead a few times as much.
    fn max_header_bytes(&self) -> usize;

    /// Returns the number of open connections above which idle ones are closed.
    fn max_connections(&self) -> usize;

    /// Returns the tracker of the open connections.
    fn connection_tracker(&self) -> &ConnectionTracker;
}

/// A listening socket.
///
/// The future of a request's handler is dropped when the caller closes the connection.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
}

impl HttpListener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be created or bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(Self { listener: TcpListener::from_std(socket.into())? })
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not provide it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until [`ConnectionTracker::start_shutdown`] is called, and calls `handler`
    /// for each request. Connections that are open then are served until their requests are complete.
    pub async fn serve<H, F, R>(self, context: Arc<H>, handler: F)
    where
        H: ListenerContext,
        F: Fn(Arc<H>, SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        // The listener counts as open until the last connection in its queue is accepted.
        let mut guard = context.connection_tracker().track_listener();
        let spawn = |stream: TcpStream, caller: SocketAddr| {
            let (context, handler) = (Arc::clone(&context), handler.clone());
            async move {
                let limit = context.max_connections();
                let tracker = context.connection_tracker();
                let admitted = tracker.admit(context.logger(), context.timer(), limit).await;
                // Without room for it, the connection is closed.
                if let Some(guard) = admitted {
                    tokio::spawn(serve_connection(context, stream, caller, handler, guard));
                }
            }
        };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = guard.wait_for_shutdown() => break,
            };
            match accepted {
                Ok((stream, caller)) => spawn(stream, caller).await,
                Err(error) => {
                    log_accept_error(&*context, &error);
                    let now = context.timer().now();
                    context.connection_tracker().displace(context.logger(), now);
                    context.timer().sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the socket resets the connections in its queue.
        if let Err(error) = accept_queued(self.listener, spawn).await {
            log_accept_error(&*context, &error);
        }
    }
}

/// Accepts the connections that are in the queue of `listener`, and closes it.
async fn accept_queued<F, R>(listener: TcpListener, spawn: F) -> io::Result<()>
where
    F: Fn(TcpStream, SocketAddr) -> R,
    R: Future<Output = ()>,
{
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, caller)) => {
                stream.set_nonblocking(true)?;
                spawn(TcpStream::from_std(stream)?, caller).await;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

fn log_accept_error(context: &impl ListenerContext, error: &io::Error) {
    warn!(context.logger(), "listener: accept failed"; "error" => error.to_string());
}

async fn serve_connection<H, F, R>(
    context: Arc<H>,
    stream: TcpStream,
    caller: SocketAddr,
    handler: F,
    mut guard: ConnectionGuard,
) where
    H: ListenerContext,
    F: Fn(Arc<H>, SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let header_timeout = context.header_timeout();
    // If an option cannot be set because the socket is already closed, the first read fails.
    let _ = stream.set_nodelay(true);
    // Closes the connection of a caller that does not read its response.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(header_timeout));
    let buffer_bytes = buffer_bytes(context.max_header_bytes());
    let timer = context.timer().clone();
    let first_request = Arc::new(Notify::new());
    let received = Arc::clone(&first_request);
    let entry = guard.entry();
    let service = service_fn(move |mut request: Request<Incoming>| {
        received.notify_one();
        let (context, entry) = (Arc::clone(&context), Arc::clone(&entry));
        let now = context.timer().now();
        let is_open = match request.body().is_end_stream() {
            true => entry.set_phase(now, ConnectionPhase::Running),
            false => {
                request.extensions_mut().insert(RequestProgress::new(Arc::clone(&entry)));
                entry.set_phase(now, ConnectionPhase::Receiving)
            }
        };
        // A request that crosses the close of its connection is not handled.
        let response = is_open.then(|| handler(Arc::clone(&context), caller, request));
        async move {
            let Some(response) = response else {
                return future::pending().await;
            };
            let response = response.await;
            entry.set_phase(context.timer().now(), ConnectionPhase::Waiting);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let entry = guard.entry();
    tokio::select! {
        // An error also ends the connection, so nothing is left to do.
        _ = connection.as_mut() => return,
        () = entry.wait_until_closing() => return,
        () = guard.wait_for_shutdown() => {}
    }
    // Without a request so far, the connection would be closed at once.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = entry.wait_until_closing() => return,
        () = first_request.notified() => {}
        () = timer.sleep(FIRST_REQUEST_TIME) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = entry.wait_until_closing() => {}
    }
}
