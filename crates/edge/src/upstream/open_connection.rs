//! A connection to an upstream.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1},
};
use hyper_util::rt::TokioIo;
use mux_model::{TimePoint, UpstreamId};
use mux_timer::TimerService;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::{
    MAX_REPLY_BYTES,
    limited_stream::{LimitedStream, ReadAllowance},
};

/// Time after which a connection with unacknowledged data is closed; shorter than a typical network
/// partition, longer than retransmitting a lost packet takes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the buffer for the head of a reply; the library rejects a longer head.
const HEAD_BUFFER_BYTES: usize = 64 * 1_024;
/// Bytes that may be read before the head of a reply is complete, interim replies included.
const MAX_HEAD_BYTES: usize = 256 * 1_024;
/// Bytes that may be read after the head of a reply: a body with its framing.
const MAX_BODY_BYTES: usize = MAX_REPLY_BYTES + 1_024 * 1_024;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    read_allowance: ReadAllowance,
    /// Point in time until which the idle connection may be reused, some time before the upstream is
    /// expected to close it.
    pub(super) usable_until: TimePoint,
}

impl OpenConnection {
    /// Connects to `upstream`. With a `refusal_check`, waits for that time whether the upstream resets
    /// the connection, and returns `None` if so: then nothing was sent on it.
    pub(super) async fn open(
        timer: &TimerService,
        upstream: UpstreamId,
        refusal_check: Option<Duration>,
    ) -> io::Result<Option<Self>> {
        let stream = TcpStream::connect(upstream.0).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        // An upstream sends nothing before a request, so that the stream is readable only if it ended.
        if let Some(limit) = refusal_check
            && timer.timeout(limit, stream.readable()).await.is_ok()
        {
            return Ok(None);
        }
        let stream = LimitedStream::new(stream);
        let read_allowance = stream.allowance();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // An error is returned to the request in flight; on an idle connection it has no receiver.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Some(Self { sender, read_allowance, usable_until: TimePoint::MAX }))
    }

    /// Returns whether the connection is open and has no request in flight.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the reply.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.read_allowance.set(MAX_HEAD_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.read_allowance.set(MAX_BODY_BYTES);
        response
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        // The library would go on reading a reply whose receiver is gone.
        self.read_allowance.revoke();
    }
}
