//! Accepts connections and serves HTTP/1.1 on them.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use mux_timer::TimerService;
use slog::{Logger, warn};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::ConnectionTracker;

/// Connections that wait to be accepted; callers' retries come in bursts.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept, which mostly means that descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Size of the buffer for the head of a request; longer ones are refused by the library.
const HEAD_BUFFER_BYTES: usize = 64 * 1_024;

/// The process that a listener belongs to.
pub trait ListenerContext: Send + Sync + 'static {
    /// Returns the timer.
    fn timer(&self) -> &TimerService;

    /// Returns the logger.
    fn logger(&self) -> &Logger;

    /// Returns the time that a connection may take to send the head of its next request, idle
    /// time included.
    fn header_timeout(&self) -> Duration;

    /// Returns the gate that the connections pass.
    fn connection_tracker(&self) -> &ConnectionTracker;
}

/// An open listener.
///
/// The future that answers a request is dropped when its caller closes the connection.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
}

impl HttpListener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(Self { listener: TcpListener::from_std(socket.into())? })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the process ends, and answers their requests with `answer`.
    pub async fn serve<H, F, R>(self, host: Arc<H>, answer: F)
    where
        H: ListenerContext,
        F: Fn(Arc<H>, SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        loop {
            match self.listener.accept().await {
                Ok((stream, caller)) => {
                    let host = Arc::clone(&host);
                    tokio::spawn(serve_connection(host, stream, caller, answer.clone()));
                }
                Err(error) => {
                    warn!(host.logger(), "listener: cannot accept"; "error" => error.to_string());
                    host.timer().sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_connection<H, F, R>(host: Arc<H>, stream: TcpStream, caller: SocketAddr, answer: F)
where
    H: ListenerContext,
    F: Fn(Arc<H>, SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    // A socket that is already closed ends with the first read.
    let _ = stream.set_nodelay(true);
    let header_timeout = host.header_timeout();
    let mut ticket = host.connection_tracker().enter();
    let service = service_fn(move |request| {
        let response = answer(Arc::clone(&host), caller, request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A caller that breaks off needs no answer.
        _ = connection.as_mut() => return,
        () = ticket.closing() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
