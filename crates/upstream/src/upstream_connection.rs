//! One open HTTP/2 connection and the calls on it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{TrySendError, http2::SendRequest},
};
use mux_model::{CallFailure, TimePoint};

use crate::{
    PoolSettings,
    call_request::RequestBody,
    stream_fault::{StreamFault, not_sent},
    watched_stream::StreamProgress,
};

/// The sending half of a connection, shared by the calls on it.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    sender: SendRequest<RequestBody>,
    progress: Arc<StreamProgress>,
    calls: AtomicU32,
    last_used_micros: AtomicU64,
    replied: AtomicBool,
}

impl UpstreamConnection {
    pub(crate) fn new(
        sender: SendRequest<RequestBody>,
        progress: Arc<StreamProgress>,
        now: TimePoint,
    ) -> Self {
        Self {
            sender,
            progress,
            calls: AtomicU32::new(0),
            last_used_micros: AtomicU64::new(now.as_micros()),
            replied: AtomicBool::new(false),
        }
    }

    /// Returns the number of calls in flight.
    pub(crate) fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns whether the connection still takes requests.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.progress.is_silent()
    }

    /// Returns whether any reply ever came.
    pub(crate) fn has_replied(&self) -> bool {
        self.replied.load(Ordering::Relaxed)
    }

    /// Returns whether the upstream leaves a probe unanswered.
    pub(crate) fn is_suspect(&self, now: TimePoint, settings: &PoolSettings) -> bool {
        settings.suspect_limit < now.since(self.progress.last_read())
    }

    /// Returns when the last byte was read.
    pub(crate) fn last_read(&self) -> TimePoint {
        self.progress.last_read()
    }

    /// Returns when the last call began.
    pub(crate) fn last_used(&self) -> TimePoint {
        TimePoint::from_micros(self.last_used_micros.load(Ordering::Relaxed))
    }

    /// Returns whether the connection was retired for lack of progress.
    pub(crate) fn is_silent(&self) -> bool {
        self.progress.is_silent()
    }

    /// Ends the connection and the calls on it because it makes no progress.
    pub(crate) fn retire(&self) {
        self.progress.retire();
    }

    fn explain(&self, failure: CallFailure) -> CallFailure {
        match failure {
            CallFailure::ConnectionLost if self.is_silent() => CallFailure::Silent,
            it => it,
        }
    }
}

/// Counts one call on a connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    connection: Arc<UpstreamConnection>,
}

impl ConnectionLease {
    /// Begins a call on `connection`.
    pub(crate) fn new(connection: Arc<UpstreamConnection>, now: TimePoint) -> Self {
        connection.calls.fetch_add(1, Ordering::Relaxed);
        connection.last_used_micros.store(now.as_micros(), Ordering::Relaxed);
        Self { connection }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// `NotRun` only if the request was not written or the upstream says it was not processed.
    pub(crate) async fn send(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallFailure> {
        let sent = self.connection.sender.clone().try_send_request(request).await;
        sent.map_err(|error| self.explain_unsent(error))
    }

    /// Names the cause of a failure if the pool ended the connection itself.
    pub(crate) fn explain(&self, failure: CallFailure) -> CallFailure {
        self.connection.explain(failure)
    }

    /// Records that a complete reply came; returns whether it is the connection's first.
    pub(crate) fn record_reply(&self) -> bool {
        !self.connection.has_replied() && !self.connection.replied.swap(true, Ordering::Relaxed)
    }

    fn explain_unsent(&self, mut error: TrySendError<Request<RequestBody>>) -> CallFailure {
        if error.take_message().is_some() {
            return not_sent();
        }
        self.explain(StreamFault::of(error.error()).before_reply())
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.connection.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
