//! The connections of this node to all upstreams.

use std::{
    hash::BuildHasher,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use bytes::Bytes;
use hyper::{StatusCode, Uri};
use mux_model::{
    CallFailure, FastHasher, FastMap, FastSet, NotRunReason, ShardIndex, TimePoint, UpstreamId,
};
use mux_timer::TimerService;
use slog::{Logger, info, warn};
use tokio::runtime::Handle;

use crate::{
    CallHeader, PoolReport, PoolSettings, UpstreamReply, UpstreamStatus,
    call_reply::{ReplyHead, check_json, read_body},
    call_request::{CallIdentity, build_call, build_status},
    dial_task::{DialedConnection, dial},
    upstream_connection::{ConnectionLease, UpstreamConnection},
    upstream_state::{LeaseChoice, UpstreamState},
};

const SWEEP_PERIOD: Duration = Duration::from_millis(100);
/// A longer gap between sweeps means that this process was paused, so that silence proves nothing.
const SWEEP_GAP_LIMIT: Duration = Duration::from_millis(400);
const LOCK_SHARD_COUNT: usize = 16;
const STATUS_BYTES_LIMIT: usize = 4 << 20;

/// Clonable handle to the connections of this node to all upstreams.
///
/// Connections live on the multi-threaded runtime on which the pool was started; calls may come
/// from any runtime. An upstream is known from its first [`set_limit`](Self::set_limit) until
/// [`retain`](Self::retain) leaves it out; calls to an unknown one fail as not sent.
#[derive(Clone)]
pub struct UpstreamPool {
    inner: Arc<PoolInner>,
}

struct PoolInner {
    settings: PoolSettings,
    timer: TimerService,
    log: Logger,
    runtime: Handle,
    shards: Vec<Mutex<PoolShard>>,
}

type PoolShard = FastMap<UpstreamId, UpstreamState>;

impl UpstreamPool {
    /// Starts a pool without upstreams on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(settings: PoolSettings, timer: TimerService, log: Logger) -> Self {
        let shards = (0..LOCK_SHARD_COUNT).map(|_| Mutex::default()).collect();
        let runtime = Handle::current();
        let inner = Arc::new(PoolInner { settings, timer, log, runtime, shards });
        inner.runtime.spawn(sweep_connections(Arc::downgrade(&inner), inner.timer.clone()));
        Self { inner }
    }

    /// Calls an upstream; dropping the future cancels the call and keeps the connection.
    ///
    /// # Errors
    ///
    /// Returns `NotRun` only with proof that the upstream did not run the request.
    pub async fn call(
        &self,
        upstream: UpstreamId,
        header: &CallHeader,
        body: Bytes,
    ) -> Result<UpstreamReply, CallFailure> {
        let started = self.inner.timer.now();
        let lease = self.lease(upstream, header.deadline).await?;
        let time_left = header.deadline.since(self.inner.timer.now());
        let exchange = self.exchange(upstream, &lease, header, body, started);
        match self.inner.timer.timeout(time_left, exchange).await {
            Ok(res) => res,
            Err(_) => Err(CallFailure::DeadlinePassed),
        }
    }

    /// Asks an upstream for its status.
    ///
    /// # Errors
    ///
    /// Fails like a call.
    pub async fn status(&self, upstream: UpstreamId) -> Result<UpstreamStatus, CallFailure> {
        let limit = self.inner.settings.status_limit;
        let lease = self.lease(upstream, self.inner.timer.now() + limit).await?;
        match self.inner.timer.timeout(limit, request_status(upstream, &lease)).await {
            Ok(res) => res,
            Err(_) => Err(CallFailure::DeadlinePassed),
        }
    }

    /// Sets how many connections this node may hold to an upstream.
    ///
    /// When the limit falls, idle connections close first and others finish their calls.
    pub fn set_limit(&self, upstream: UpstreamId, connections: u32) {
        let mut shard = self.inner.shard(upstream);
        let state = shard
            .entry(upstream)
            .or_insert_with(|| UpstreamState::new(upstream, &self.inner.settings));
        state.set_limit(connections);
    }

    /// Forgets all upstreams but `upstreams`; calls in flight on others finish.
    pub fn retain(&self, upstreams: &[UpstreamId]) {
        let kept: FastSet<UpstreamId> = upstreams.iter().copied().collect();
        for shard in &self.inner.shards {
            let mut shard = lock(shard);
            for (upstream, state) in shard.iter_mut() {
                if !kept.contains(upstream) {
                    state.set_limit(0);
                }
            }
            shard.retain(|upstream, state| kept.contains(upstream) || !state.is_over());
        }
    }

    /// Returns the state of all connections.
    pub fn report(&self) -> PoolReport {
        let mut upstreams = Vec::new();
        for shard in &self.inner.shards {
            upstreams.extend(lock(shard).values().map(UpstreamState::report));
        }
        upstreams.sort_by_key(|it| it.upstream);
        PoolReport { upstreams }
    }

    async fn lease(
        &self,
        upstream: UpstreamId,
        deadline: TimePoint,
    ) -> Result<ConnectionLease, CallFailure> {
        loop {
            let now = self.inner.timer.now();
            if deadline <= now {
                return Err(not_run(NotRunReason::DeadlinePassed, None));
            }
            let mut changes = match self.inner.choose(upstream, now) {
                LeaseChoice::Ready(lease) => return Ok(lease),
                LeaseChoice::Wait(changes) => changes,
                LeaseChoice::Refuse(retry_after) => {
                    return Err(not_run(NotRunReason::NotSent, retry_after));
                }
            };
            // Whatever ended the wait, the next turn looks again.
            let _ = self.inner.timer.timeout(deadline.since(now), changes.changed()).await;
        }
    }

    async fn exchange(
        &self,
        upstream: UpstreamId,
        lease: &ConnectionLease,
        header: &CallHeader,
        body: Bytes,
        started: TimePoint,
    ) -> Result<UpstreamReply, CallFailure> {
        let rejected = not_run(NotRunReason::Rejected, None);
        let uri = self.inner.call_uri(upstream, header.shard).ok_or(rejected)?;
        let identity = CallIdentity::new(header).map_err(|_| rejected)?;
        let time_left = header.deadline.since(self.inner.timer.now());
        let request = build_call(uri, header, &identity, time_left, body).map_err(|_| rejected)?;
        let response = lease.send(request).await?;
        let head = ReplyHead::read(&response, header, &identity)?;
        let bytes_limit = self.inner.settings.reply_bytes_limit;
        let body = read_body(response.into_body(), bytes_limit);
        let body = body.await.map_err(|failure| lease.explain(failure))?;
        check_json(&body)?;
        if lease.record_reply() {
            self.inner.record_reply(upstream);
        }
        Ok(head.complete(body, self.inner.timer.now().since(started)))
    }
}

