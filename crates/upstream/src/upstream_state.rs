//! Connections to one upstream: selection for calls, dialing and closing.

use std::{sync::Arc, time::Duration};

use hyper::{Uri, http::uri::InvalidUri};
use mux_model::{FastMap, ShardIndex, TimePoint, UpstreamId};
use tokio::sync::watch;

use crate::{
    PoolSettings, ProcessProbe, UpstreamReport,
    dial_backoff::DialBackoff,
    upstream_connection::{PooledConnection, UpstreamConnection},
};

/// Result of the selection of a connection for a call.
pub(crate) enum ConnectionChoice {
    /// The call uses this connection.
    Ready(PooledConnection),
    /// The call waits for the next change of the upstream's connections.
    Wait(watch::Receiver<()>),
    /// No connection is available; the value is the time until the next dial is allowed, or `None`
    /// if no backoff is running.
    Unavailable(Option<Duration>),
}

/// State of the pool for one upstream; accessed under the lock of its stripe.
pub(crate) struct UpstreamState {
    upstream: UpstreamId,
    limit: u32,
    probe: Arc<ProcessProbe>,
    connections: Vec<Arc<UpstreamConnection>>,
    /// Connections in excess of the limit, which receive no new calls and close after the current
    /// ones.
    closing: Vec<Arc<UpstreamConnection>>,
    dialing: bool,
    backoff: DialBackoff,
    /// Wakes the calls that wait for a connection.
    changed: watch::Sender<()>,
    call_uris: FastMap<ShardIndex, Uri>,
    dials: u64,
    /// Failed dials, and connections that closed before any reply was received.
    failed_dials: u64,
    /// Connections aborted because no byte was received for too long.
    silent_connections: u64,
}

impl UpstreamState {
    pub(crate) fn new(upstream: UpstreamId, settings: &PoolSettings) -> Self {
        Self {
            upstream,
            limit: 0,
            probe: Arc::default(),
            connections: Vec::new(),
            closing: Vec::new(),
            dialing: false,
            backoff: DialBackoff::new(settings.backoff_min, settings.backoff_max),
            changed: watch::Sender::new(()),
            call_uris: FastMap::default(),
            dials: 0,
            failed_dials: 0,
            silent_connections: 0,
        }
    }

    /// Returns the probe of the upstream's process.
    pub(crate) fn probe(&self) -> Arc<ProcessProbe> {
        Arc::clone(&self.probe)
    }

