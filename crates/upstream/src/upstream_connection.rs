//! An open HTTP/2 connection and the calls on it.

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

/// Request sender and state of a connection, shared by the calls on it.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    sender: SendRequest<RequestBody>,
    progress: Arc<StreamProgress>,
    calls_in_flight: AtomicU32,
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
            calls_in_flight: AtomicU32::new(0),
            last_used_micros: AtomicU64::new(now.as_micros()),
            replied: AtomicBool::new(false),
        }
    }

    /// Returns the number of calls in flight.
    pub(crate) fn calls_in_flight(&self) -> u32 {
        self.calls_in_flight.load(Ordering::Relaxed)
    }

    /// Returns whether the connection accepts requests.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.progress.is_aborted()
    }

    /// Returns whether any complete reply was received.
    pub(crate) fn has_replied(&self) -> bool {
        self.replied.load(Ordering::Relaxed)
    }

    /// Returns whether no byte has been received for longer than `suspect_timeout`.
    pub(crate) fn is_suspect(&self, now: TimePoint, settings: &PoolSettings) -> bool {
        settings.suspect_timeout < now.since(self.progress.last_read())
    }

    /// Returns when the last byte was read.
    pub(crate) fn last_read(&self) -> TimePoint {
        self.progress.last_read()
    }

    /// Returns when the last call started.
    pub(crate) fn last_used(&self) -> TimePoint {
        TimePoint::from_micros(self.last_used_micros.load(Ordering::Relaxed))
    }

    /// Returns whether the connection was aborted as silent.
    pub(crate) fn is_aborted(&self) -> bool {
        self.progress.is_aborted()
    }

    /// Aborts the connection as silent, which fails the calls on it.
    pub(crate) fn abort(&self) {
        self.progress.abort();
    }

    fn refine_failure(&self, failure: CallFailure) -> CallFailure {
        match failure {
            CallFailure::ConnectionLost if self.is_aborted() => CallFailure::Silent,
            it => it,
        }
    }
}

/// Connection acquired for one call; the call counts as in flight until this value is dropped.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    connection: Arc<UpstreamConnection>,
}

impl PooledConnection {
    /// Counts a new call on `connection`.
    pub(crate) fn new(connection: Arc<UpstreamConnection>, now: TimePoint) -> Self {
        connection.calls_in_flight.fetch_add(1, Ordering::Relaxed);
        connection.last_used_micros.store(now.as_micros(), Ordering::Relaxed);
        Self { connection }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns `NotRun` only if the request was not written or the upstream declared it not
    /// processed.
    pub(crate) async fn send(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallFailure> {
        let sent = self.connection.sender.clone().try_send_request(request).await;
        sent.map_err(|error| self.send_failure(error))
    }

    /// Turns `ConnectionLost` into `Silent` if the pool aborted the connection.
    pub(crate) fn refine_failure(&self, failure: CallFailure) -> CallFailure {
        self.connection.refine_failure(failure)
    }

    /// Records that a complete reply was received; returns whether it is the connection's first.
    pub(crate) fn record_reply(&self) -> bool {
        !self.connection.has_replied() && !self.connection.replied.swap(true, Ordering::Relaxed)
    }

    fn send_failure(&self, mut error: TrySendError<Request<RequestBody>>) -> CallFailure {
        if error.take_message().is_some() {
            return not_sent();
        }
        self.refine_failure(StreamFault::classify(error.error()).before_reply())
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.connection.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
