//! Pool of this node's connections to all upstreams.

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
use mux_routing::reach::ContactFailure;
use mux_timer::TimerService;
use slog::{Logger, info, warn};
use tokio::runtime::Handle;

use crate::{
    CallHeader, NodeReach, PoolReport, PoolSettings, UpstreamReply, UpstreamStatus,
    call_reply::{ReplyHead, check_json, read_body},
    call_request::{CallIdentity, build_call_request, build_status_request},
    dial::{DialedConnection, dial},
    upstream_connection::{PooledConnection, UpstreamConnection},
    upstream_state::{ConnectionChoice, UpstreamState},
};

const SWEEP_PERIOD: Duration = Duration::from_millis(100);
/// A longer gap between sweeps means that this process was paused, so the silence of connections
/// up to then is no evidence of a fault.
const SWEEP_GAP_LIMIT: Duration = Duration::from_millis(400);
const STRIPE_COUNT: usize = 16;
const STATUS_BYTES_LIMIT: usize = 4 << 20;

/// Cloneable handle to the pool of this node's connections to all upstreams.
///
/// Connections run on the runtime on which the pool was started; calls may be made from any
/// runtime. An upstream is known from its first [`set_limit`](Self::set_limit) until
/// [`retain`](Self::retain) removes it; calls to an unknown one fail as not sent.
#[derive(Clone)]
pub struct UpstreamPool {
    inner: Arc<PoolInner>,
}

struct PoolInner {
    settings: PoolSettings,
    timer: TimerService,
    logger: Logger,
    runtime: Handle,
    reach: NodeReach,
    stripes: Vec<Mutex<PoolStripe>>,
}

/// One of [`STRIPE_COUNT`] maps, each with its own lock, over which the upstreams are spread.
type PoolStripe = FastMap<UpstreamId, UpstreamState>;

