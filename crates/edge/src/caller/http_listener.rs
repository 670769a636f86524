//! Accepts connections and serves HTTP/1.1 on them.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    EdgeError,
    edge::{Edge, StopPhase},
};

/// Connections that wait to be accepted; callers' retries come in bursts.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept, which mostly means that descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Size of the buffer for the head of a request; heads above the operators' bound are refused by
/// the request itself, those above this by the library.
const HEAD_BUFFER_BYTES: usize = 64 * 1_024;
/// Time for which an idle connection is kept before the operators' bound is known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

/// An open listener.
pub(crate) struct HttpListener {
    listener: TcpListener,
}

impl HttpListener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns [`EdgeError::Listen`] if the address cannot be used.
    pub(crate) fn bind(purpose: &'static str, address: SocketAddr) -> Result<Self, EdgeError> {
        let listener = bind(address);
        let listener = listener.map_err(|source| EdgeError::Listen { purpose, address, source })?;
        Ok(Self { listener })
    }

    /// Accepts connections until the process ends, and answers their requests with `answer`.
    pub(crate) async fn serve<F, R>(self, edge: Arc<Edge>, answer: F)
    where
        F: Fn(Arc<Edge>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(Arc::clone(&edge), stream, answer.clone()));
                }
                Err(error) => {
                    warn!(edge.logger, "listener: cannot accept"; "error" => error.to_string());
                    edge.timer.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_connection<F, R>(edge: Arc<Edge>, stream: TcpStream, answer: F)
where
    F: Fn(Arc<Edge>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    // A socket that is already closed ends with the first read.
    let _ = stream.set_nodelay(true);
    let idle_time = edge.table().map_or(DEFAULT_IDLE_TIME, |it| it.caller_bounds().idle_time);
    let mut stop = edge.stop.subscribe();
    let service = service_fn(move |request| {
        let response = answer(Arc::clone(&edge), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = stop.wait_for(|it| *it == StopPhase::Closing);
    tokio::select! {
        // A caller that breaks off needs no answer.
        _ = connection.as_mut() => return,
        _ = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