    /// Sets the maximum number of connections; those in excess receive no new calls.
    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.connections.sort_by_key(|it| std::cmp::Reverse(it.calls_in_flight()));
        let kept = self.connections.len().min(to_usize(limit));
        let excess = self.connections.split_off(kept);
        self.closing.extend(excess);
        self.close_finished();
        self.changed.send_replace(());
    }

    /// Selects the connection for a new call.
    pub(crate) fn choose(&self, now: TimePoint, settings: &PoolSettings) -> ConnectionChoice {
        match self.best_connection(now, settings) {
            Some(best) if self.dialing && best.is_suspect(now, settings) => self.wait(),
            Some(best) => ConnectionChoice::Ready(PooledConnection::new(Arc::clone(best), now)),
            None if self.dialing => self.wait(),
            None => ConnectionChoice::Unavailable(self.backoff.remaining(now)),
        }
    }

    /// Returns whether another connection is needed and allowed; if so, records that a dial begins.
    pub(crate) fn try_begin_dial(&mut self, now: TimePoint, settings: &PoolSettings) -> bool {
        if self.dialing || self.limit <= self.open_count() || self.backoff.remaining(now).is_some()
        {
            return false;
        }
        if !self.needs_connection(now, settings) {
            return false;
        }
        self.dialing = true;
        self.dials += 1;
        true
    }

    /// Adds a dialed connection; returns whether it is kept.
    pub(crate) fn add_connection(&mut self, connection: Arc<UpstreamConnection>) -> bool {
        self.dialing = false;
        let kept = self.open_count() < self.limit;
        if kept {
            self.connections.push(connection);
        }
        self.changed.send_replace(());
        kept
    }

    /// Records that a dial failed.
    pub(crate) fn record_dial_failure(&mut self, now: TimePoint, jitter: f64) {
        self.dialing = false;
        self.record_failure(now, jitter);
        self.changed.send_replace(());
    }

    /// Removes a closed connection.
    pub(crate) fn remove_connection(
        &mut self,
        connection: &Arc<UpstreamConnection>,
        now: TimePoint,
        jitter: f64,
    ) {
        self.connections.retain(|it| !Arc::ptr_eq(it, connection));
        self.closing.retain(|it| !Arc::ptr_eq(it, connection));
        if !connection.has_replied() && !connection.is_aborted() {
            self.record_failure(now, jitter);
        }
        self.changed.send_replace(());
    }

    /// Resets the dial backoff after a complete reply.
    pub(crate) fn record_reply(&mut self) {
        self.backoff.reset();
    }

    /// Aborts silent connections, which fails their calls, and closes an idle one; returns the
    /// number of aborted connections.
    ///
    /// Silence is counted from the last byte, but not from before `silence_counted_from`.
    pub(crate) fn sweep(
        &mut self,
        now: TimePoint,
        silence_counted_from: TimePoint,
        settings: &PoolSettings,
    ) -> usize {
        let aborted = self.abort_silent(now, silence_counted_from, settings);
        self.close_idle(now, settings);
        self.close_finished();
        aborted
    }

    /// Returns whether the limit is 0 and no connection is open or being dialed.
    pub(crate) fn is_removable(&self) -> bool {
        self.limit == 0 && self.open_count() == 0 && !self.dialing
    }

    /// Returns the URI for queries to a shard.
    ///
    /// # Errors
    ///
    /// Never in practice: a socket address and a number make a valid URI.
    pub(crate) fn call_uri(&mut self, shard: ShardIndex) -> Result<Uri, InvalidUri> {
        if let Some(uri) = self.call_uris.get(&shard) {
            return Ok(uri.clone());
        }
        let uri: Uri = format!("http://{}/v1/shards/{}/query", self.upstream, shard.0).parse()?;
        self.call_uris.insert(shard, uri.clone());
        Ok(uri)
    }

    pub(crate) fn report(&self) -> UpstreamReport {
        UpstreamReport {
            upstream: self.upstream,
            limit: self.limit,
            open: self.open_count(),
            calls_in_flight: self.all_connections().map(|it| it.calls_in_flight()).sum(),
            dials: self.dials,
            failed_dials: self.failed_dials,
            silent_connections: self.silent_connections,
        }
    }

    fn all_connections(&self) -> impl Iterator<Item = &Arc<UpstreamConnection>> {
        self.connections.iter().chain(&self.closing)
    }

    fn open_count(&self) -> u32 {
        u32::try_from(self.connections.len() + self.closing.len()).unwrap_or(u32::MAX)
    }

    fn wait(&self) -> ConnectionChoice {
        ConnectionChoice::Wait(self.changed.subscribe())
    }

    fn best_connection(
        &self,
        now: TimePoint,
        settings: &PoolSettings,
    ) -> Option<&Arc<UpstreamConnection>> {
        self.connections
            .iter()
            .filter(|it| it.is_open() && it.calls_in_flight() < settings.calls_per_connection_limit)
            .min_by_key(|it| (it.is_suspect(now, settings), it.calls_in_flight()))
    }

    fn needs_connection(&self, now: TimePoint, settings: &PoolSettings) -> bool {
        let Some(best) = self.best_connection(now, settings) else {
            return true;
        };
        best.is_suspect(now, settings)
            || settings.calls_per_connection_target <= best.calls_in_flight()
    }

    fn record_failure(&mut self, now: TimePoint, jitter: f64) {
        self.failed_dials += 1;
        self.backoff.record_failure(now, jitter);
    }

    fn abort_silent(
        &mut self,
        now: TimePoint,
        silence_counted_from: TimePoint,
        settings: &PoolSettings,
    ) -> usize {
        let newest_read =
            self.all_connections().map(|it| it.last_read()).max().unwrap_or(silence_counted_from);
        let is_responsive = now.since(newest_read) < settings.suspect_timeout;
        let limit =
            if is_responsive { settings.sibling_silence_timeout } else { settings.silence_timeout };
        let mut aborted = 0;
        for connection in self.all_connections().filter(|it| it.is_open()) {
            let silence = now.since(connection.last_read().max(silence_counted_from));
            if limit <= silence {
                connection.abort();
                aborted += 1;
            }
        }
        self.silent_connections += aborted as u64;
        aborted
    }

    fn close_idle(&mut self, now: TimePoint, settings: &PoolSettings) {
        if self.connections.len() < 2 {
            return;
        }
        let is_idle = |it: &Arc<UpstreamConnection>| {
            it.calls_in_flight() == 0 && settings.idle_timeout < now.since(it.last_used())
        };
        if let Some(idx) = self.connections.iter().position(is_idle) {
            self.connections.remove(idx);
        }
    }

    fn close_finished(&mut self) {
        self.closing.retain(|it| 0 < it.calls_in_flight());
    }
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