impl UpstreamPool {
    /// Starts a pool without upstreams on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(settings: PoolSettings, timer: TimerService, logger: Logger) -> Self {
        let stripes = (0..STRIPE_COUNT).map(|_| Mutex::default()).collect();
        let runtime = Handle::current();
        let inner = Arc::new(PoolInner {
            settings,
            timer,
            logger,
            runtime,
            reach: NodeReach::new(),
            stripes,
        });
        inner.runtime.spawn(sweep_connections(Arc::downgrade(&inner), inner.timer.clone()));
        Self { inner }
    }

    /// Calls an upstream; dropping the future cancels the call but keeps the connection.
    ///
    /// # Errors
    ///
    /// Returns `NotRun` only if the upstream certainly did not run the request.
    pub async fn call(
        &self,
        upstream: UpstreamId,
        header: &CallHeader,
        body: Bytes,
    ) -> Result<UpstreamReply, CallFailure> {
        let started = self.inner.timer.now();
        let connection = self.acquire(upstream, header.deadline).await?;
        let time_left = header.deadline.since(self.inner.timer.now());
        let exchange = self.exchange(upstream, &connection, header, body, started);
        match self.inner.timer.timeout(time_left, exchange).await {
            Ok(Err(CallFailure::ConnectionLost)) => Err(self.refine_loss(upstream).await),
            Ok(res) => res,
            Err(_) => Err(CallFailure::DeadlinePassed),
        }
    }

    /// Requests the status of an upstream.
    ///
    /// # Errors
    ///
    /// Fails as [`call`](Self::call) does.
    pub async fn status(&self, upstream: UpstreamId) -> Result<UpstreamStatus, CallFailure> {
        let limit = self.inner.settings.status_timeout;
        let connection = self.acquire(upstream, self.inner.timer.now() + limit).await?;
        match self.inner.timer.timeout(limit, request_status(upstream, &connection)).await {
            Ok(Ok(status)) => {
                self.inner.reach.on_reply(self.inner.timer.now());
                Ok(status)
            }
            Ok(Err(failure)) => Err(failure),
            Err(_) => {
                self.inner.reach.on_failure(upstream, ContactFailure::Silent);
                Err(CallFailure::DeadlinePassed)
            }
        }
    }

    /// Sets the maximum number of connections of this node to an upstream.
    ///
    /// If the limit is lowered, the connections with the fewest calls are closed, after these calls
    /// have completed.
    pub fn set_limit(&self, upstream: UpstreamId, connections: u32) {
        let mut stripe = self.inner.stripe(upstream);
        let state = stripe
            .entry(upstream)
            .or_insert_with(|| UpstreamState::new(upstream, &self.inner.settings));
        state.set_limit(connections);
    }

    /// Removes all upstreams except `upstreams`; calls in flight to the removed ones complete.
    pub fn retain(&self, upstreams: &[UpstreamId]) {
        let kept: FastSet<UpstreamId> = upstreams.iter().copied().collect();
        for stripe in &self.inner.stripes {
            let mut stripe = lock(stripe);
            for (upstream, state) in stripe.iter_mut() {
                if !kept.contains(upstream) {
                    state.set_limit(0);
                }
            }
            stripe.retain(|upstream, state| kept.contains(upstream) || !state.is_removable());
        }
    }

    /// Returns the contact of this node with upstreams.
    pub fn reach(&self) -> &NodeReach {
        &self.inner.reach
    }

    /// Returns the state of the pool.
    pub fn report(&self) -> PoolReport {
        let mut upstreams = Vec::new();
        for stripe in &self.inner.stripes {
            upstreams.extend(lock(stripe).values().map(UpstreamState::report));
        }
        upstreams.sort_by_key(|it| it.upstream);
        PoolReport { upstreams }
    }

    /// Returns the failure of a call whose connection was lost.
    async fn refine_loss(&self, upstream: UpstreamId) -> CallFailure {
        self.inner.reach.on_failure(upstream, ContactFailure::Lost);
        let probe = self.inner.stripe(upstream).get(&upstream).map(UpstreamState::probe);
        let has_ended = match probe {
            Some(probe) => probe.refuses_connection(&self.inner.timer, upstream).await,
            None => false,
        };
        if has_ended { CallFailure::UpstreamEnded } else { CallFailure::ConnectionLost }
    }

    async fn acquire(
        &self,
        upstream: UpstreamId,
        deadline: TimePoint,
    ) -> Result<PooledConnection, CallFailure> {
        loop {
            let now = self.inner.timer.now();
            if deadline <= now {
                return Err(not_run(NotRunReason::DeadlinePassed, None));
            }
            let mut changes = match self.inner.choose(upstream, now) {
                ConnectionChoice::Ready(connection) => return Ok(connection),
                ConnectionChoice::Wait(changes) => changes,
                ConnectionChoice::Unavailable(retry_after) => {
                    return Err(not_run(NotRunReason::NotSent, retry_after));
                }
            };
            // The next iteration checks the deadline and the connections again.
            let _ = self.inner.timer.timeout(deadline.since(now), changes.changed()).await;
        }
    }

    async fn exchange(
        &self,
        upstream: UpstreamId,
        connection: &PooledConnection,
        header: &CallHeader,
        body: Bytes,
        started: TimePoint,
    ) -> Result<UpstreamReply, CallFailure> {
        let rejected = not_run(NotRunReason::Rejected, None);
        let uri = self.inner.call_uri(upstream, header.shard).ok_or(rejected)?;
        let identity = CallIdentity::new(header).map_err(|_| rejected)?;
        let time_left = header.deadline.since(self.inner.timer.now());
        let request =
            build_call_request(uri, header, &identity, time_left, body).map_err(|_| rejected)?;
        let response = connection.send(request).await?;
        let head = ReplyHead::read(&response, header, &identity)?;
        let bytes_limit = self.inner.settings.reply_bytes_limit;
        let body = read_body(response.into_body(), bytes_limit);
        let body = body.await.map_err(|failure| connection.refine_failure(failure))?;
        check_json(&body)?;
        self.inner.reach.on_reply(self.inner.timer.now());
        if connection.record_reply() {
            self.inner.record_reply(upstream);
        }
        Ok(head.complete(body, self.inner.timer.now().since(started)))
    }
}

