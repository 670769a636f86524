//! The connections to one upstream.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};
use mux_routing::balancer::ServiceBalancer;
use mux_timer::TimerService;

use super::{UpstreamAnswer, open_connection::OpenConnection};
use crate::{ReplyKind, ReplyMetadata, WireProtocol, caller::strip_hop_headers};

/// Longest time that setting up a connection may take; a healthy upstream takes a few
/// milliseconds, and another one can be asked meanwhile.
const DIAL_LIMIT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is used if the upstream names none.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Part of the idle time that an upstream names for which its connection is used, in percent.
const IDLE_PERCENT: u32 = 70;
/// Longest idle time of a connection for a request that must not be repeated: a connection that
/// the upstream closes meanwhile would leave open whether the request ran.
const FRESH_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// How recently a connection must have been used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Freshness {
    /// Any connection that the upstream is expected to keep.
    Any,
    /// One used a moment ago, or a new one.
    Recent,
}

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    since: TimePoint,
}

#[derive(Debug, Default)]
struct LinkState {
    idle: Vec<IdleConnection>,
    open: u32,
    is_closed: bool,
}

/// The connections to one instance of an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    upstream: UpstreamId,
    state: Mutex<LinkState>,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct ConnectionCount<'a> {
    link: &'a UpstreamLink,
    balancer: &'a ServiceBalancer,
}

impl Drop for ConnectionCount<'_> {
    fn drop(&mut self) {
        let open = {
            let mut state = self.link.lock();
            state.open = state.open.saturating_sub(1);
            state.open
        };
        self.balancer.record_connections(self.link.upstream, open);
    }
}

impl UpstreamLink {
    pub(super) fn new(upstream: UpstreamId) -> Self {
        Self { upstream, state: Mutex::default() }
    }

    /// Returns the address.
    pub(crate) fn upstream(&self) -> UpstreamId {
        self.upstream
    }

    /// Closes idle connections now and the others after their calls.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        state.idle.clear();
    }

    /// Sends one request and returns the complete answer to it.
    pub(super) async fn exchange<W: WireProtocol>(
        &self,
        timer: &TimerService,
        balancer: &ServiceBalancer,
        request: Request<Full<Bytes>>,
        request_id: &HeaderValue,
        freshness: Freshness,
    ) -> Result<UpstreamAnswer, CallFailure> {
        let (mut connection, count, is_new) = self.connection(timer, balancer, freshness).await?;
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(mut error) => {
                if is_new {
                    balancer.record_connection_refused(timer.now(), self.upstream);
                }
                let was_kept = error.take_message().is_some();
                return Err(if was_kept { not_sent() } else { CallFailure::ConnectionLost });
            }
        };
        if is_new {
            balancer.record_connection_accepted(timer.now(), self.upstream);
        }
        let (head, body) = response.into_parts();
        let terms = W::read_reply(head.status, &head.headers, request_id);
        if let Some(load) = terms.load {
            balancer.record_load(timer.now(), self.upstream, load);
        }
        if !terms.is_for_request {
            return Err(CallFailure::BadReply);
        }
        let idle_limit = idle_limit(&head.headers);
        let answer = read_answer(Response::from_parts(head, body), &terms).await?;
        // A connection that was told to close, or has bytes left, is not ready again.
        self.put_back(timer, connection, count, idle_limit);
        classify(answer, terms.kind)
    }

    /// Returns a connection for one request, and whether it is a new one.
    async fn connection<'a>(
        &'a self,
        timer: &TimerService,
        balancer: &'a ServiceBalancer,
        freshness: Freshness,
    ) -> Result<(OpenConnection, ConnectionCount<'a>, bool), CallFailure> {
        if let Some(connection) = self.take_idle(timer.now(), balancer, freshness) {
            return Ok((connection, ConnectionCount { link: self, balancer }, false));
        }
        let started = timer.now();
        let count = self.count_connection(balancer);
        let opened = timer.timeout(DIAL_LIMIT, OpenConnection::open(self.upstream)).await;
        let now = timer.now();
        match opened {
            Ok(Ok(connection)) => {
                balancer.record_dial(now, self.upstream, Some(now.since(started)));
                Ok((connection, count, true))
            }
            Ok(Err(_)) | Err(_) => {
                balancer.record_dial(now, self.upstream, None);
                Err(not_sent())
            }
        }
    }

    fn count_connection<'a>(&'a self, balancer: &'a ServiceBalancer) -> ConnectionCount<'a> {
        let open = {
            let mut state = self.lock();
            state.open += 1;
            state.open
        };
        balancer.record_connections(self.upstream, open);
        ConnectionCount { link: self, balancer }
    }

    /// Takes the connection that was used last and drops those that have ended.
    fn take_idle(
        &self,
        now: TimePoint,
        balancer: &ServiceBalancer,
        freshness: Freshness,
    ) -> Option<OpenConnection> {
        let mut dropped = Vec::new();
        let mut taken = None;
        let mut state = self.lock();
        while let Some(idle) = state.idle.pop() {
            let is_usable = !idle.connection.is_closed()
                && idle.connection.is_ready()
                && now < idle.connection.usable_until;
            let is_recent =
                freshness == Freshness::Any || now.since(idle.since) <= FRESH_IDLE_LIMIT;
            if is_usable && is_recent {
                taken = Some(idle.connection);
                break;
            }
            dropped.push(idle);
        }
        let lost = u32::try_from(dropped.len()).unwrap_or(u32::MAX);
        state.open = state.open.saturating_sub(lost);
        let open = state.open;
        drop(state);
        if 0 < lost {
            balancer.record_connections(self.upstream, open);
        }
        taken
    }

    fn put_back(
        &self,
        timer: &TimerService,
        mut connection: OpenConnection,
        count: ConnectionCount<'_>,
        idle_limit: Duration,
    ) {
        let now = timer.now();
        connection.usable_until = now + idle_limit;
        let mut state = self.lock();
        if state.is_closed || connection.is_closed() {
            return;
        }
        std::mem::forget(count);
        state.idle.push(IdleConnection { connection, since: now });
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_answer(
    response: Response<Incoming>,
    terms: &ReplyMetadata,
) -> Result<UpstreamAnswer, CallFailure> {
    let (mut head, body) = response.into_parts();
    let collected = body.collect().await.map_err(|_| CallFailure::ConnectionLost)?;
    strip_hop_headers(&mut head.headers);
    Ok(UpstreamAnswer {
        status: head.status,
        headers: head.headers,
        signature: terms.signature.clone(),
        body: collected.to_bytes(),
    })
}

fn classify(answer: UpstreamAnswer, kind: ReplyKind) -> Result<UpstreamAnswer, CallFailure> {
    let reason = match kind {
        ReplyKind::Run => return Ok(answer),
        ReplyKind::Shed => NotRunReason::Shed,
        ReplyKind::Rejected => NotRunReason::Rejected,
        ReplyKind::WrongInstance => NotRunReason::WrongInstance,
    };
    Err(CallFailure::NotRun { reason, retry_after: None })
}

/// Returns the time for which the upstream keeps the idle connection, less a reserve.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let named = headers.get("keep-alive").and_then(|it| it.to_str().ok()).and_then(|text| {
        let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    });
    let named = named.map(|it| Duration::from_secs(it) * IDLE_PERCENT / 100);
    named.unwrap_or(IDLE_LIMIT)
}

fn not_sent() -> CallFailure {
    CallFailure::NotRun { reason: NotRunReason::NotSent, retry_after: None }
}
