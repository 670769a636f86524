//! The connection pool of one upstream.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use mux_model::{CallFailure, InstanceId, NotRunReason, TimePoint, UpstreamId};
use mux_routing::{UpstreamKey, balancer::ServiceBalancer, reach::ContactFailure};
use mux_timer::TimerService;
use mux_upstream::ProcessProbe;

use super::{
    MAX_REPLY_BYTES, ReplyBuffers, UpstreamReply, announcements::record_announcements,
    open_connection::OpenConnection, reply_body::ReplyBody,
};
use crate::{
    QuietRequest, ReplyIdentity, ReplyKind, ReplyMetadata, WireProtocol,
    caller::strip_hop_by_hop_headers, edge_state::EdgeState,
};

/// Time-out for opening a connection. A healthy upstream accepts within a few milliseconds, and
/// after this time the request is better sent to another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection that was not reset counts as accepted. An upstream at its connection
/// limit resets a new connection at once.
const REFUSAL_CHECK_TIME: Duration = Duration::from_millis(2);
/// Delay suggested to a caller whose call was refused a connection.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum idle time of a reused connection if the upstream sends no keep-alive time-out.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Maximum idle time of a reused connection, in percent of the upstream's keep-alive time-out.
const KEEP_ALIVE_PERCENT: u32 = 70;
/// Maximum idle time of a connection that is reused for a request that must not be repeated. If the
/// upstream closed the connection just then, it would be unknown whether the request ran.
const RECENTLY_USED_LIMIT: Duration = Duration::from_millis(500);

/// Which idle connections may be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReusePolicy {
    /// Any connection that the upstream is expected to keep open.
    AnyIdle,
    /// Only one that was used within [`RECENTLY_USED_LIMIT`]; otherwise a new one is opened.
    RecentlyUsed,
}

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    idle_since: TimePoint,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    open: u32,
    is_closed: bool,
    last_reply_at: TimePoint,
}

/// The connections to one upstream instance.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    key: UpstreamKey,
    state: Mutex<PoolState>,
    probe: ProcessProbe,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct ConnectionCountGuard<'a> {
    pool: &'a ConnectionPool,
    balancer: &'a ServiceBalancer,
}

impl Drop for ConnectionCountGuard<'_> {
    fn drop(&mut self) {
        let open = {
            let mut state = self.pool.lock();
            state.open = state.open.saturating_sub(1);
            state.open
        };
        self.balancer.record_connections(&self.pool.key, open);
    }
}

impl ConnectionPool {
    pub(super) fn new(instance: InstanceId, upstream: UpstreamId) -> Self {
        let key = UpstreamKey { instance, upstream };
        Self { key, state: Mutex::default(), probe: ProcessProbe::default() }
    }

    /// Returns the upstream that the connections lead to.
    pub(crate) fn upstream(&self) -> UpstreamId {
        self.key.upstream
    }