impl PoolInner {
    fn stripe(&self, upstream: UpstreamId) -> MutexGuard<'_, PoolStripe> {
        let hash = FastHasher::default().hash_one(upstream);
        // The upper bits of the hash are better distributed than the lower ones.
        let idx = usize::try_from(hash >> 32).unwrap_or(0) % STRIPE_COUNT;
        lock(&self.stripes[idx])
    }

    fn choose(self: &Arc<Self>, upstream: UpstreamId, now: TimePoint) -> ConnectionChoice {
        let mut stripe = self.stripe(upstream);
        let Some(state) = stripe.get_mut(&upstream) else {
            return ConnectionChoice::Unavailable(None);
        };
        if state.try_begin_dial(now, &self.settings) {
            self.runtime.spawn(Arc::clone(self).connect(upstream));
        }
        state.choose(now, &self.settings)
    }

    fn call_uri(&self, upstream: UpstreamId, shard: ShardIndex) -> Option<Uri> {
        self.stripe(upstream).get_mut(&upstream)?.call_uri(shard).ok()
    }

    fn record_reply(&self, upstream: UpstreamId) {
        if let Some(state) = self.stripe(upstream).get_mut(&upstream) {
            state.record_reply();
        }
    }

    async fn connect(self: Arc<Self>, upstream: UpstreamId) {
        let dialed = match dial(upstream, &self.timer, &self.settings).await {
            Ok(dialed) => dialed,
            Err(error) => return self.record_dial_failure(upstream, &error),
        };
        let DialedConnection { sender, progress, driver } = dialed;
        let connection = Arc::new(UpstreamConnection::new(sender, progress, self.timer.now()));
        let weak_connection = Arc::downgrade(&connection);
        self.add_connection(upstream, connection);
        let inner = Arc::downgrade(&self);
        drop(self);
        let _ = driver.await;
        // An upgrade fails if the pool was dropped or has already closed the connection.
        if let (Some(inner), Some(connection)) = (inner.upgrade(), weak_connection.upgrade()) {
            inner.remove_connection(upstream, &connection);
        }
    }

    fn record_dial_failure(&self, upstream: UpstreamId, error: &io::Error) {
        info!(self.logger, "upstream: failed to connect to {upstream}: {error}");
        let failure = match error.kind() {
            io::ErrorKind::ConnectionRefused => ContactFailure::Refused,
            _ => ContactFailure::Lost,
        };
        self.reach.on_failure(upstream, failure);
        if let Some(state) = self.stripe(upstream).get_mut(&upstream) {
            state.record_dial_failure(self.timer.now(), rand::random());
        }
    }

    fn add_connection(&self, upstream: UpstreamId, connection: Arc<UpstreamConnection>) {
        self.reach.on_connected(self.timer.now());
        if let Some(state) = self.stripe(upstream).get_mut(&upstream) {
            state.add_connection(connection);
        }
    }

    fn remove_connection(&self, upstream: UpstreamId, connection: &Arc<UpstreamConnection>) {
        if let Some(state) = self.stripe(upstream).get_mut(&upstream) {
            state.remove_connection(connection, self.timer.now(), rand::random());
        }
    }

    fn sweep(&self, now: TimePoint, silence_counted_from: TimePoint) {
        for stripe in &self.stripes {
            for (upstream, state) in lock(stripe).iter_mut() {
                let aborted = state.sweep(now, silence_counted_from, &self.settings);
                if 0 < aborted {
                    self.reach.on_failure(*upstream, ContactFailure::Silent);
                    warn!(
                        self.logger,
                        "upstream: aborted {aborted} silent connections to {upstream}"
                    );
                }
            }
        }
    }
}

async fn sweep_connections(inner: Weak<PoolInner>, timer: TimerService) {
    let mut ticks = timer.subscribe(SWEEP_PERIOD);
    let mut last = timer.now();
    let mut silence_counted_from = TimePoint::ZERO;
    loop {
        let now = ticks.next().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        if SWEEP_GAP_LIMIT < now.since(last) {
            silence_counted_from = now;
        }
        last = now;
        inner.sweep(now, silence_counted_from);
    }
}

async fn request_status(
    upstream: UpstreamId,
    connection: &PooledConnection,
) -> Result<UpstreamStatus, CallFailure> {
    let uri = format!("http://{upstream}/v1/status").parse();
    let uri = uri.map_err(|_| not_run(NotRunReason::Rejected, None))?;
    let response = connection.send(build_status_request(uri)).await?;
    if response.status() != StatusCode::OK {
        return Err(CallFailure::UpstreamError);
    }
    let body = read_body(response.into_body(), STATUS_BYTES_LIMIT).await;
    let body = body.map_err(|failure| connection.refine_failure(failure))?;
    serde_json::from_slice(&body).map_err(|_| CallFailure::BadReply)
}

fn not_run(reason: NotRunReason, retry_after: Option<Duration>) -> CallFailure {
    CallFailure::NotRun { reason, retry_after }
}

/// Ignores poisoning, because a panic leaves no partial change of the state.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
