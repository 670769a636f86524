//! The connections to one upstream and the decisions about them.

use std::{sync::Arc, time::Duration};

use hyper::{Uri, http::uri::InvalidUri};
use mux_model::{FastMap, ShardIndex, TimePoint, UpstreamId};
use tokio::sync::watch;

use crate::{
    PoolSettings, UpstreamReport,
    dial_backoff::DialBackoff,
    upstream_connection::{ConnectionLease, UpstreamConnection},
};

/// How a call goes on.
pub(crate) enum LeaseChoice {
    /// On this connection.
    Ready(ConnectionLease),
    /// After the next change of the upstream's connections.
    Wait(watch::Receiver<()>),
    /// Not at all for about this long, if known.
    Refuse(Option<Duration>),
}

/// All that the pool knows of one upstream; its owner holds the lock.
pub(crate) struct UpstreamState {
    upstream: UpstreamId,
    limit: u32,
    connections: Vec<Arc<UpstreamConnection>>,
    leaving: Vec<Arc<UpstreamConnection>>,
    dialing: bool,
    backoff: DialBackoff,
    changed: watch::Sender<()>,
    call_uris: FastMap<ShardIndex, Uri>,
    dials: u64,
    failed_dials: u64,
    silent_connections: u64,
}

impl UpstreamState {
    pub(crate) fn new(upstream: UpstreamId, settings: &PoolSettings) -> Self {
        Self {
            upstream,
            limit: 0,
            connections: Vec::new(),
            leaving: Vec::new(),
            dialing: false,
            backoff: DialBackoff::new(settings.backoff_min, settings.backoff_max),
            changed: watch::Sender::new(()),
            call_uris: FastMap::default(),
            dials: 0,
            failed_dials: 0,
            silent_connections: 0,
        }
    }

    /// Sets how many connections the node may hold; those above it take no new call.
    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.connections.sort_by_key(|it| std::cmp::Reverse(it.calls()));
        let kept = self.connections.len().min(to_usize(limit));
        let excess = self.connections.split_off(kept);
        self.leaving.extend(excess);
        self.close_finished();
        self.changed.send_replace(());
    }

    /// Chooses the connection for a new call.
    pub(crate) fn choose(&self, now: TimePoint, settings: &PoolSettings) -> LeaseChoice {
        match self.best(now, settings) {
            Some(best) if self.dialing && best.is_suspect(now, settings) => self.wait(),
            Some(best) => LeaseChoice::Ready(ConnectionLease::new(Arc::clone(best), now)),
            None if self.dialing => self.wait(),
            None => LeaseChoice::Refuse(self.backoff.remaining(now)),
        }
    }

    /// Returns whether another connection is needed and allowed, and if so counts it as begun.
    pub(crate) fn begin_dial(&mut self, now: TimePoint, settings: &PoolSettings) -> bool {
        if self.dialing || self.limit <= self.held() || self.backoff.remaining(now).is_some() {
            return false;
        }
        if !self.needs_connection(now, settings) {
            return false;
        }
        self.dialing = true;
        self.dials += 1;
        true
    }

    /// Takes in a connection; returns whether it is kept.
    pub(crate) fn finish_dial(&mut self, connection: Arc<UpstreamConnection>) -> bool {
        self.dialing = false;
        let kept = self.held() < self.limit;
        if kept {
            self.connections.push(connection);
        }
        self.changed.send_replace(());
        kept
    }

    /// Records that a dial failed.
    pub(crate) fn fail_dial(&mut self, now: TimePoint, jitter: f64) {
        self.dialing = false;
        self.record_failure(now, jitter);
        self.changed.send_replace(());
    }

    /// Forgets a connection that has ended.
    pub(crate) fn end_connection(
        &mut self,
        connection: &Arc<UpstreamConnection>,
        now: TimePoint,
        jitter: f64,
    ) {
        self.connections.retain(|it| !Arc::ptr_eq(it, connection));
        self.leaving.retain(|it| !Arc::ptr_eq(it, connection));
        if !connection.has_replied() && !connection.is_silent() {
            self.record_failure(now, jitter);
        }
        self.changed.send_replace(());
    }

    /// Records that the upstream answers.
    pub(crate) fn record_reply(&mut self) {
        self.backoff.succeed();
    }

    /// Retires connections without progress since `judged_from` or their last byte, and closes
    /// those that are not needed; returns how many were retired.
    pub(crate) fn sweep(
        &mut self,
        now: TimePoint,
        judged_from: TimePoint,
        settings: &PoolSettings,
    ) -> usize {
        let retired = self.retire_silent(now, judged_from, settings);
        self.close_idle(now, settings);
        self.close_finished();
        retired
    }

    /// Returns whether nothing is left of an upstream that is no longer wanted.
    pub(crate) fn is_over(&self) -> bool {
        self.limit == 0 && self.held() == 0 && !self.dialing
    }

    /// Returns the address of a shard's queries.
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
            open: self.held(),
            calls_in_flight: self.all().map(|it| it.calls()).sum(),
            dials: self.dials,
            failed_dials: self.failed_dials,
            silent_connections: self.silent_connections,
        }
    }

    fn all(&self) -> impl Iterator<Item = &Arc<UpstreamConnection>> {
        self.connections.iter().chain(&self.leaving)
    }

    fn held(&self) -> u32 {
        u32::try_from(self.connections.len() + self.leaving.len()).unwrap_or(u32::MAX)
    }

    fn wait(&self) -> LeaseChoice {
        LeaseChoice::Wait(self.changed.subscribe())
    }

    fn best(&self, now: TimePoint, settings: &PoolSettings) -> Option<&Arc<UpstreamConnection>> {
        self.connections
            .iter()
            .filter(|it| it.is_open() && it.calls() < settings.calls_per_connection_limit)
            .min_by_key(|it| (it.is_suspect(now, settings), it.calls()))
    }

    fn needs_connection(&self, now: TimePoint, settings: &PoolSettings) -> bool {
        let Some(best) = self.best(now, settings) else {
            return true;
        };
        best.is_suspect(now, settings) || settings.calls_per_connection_target <= best.calls()
    }

    fn record_failure(&mut self, now: TimePoint, jitter: f64) {
        self.failed_dials += 1;
        self.backoff.fail(now, jitter);
    }

    fn retire_silent(
        &mut self,
        now: TimePoint,
        judged_from: TimePoint,
        settings: &PoolSettings,
    ) -> usize {
        let newest_read = self.all().map(|it| it.last_read()).max().unwrap_or(judged_from);
        let upstream_answers = now.since(newest_read) < settings.suspect_limit;
        let limit =
            if upstream_answers { settings.sibling_silence_limit } else { settings.silence_limit };
        let mut retired = 0;
        for connection in self.all().filter(|it| it.is_open()) {
            let quiet = now.since(connection.last_read().max(judged_from));
            if limit <= quiet {
                connection.retire();
                retired += 1;
            }
        }
        self.silent_connections += retired as u64;
        retired
    }

    fn close_idle(&mut self, now: TimePoint, settings: &PoolSettings) {
        if self.connections.len() < 2 {
            return;
        }
        let is_idle = |it: &Arc<UpstreamConnection>| {
            it.calls() == 0 && settings.idle_limit < now.since(it.last_used())
        };
        if let Some(idx) = self.connections.iter().position(is_idle) {
            self.connections.remove(idx);
        }
    }

    fn close_finished(&mut self) {
        self.leaving.retain(|it| 0 < it.calls());
    }
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