impl PoolInner {
    fn shard(&self, upstream: UpstreamId) -> MutexGuard<'_, PoolShard> {
        let hash = FastHasher::default().hash_one(upstream);
        // The upper bits are the well mixed ones.
        let idx = usize::try_from(hash >> 32).unwrap_or(0) % LOCK_SHARD_COUNT;
        lock(&self.shards[idx])
    }

    fn choose(self: &Arc<Self>, upstream: UpstreamId, now: TimePoint) -> LeaseChoice {
        let mut shard = self.shard(upstream);
        let Some(state) = shard.get_mut(&upstream) else {
            return LeaseChoice::Refuse(None);
        };
        if state.begin_dial(now, &self.settings) {
            self.runtime.spawn(Arc::clone(self).connect(upstream));
        }
        state.choose(now, &self.settings)
    }

    fn call_uri(&self, upstream: UpstreamId, shard: ShardIndex) -> Option<Uri> {
        self.shard(upstream).get_mut(&upstream)?.call_uri(shard).ok()
    }

    fn record_reply(&self, upstream: UpstreamId) {
        if let Some(state) = self.shard(upstream).get_mut(&upstream) {
            state.record_reply();
        }
    }

    async fn connect(self: Arc<Self>, upstream: UpstreamId) {
        let dialed = match dial(upstream, &self.timer, &self.settings).await {
            Ok(dialed) => dialed,
            Err(error) => return self.fail_dial(upstream, &error),
        };
        let DialedConnection { sender, progress, driver } = dialed;
        let connection = Arc::new(UpstreamConnection::new(sender, progress, self.timer.now()));
        let ended = Arc::downgrade(&connection);
        self.finish_dial(upstream, connection);
        let inner = Arc::downgrade(&self);
        drop(self);
        // The pool may close the connection, and may itself be dropped, before the driver ends.
        let _ = driver.await;
        if let (Some(inner), Some(connection)) = (inner.upgrade(), ended.upgrade()) {
            inner.end_connection(upstream, &connection);
        }
    }

    fn fail_dial(&self, upstream: UpstreamId, error: &io::Error) {
        info!(self.log, "upstream: can't connect to {upstream}: {error}");
        if let Some(state) = self.shard(upstream).get_mut(&upstream) {
            state.fail_dial(self.timer.now(), rand::random());
        }
    }

    fn finish_dial(&self, upstream: UpstreamId, connection: Arc<UpstreamConnection>) {
        if let Some(state) = self.shard(upstream).get_mut(&upstream) {
            state.finish_dial(connection);
        }
    }

    fn end_connection(&self, upstream: UpstreamId, connection: &Arc<UpstreamConnection>) {
        if let Some(state) = self.shard(upstream).get_mut(&upstream) {
            state.end_connection(connection, self.timer.now(), rand::random());
        }
    }

    fn sweep(&self, now: TimePoint, judged_from: TimePoint) {
        for shard in &self.shards {
            for (upstream, state) in lock(shard).iter_mut() {
                let retired = state.sweep(now, judged_from, &self.settings);
                if 0 < retired {
                    warn!(self.log, "upstream: {retired} silent connections to {upstream} retired");
                }
            }
        }
    }
}

async fn sweep_connections(inner: Weak<PoolInner>, timer: TimerService) {
    let mut ticks = timer.subscribe(SWEEP_PERIOD);
    let mut last = timer.now();
    let mut judged_from = TimePoint::ZERO;
    loop {
        let now = ticks.next().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        if SWEEP_GAP_LIMIT < now.since(last) {
            judged_from = now;
        }
        last = now;
        inner.sweep(now, judged_from);
    }
}

async fn request_status(
    upstream: UpstreamId,
    lease: &ConnectionLease,
) -> Result<UpstreamStatus, CallFailure> {
    let uri = format!("http://{upstream}/v1/status").parse();
    let uri = uri.map_err(|_| not_run(NotRunReason::Rejected, None))?;
    let response = lease.send(build_status(uri)).await?;
    if response.status() != StatusCode::OK {
        return Err(CallFailure::UpstreamError);
    }
    let body = read_body(response.into_body(), STATUS_BYTES_LIMIT).await;
    let body = body.map_err(|failure| lease.explain(failure))?;
    serde_json::from_slice(&body).map_err(|_| CallFailure::BadReply)
}

fn not_run(reason: NotRunReason, retry_after: Option<Duration>) -> CallFailure {
    CallFailure::NotRun { reason, retry_after }
}

/// A panic of another holder leaves the state usable: every change is complete in itself.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
