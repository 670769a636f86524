//! Keeps this node's copy of the store current: it reads the copy of another node, or the store
//! itself.

mod peer_copies;

use std::{sync::Arc, time::Duration};

use mux_model::TimePoint;
use rand::RngExt;
use slog::info;

use self::peer_copies::{CurrentPeer, PeerRead};
use super::{
    ReadPacing,
    apply_update::{UpdateKind, apply_update, log_skipped_items},
    evidence_task::exchange_with_peers,
};
use crate::{
    ClusterStore, ClusterStoreError, PeerRotation, StoreRevision, edge_metrics::StoreCallLabel,
    edge_state::EdgeState, longest_stale_delay,
};

/// Half of the delay after the first failed call; the delay doubles with each further failure in a
/// row, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay after a failed call; a part of the time in which changes have to become active.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Period of the checks after the start whether a peer's copy can be read.
const STARTUP_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a node that the store rejects reads the copies of peers before it asks the store
/// again.
const STORE_RETRY_PERIOD: Duration = Duration::from_secs(2);
/// Delay after all peers' copies were found to be stale again.
const STALE_PEERS_DELAY: Duration = Duration::from_millis(500);

/// Reads the store or a peer's copy of it, until the process ends.
pub(crate) async fn read_store<S: ClusterStore>(edge: Arc<EdgeState>, store: S) {
    let mut pauses = edge.timer.subscribe_pauses();
    let mut reader = StoreReader::new(edge, store);
    reader.wait_for_peers().await;
    loop {
        pauses.mark_unchanged();
        let edge = Arc::clone(&reader.edge);
        tokio::select! {
            () = reader.step() => {}
            // The local state may be outdated, and the connection of the watch may be closed.
            _ = pauses.changed() => {
                info!(edge.logger, "store: listing again after a pause of this process");
                edge.set_relayed_reachability(None);
                edge.copy_currency().on_pause();
                edge.sharing.on_pause();
                reader.revision = None;
            }
            () = edge.watch_restart.notified() => {}
        }
    }
}

struct StoreReader<S> {
    edge: Arc<EdgeState>,
    store: S,
    /// Position of this node's copy; `None` if all entries have to be read.
    revision: Option<StoreRevision>,
    /// Number of failed calls to the store in a row.
    failures: u32,
    /// Time from which the store is asked again after failures.
    store_retry_at: TimePoint,
    peers: PeerRotation,
    /// The peer whose copy is in use.
    current_peer: Option<CurrentPeer>,
    /// Whether the copies of all peers were stale at the last attempt.
    had_stale_peers: bool,
}

impl<S: ClusterStore> StoreReader<S> {
    fn new(edge: Arc<EdgeState>, store: S) -> Self {
        Self {
            edge,
            store,
            revision: None,
            failures: 0,
            store_retry_at: TimePoint::ZERO,
            peers: PeerRotation::default(),
            current_peer: None,
            had_stale_peers: false,
        }
    }

    /// Waits until another node offers its copy of the store, or this node has to read the store
    /// itself.
    async fn wait_for_peers(&mut self) {
        if self.edge.settings.listen.relay.is_none() {
            return;
        }
        let end = self.edge.timer.now() + self.edge.nodes().startup_wait();
        while self.edge.timer.now() < end {
            // The reply may be seconds old, so it does not show that the store is reachable now.
            self.count_store_call("list_nodes");
            if let Ok(records) = self.store.list_nodes().await {
                let mut nodes = self.edge.nodes();
                for record in records {
                    nodes.on_record(record);
                }
                if !nodes.relay_peers().is_empty() {
                    return;
                }
            }
            self.edge.timer.sleep(STARTUP_CHECK_PERIOD).await;
        }
    }

    async fn step(&mut self) {
        if !self.prefers_peers() {
            return self.read_from_store().await;
        }
        let outcome = self.read_from_peers().await;
        if outcome != PeerRead::Fresh {
            self.edge.leave_relayed_reachability();
        }
        let had_stale_peers =
            std::mem::replace(&mut self.had_stale_peers, outcome == PeerRead::Stale);
        match outcome {
            PeerRead::Fresh => {}
            // The announced nodes ask the store all the time, so this one asks it rarely, and reads
            // their copies again once the store is back.
            PeerRead::Stale if !self.edge.is_announced() => {
                self.edge.timer.sleep(self.stale_delay(had_stale_peers)).await;
                if self.store_retry_at <= self.edge.timer.now() {
                    self.read_from_store().await;
                }
            }
            PeerRead::Stale | PeerRead::Silent => self.read_from_store().await,
        }
    }

    /// Returns the delay after the copies of all peers were found to be stale, before the store is asked.
    /// The first one is random, as other readers leave the same copy, and leaves time for the call.
    fn stale_delay(&self, had_stale_peers: bool) -> Duration {
        if had_stale_peers {
            return STALE_PEERS_DELAY;
        }
        let longest = longest_stale_delay(self.edge.limits().change_limit());
        longest.mul_f64(rand::rng().random::<f64>())
    }