    /// Closes idle connections at once and the others after their calls.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        state.idle.clear();
    }

    /// Returns when the latest reply began; zero if there was none.
    pub(crate) fn last_reply_at(&self) -> TimePoint {
        self.lock().last_reply_at
    }

    /// Returns whether the process of the upstream has ended, after a connection to it was lost: it
    /// refuses a new connection, and has no other one.
    pub(super) async fn has_ended(&self, timer: &TimerService) -> bool {
        self.probe.refuses_connection(timer, self.key.upstream).await
            && self.lock().idle.iter().all(|it| it.connection.is_closed())
    }

    /// Sends a request and returns the complete reply to it.
    pub(super) async fn exchange<W: WireProtocol>(
        &self,
        edge: &EdgeState,
        balancer: &ServiceBalancer,
        request: Request<Full<Bytes>>,
        request_id: &HeaderValue,
        reuse_policy: ReusePolicy,
    ) -> Result<UpstreamReply, CallFailure> {
        let timer = &edge.timer;
        let (mut connection, count_guard, is_new) =
            self.acquire(edge, balancer, reuse_policy).await?;
        // The zone may have been evacuated while the call waited for the connection.
        if balancer.is_in_closed_zone(&self.key) {
            edge.metrics.evacuations.withheld_calls.inc();
            return Err(not_sent());
        }
        let sent_at = timer.now();
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(mut error) => {
                if is_new {
                    balancer.record_new_connection_failed(timer.now(), &self.key);
                }
                edge.reach.on_failure(self.key.upstream, ContactFailure::Lost);
                let is_unsent = error.take_message().is_some();
                return Err(if is_unsent { not_sent() } else { CallFailure::ConnectionLost });
            }
        };
        if is_new {
            balancer.record_connection_accepted(timer.now(), &self.key);
        }
        self.lock().last_reply_at = timer.now();
        edge.reach.on_reply(timer.now());
        let (head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(CallFailure::BadReply);
        }
        let metadata = W::read_reply(head.status, &head.headers, request_id);
        if let Some(load) = metadata.load {
            balancer.record_load(timer.now(), &self.key, load);
        }
        record_announcements(edge, balancer, &self.key.instance, &metadata, sent_at);
        if !is_reply_to_request(&metadata, is_new) {
            return Err(CallFailure::BadReply);
        }
        let idle_limit = idle_limit(&head.headers);
        let response = Response::from_parts(head, body);
        let reply = read_body::<W>(response, &metadata, &edge.reply_buffers).await?;
        // A connection that is closing or has unread data does not become ready, so it is not
        // reused.
        self.put_back(timer, connection, count_guard, idle_limit);
        classify(reply, &metadata)
    }

    /// Returns a connection for one request, and whether it is new.
    async fn acquire<'a>(
        &'a self,
        edge: &EdgeState,
        balancer: &'a ServiceBalancer,
        reuse_policy: ReusePolicy,
    ) -> Result<(OpenConnection, ConnectionCountGuard<'a>, bool), CallFailure> {
        let timer = &edge.timer;
        if let Some(connection) = self.take_idle(timer.now(), balancer, reuse_policy) {
            return Ok((connection, ConnectionCountGuard { pool: self, balancer }, false));
        }
        let started = timer.now();
        let count_guard = self.count_connection(balancer);
        let check = balancer.may_refuse_connection(&self.key).then_some(REFUSAL_CHECK_TIME);
        let open = OpenConnection::open(timer, self.key.upstream, check);
        let opened = timer.timeout(CONNECT_TIMEOUT, open).await;
        let now = timer.now();
        match &opened {
            Ok(Ok(_)) => edge.reach.on_connected(now),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                edge.reach.on_failure(self.key.upstream, ContactFailure::Refused);
            }
            Ok(Err(_)) | Err(_) => edge.reach.on_failure(self.key.upstream, ContactFailure::Lost),
        }
        match opened {
            Ok(Ok(None)) => {
                balancer.record_new_connection_failed(now, &self.key);
                Err(CallFailure::NotRun {
                    reason: NotRunReason::ConnectionRefused,
                    retry_after: Some(REFUSED_RETRY_DELAY),
                })
            }
            Ok(Ok(Some(connection))) => {
                balancer.record_connect(now, &self.key, Some(now.since(started)));
                Ok((connection, count_guard, true))
            }
            Ok(Err(_)) | Err(_) => {
                balancer.record_connect(now, &self.key, None);
                Err(not_sent())
            }
        }
    }

    fn count_connection<'a>(&'a self, balancer: &'a ServiceBalancer) -> ConnectionCountGuard<'a> {
        let open = {
            let mut state = self.lock();
            state.open += 1;
            state.open
        };
        balancer.record_connections(&self.key, open);
        ConnectionCountGuard { pool: self, balancer }
    }

    /// Takes the most recently used of the connections that may be reused.
    ///
    /// Drops every connection that was used more recently but may not be reused; if none may be
    /// reused, drops all.
    fn take_idle(
        &self,
        now: TimePoint,
        balancer: &ServiceBalancer,
        reuse_policy: ReusePolicy,
    ) -> Option<OpenConnection> {
        let mut dropped = Vec::new();
        let mut taken = None;
        let mut state = self.lock();
        while let Some(idle) = state.idle.pop() {
            let is_usable = !idle.connection.is_closed()
                && idle.connection.is_ready()
                && now < idle.connection.usable_until;
            let is_recent = reuse_policy == ReusePolicy::AnyIdle
                || now.since(idle.idle_since) <= RECENTLY_USED_LIMIT;
            if is_usable && is_recent {
                taken = Some(idle.connection);
                break;
            }
            dropped.push(idle);
        }
        let dropped_count = u32::try_from(dropped.len()).unwrap_or(u32::MAX);
        state.open = state.open.saturating_sub(dropped_count);
        let open = state.open;
        drop(state);
        if 0 < dropped_count {
            balancer.record_connections(&self.key, open);
        }
        taken
    }

    fn put_back(
        &self,
        timer: &TimerService,
        mut connection: OpenConnection,
        count_guard: ConnectionCountGuard<'_>,
        idle_limit: Duration,
    ) {
        let now = timer.now();
        connection.usable_until = now + idle_limit;
        let mut state = self.lock();
        if state.is_closed || connection.is_closed() {
            return;
        }
        // An idle connection is still counted.
        std::mem::forget(count_guard);
        state.idle.push(IdleConnection { connection, idle_since: now });
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a status may end a request: HTTP defines none from 600 on, and the lower ones announce
/// a final reply or another protocol.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

/// Returns whether a reply belongs to the request that was just sent on its connection.
///
/// A rejection may lack the id of the request, but on a connection that had a request before, it may
/// as well be a late copy of an earlier rejection, while the upstream runs the request.
fn is_reply_to_request(metadata: &ReplyMetadata, is_first_request: bool) -> bool {
    match metadata.identity {
        ReplyIdentity::OwnRequest => true,
        ReplyIdentity::OtherRequest => false,
        ReplyIdentity::Unknown => is_first_request && metadata.kind != ReplyKind::Run,
    }
}

async fn read_body<W: WireProtocol>(
    response: Response<Incoming>,
    metadata: &ReplyMetadata,
    buffers: &ReplyBuffers,
) -> Result<UpstreamReply, CallFailure> {
    let (mut head, body) = response.into_parts();
    let body = collect_body(body, buffers).await?;
    strip_hop_by_hop_headers(&mut head.headers);
    W::remove_private_headers(&mut head.headers);
    Ok(UpstreamReply {
        status: head.status,
        headers: head.headers,
        signature: metadata.signature.clone(),
        body,
    })
}

/// Collects a body.
async fn collect_body(mut body: Incoming, buffers: &ReplyBuffers) -> Result<Bytes, CallFailure> {
    if body.size_hint().exact().is_some_and(|it| (MAX_REPLY_BYTES as u64) < it) {
        return Err(CallFailure::BadReply);
    }
    let mut collected = ReplyBody::new(buffers);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallFailure::ConnectionLost)?;
        if let Ok(data) = frame.into_data()
            && !collected.try_append(&data)
        {
            return Err(CallFailure::BadReply);
        }
    }
    Ok(collected.finish())
}

fn classify(reply: UpstreamReply, metadata: &ReplyMetadata) -> Result<UpstreamReply, CallFailure> {
    let reason = match metadata.kind {
        ReplyKind::Run => return Ok(reply),
        ReplyKind::Shed => NotRunReason::Shed,
        ReplyKind::Rejected => NotRunReason::Rejected,
        ReplyKind::WrongInstance => NotRunReason::WrongInstance,
    };
    let retry_after = match metadata.quiet_request {
        Some(QuietRequest::Period(period)) => Some(period),
        _ => None,
    };
    Err(CallFailure::NotRun { reason, retry_after })
}

/// Returns the time for which an idle connection may be reused: the upstream's keep-alive time-out
/// less a safety margin.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let timeout_secs = headers.get("keep-alive").and_then(|it| it.to_str().ok()).and_then(|text| {
        let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    });
    let safe_idle_time = timeout_secs.map(|it| Duration::from_secs(it) * KEEP_ALIVE_PERCENT / 100);
    safe_idle_time.unwrap_or(DEFAULT_IDLE_LIMIT)
}

fn not_sent() -> CallFailure {
    CallFailure::NotRun { reason: NotRunReason::NotSent, retry_after: None }
}
