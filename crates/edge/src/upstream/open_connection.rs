//! One connection to an upstream.

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
use socket2::SockRef;
use tokio::net::TcpStream;

/// Time for which sent bytes may stay unacknowledged before the connection is given up; shorter
/// than a partition lasts, longer than a lost packet takes.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Moment after which the upstream may close the idle connection.
    pub(super) usable_until: TimePoint,
}

impl OpenConnection {
    /// Connects to `upstream`.
    pub(super) async fn open(upstream: UpstreamId) -> io::Result<Self> {
        let stream = TcpStream::connect(upstream.0).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // Its error reaches the request that is in flight; an idle connection has nobody to tell.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Self { sender, usable_until: TimePoint::MAX })
    }

    /// Returns whether the connection is open and has no request.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the reply.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }
}