    /// Returns whether a peer's copy is read: callers are not directed to this node, or the store
    /// does not answer it.
    fn prefers_peers(&self) -> bool {
        let edge = &self.edge;
        if edge.settings.listen.relay.is_none() {
            return false;
        }
        let has_failed = 1 < self.failures && edge.timer.now() < self.store_retry_at;
        has_failed || !edge.nodes().is_advertised()
    }

    fn count_store_call(&self, call: &'static str) {
        self.edge.metrics.store_calls.get_or_create(&StoreCallLabel { call }).inc();
    }

    async fn read_from_store(&mut self) {
        let sent_at = self.edge.timer.now();
        let (kind, result) = match self.revision {
            Some(revision) => {
                let wait = self.pacing().watch_wait(self.reads_for_others());
                self.edge.copy_currency().on_watch_sent(sent_at);
                let pending = PendingWatch { edge: &self.edge };
                let result = self.store.watch(revision, wait).await;
                drop(pending);
                (UpdateKind::Changes, result)
            }
            None => (UpdateKind::Listing, self.store.list().await),
        };
        let call = match kind {
            UpdateKind::Listing => "list",
            UpdateKind::Changes => "watch",
        };
        self.count_store_call(call);
        match result {
            Ok(update) => {
                self.failures = 0;
                self.edge.on_store_era(update.revision.era);
                self.revision = Some(update.revision);
                // The first update after an outage contains the entries that expired during it, so
                // the reply has to be recorded before the update is applied.
                self.edge.on_store_reply();
                self.edge.leave_relayed_reachability();
                let changes = update.changes.len();
                let now = self.edge.timer.now();
                if let Some(at) = copied_at(kind, sent_at, now, changes) {
                    self.edge.copy_currency().on_copied(at);
                }
                log_skipped_items(&self.edge, now, update.skipped_items);
                apply_update(&self.edge, now, kind, update.changes, update.revision);
                if kind == UpdateKind::Listing {
                    // The store may not have got the latest evidence against requests yet.
                    tokio::spawn(exchange_with_peers(Arc::clone(&self.edge)));
                }
                self.edge.timer.sleep(self.delay_after(changes)).await;
            }
            Err(ClusterStoreError::HistoryCompacted) => {
                info!(self.edge.logger, "store: history compacted, listing again");
                self.revision = None;
            }
            Err(ClusterStoreError::StoreRestored) => {
                self.revision = None;
                // Nodes that watch the store learn of the restore at the same moment.
                let nodes = self.edge.nodes().node_count();
                self.edge.timer.sleep(self.pacing().listing_delay(nodes)).await;
            }
            Err(error) => self.on_store_error(&error).await,
        }
    }

    async fn on_store_error(&mut self, error: &ClusterStoreError) {
        self.failures += 1;
        self.store_retry_at = self.edge.timer.now() + STORE_RETRY_PERIOD;
        // A single watch may fail because its connection was closed; two failures in a row are an
        // outage.
        if 1 < self.failures
            || matches!(error, ClusterStoreError::NoValidReply(_)) && self.revision.is_none()
        {
            self.edge.on_store_failure("watch", error);
        }
        let delay = RETRY_DELAY * (1 << self.failures.min(5));
        self.edge.timer.sleep(delay.min(MAX_RETRY_DELAY)).await;
    }

    fn delay_after(&self, changes: usize) -> Duration {
        let reads_for_others = self.reads_for_others();
        self.pacing().delay_after(changes, self.edge.nodes().node_count(), reads_for_others)
    }

    fn pacing(&self) -> ReadPacing {
        ReadPacing { config_apply_limit: self.edge.limits().change_limit() }
    }

    /// Returns whether callers or other nodes may depend on this node's copy.
    fn reads_for_others(&self) -> bool {
        let edge = &self.edge;
        edge.settings.listen.relay.is_none() || edge.is_announced() || edge.nodes().is_advertised()
    }
}

/// Records the end of a watch when it is dropped, also if it was interrupted.
struct PendingWatch<'a> {
    edge: &'a EdgeState,
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.edge.copy_currency().on_watch_ended();
    }
}

/// Returns up to which time the copy holds all changes after a reply to a call that was sent at
/// `sent_at`; `None` if the reply may be only the first page of them.
fn copied_at(
    kind: UpdateKind,
    sent_at: TimePoint,
    received_at: TimePoint,
    changes: usize,
) -> Option<TimePoint> {
    match kind {
        // The pages of a listing are read one after the other.
        UpdateKind::Listing => Some(sent_at),
        UpdateKind::Changes => ReadPacing::is_complete(changes).then_some(received_at),
    }
}
