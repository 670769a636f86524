//! Keeps this node's copy of the store current: it reads the copy of another node, or the store
//! itself.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use mux_config::StoreReachability;
use mux_model::{FastSet, NodeId, TimePoint};
use mux_placement::RelayPeer;
use mux_timer::TimerService;
use rand::RngExt;
use slog::info;

use super::{
    ReadPacing,
    apply_update::{UpdateKind, apply_update, log_skipped_items},
    evidence_task::{exchange_with_peer, exchange_with_peers},
};
use crate::{
    ClusterStore, ClusterStoreError, CopyLease, PeerRotation, RelayedUpdate, StoreRevision,
    edge_metrics::{ResultLabel, StoreCallLabel},
    edge_state::EdgeState,
    longest_stale_delay,
    relay::{RelayConnection, RelayError},
};

/// Half of the delay after the first failed call; the delay doubles with each further failure in a
/// row, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay after a failed call; a part of the time in which changes have to become active.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which a call to a peer waits for changes.
const PEER_WAIT: Duration = Duration::from_secs(1);
/// Period of the checks after the start whether a peer's copy can be read.
const STARTUP_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a node that the store rejects reads the copies of peers before it asks the store
/// again.
const STORE_RETRY_PERIOD: Duration = Duration::from_secs(2);
/// Delay after all peers' copies were found to be stale again.
const STALE_PEERS_DELAY: Duration = Duration::from_millis(500);
/// Time after which further peers are asked although those asked before have not answered yet.
const BATCH_WAIT: Duration = Duration::from_millis(100);

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

/// Result of an attempt to read the copies of one or more peers; a later variant is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PeerRead {
    /// No peer answered.
    Silent,
    /// Peers answered, and none has a recent copy.
    Stale,
    /// A peer's copy was read, and is recent.
    Fresh,
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

/// The peer whose copy this node uses.
struct CurrentPeer {
    node: NodeId,
    connection: RelayConnection,
    lease: CopyLease,
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

    /// Reads the copy of the current peer, or of the first other one that has a recent copy.
    async fn read_from_peers(&mut self) -> PeerRead {
        let mut outcome = PeerRead::Silent;
        let peers = self.edge.nodes().relay_peers();
        let now = self.edge.timer.now();
        let current = self.current_peer.take();
        if let Some(current) = current.filter(|it| !self.peers.has_nearer(now, &peers, &it.node)) {
            outcome = self.read_from_current(current).await;
            if outcome == PeerRead::Fresh {
                return outcome;
            }
        }
        let timer = self.edge.timer.clone();
        let mut asked = FastSet::default();
        let mut reads = FuturesUnordered::new();
        loop {
            let mut peers = self.edge.nodes().relay_peers();
            peers.retain(|it| !asked.contains(&it.node));
            let revision = self.revision;
            for peer in self.peers.next_batch(timer.now(), &peers) {
                asked.insert(peer.node.clone());
                reads.push(read_once(&timer, peer, revision));
            }
            if reads.is_empty() {
                return outcome;
            }
            // Peers that are cut off answer nothing; others are asked meanwhile.
            while let Ok(Some(read)) = timer.timeout(BATCH_WAIT, reads.next()).await {
                let FirstRead { node, connection, asked_at, result } = read;
                if revision.is_none() && result.is_ok() {
                    self.learn_evidence(&node, connection.as_ref()).await;
                }
                let transit = timer.now().since(asked_at);
                let (read, lease) = self.apply_relayed(&node, transit, result);
                outcome = outcome.max(read);
                if let Some(lease) = lease {
                    info!(self.edge.logger, "relay: reading the copy of a peer";
                        "peer" => node.as_str());
                    self.current_peer =
                        connection.map(|connection| CurrentPeer { node, connection, lease });
                    return outcome;
                }
            }
        }
    }

    /// Waits for changes of the current peer, and keeps it if its copy is recent. Leaves it at the latest
    /// when the copy that was read last is stale.
    async fn read_from_current(&mut self, current: CurrentPeer) -> PeerRead {
        let CurrentPeer { node, connection, lease } = current;
        let timer = self.edge.timer.clone();
        let started = timer.now();
        let time_left = lease.time_left(started);
        let mut outcome = PeerRead::Stale;
        let mut store_age = None;
        if let Some(wait) = lease.next_wait(started, PEER_WAIT) {
            let read = Box::pin(connection.read_changes(self.revision, wait));
            let result = timer.timeout(time_left, read).await;
            let result = result.unwrap_or_else(|_| Err(RelayError::no_reply_within(time_left)));
            store_age = result.as_ref().ok().and_then(|it| it.reachability.since_reply);
            // What exceeds the wait for changes is transit.
            let transit = timer.now().since(started).saturating_sub(wait);
            let (read, lease) = self.apply_relayed(&node, transit, result);
            if let Some(lease) = lease {
                self.current_peer = Some(CurrentPeer { node, connection, lease });
                return read;
            }
            outcome = read;
        } else {
            self.peers.on_stale(started, &node);
        }
        let elapsed = timer.now().since(started);
        info!(self.edge.logger, "relay: leaving the copy of a peer"; "peer" => node.as_str(),
            "outcome" => format!("{outcome:?}"),
            "store_age_ms" => store_age.map(|it| it.as_millis() as u64),
            "waited_ms" => elapsed.as_millis() as u64,
            "lease_left_ms" => time_left.as_millis() as u64,
            "revision" => self.revision.map(|it| it.revision));
        outcome
    }

    /// Reads the evidence against requests that a peer knows, before its first copy makes this node
    /// ready: the copy lacks evidence that the store has not got yet.
    async fn learn_evidence(&self, peer: &NodeId, connection: Option<&RelayConnection>) {
        let Some(connection) = connection else {
            return;
        };
        if let Err(error) = exchange_with_peer(&self.edge, connection).await {
            info!(self.edge.logger, "relay: peer did not send its evidence";
                "peer" => peer.as_str(), "cause" => error.to_string());
        }
    }

    /// Applies what a peer answered, also if its copy is not recent but newer than this node's. Returns
    /// the lease under which the copy may be used if it is recent.
    fn apply_relayed(
        &mut self,
        peer: &NodeId,
        transit: Duration,
        result: Result<RelayedUpdate, RelayError>,
    ) -> (PeerRead, Option<CopyLease>) {
        let now = self.edge.timer.now();
        let relayed = match result {
            Ok(it) => it,
            Err(error) => {
                self.count_relayed("no_reply");
                info!(self.edge.logger, "relay: peer did not answer"; "peer" => peer.as_str(),
                    "cause" => error.to_string());
                self.peers.on_silent(now, peer);
                return (PeerRead::Silent, None);
            }
        };
        let change_limit = self.edge.limits().change_limit();
        let lease = PeerRotation::lease(&relayed, self.revision, now, transit, change_limit);
        self.count_relayed(if lease.is_some() { "fresh" } else { "stale" });
        if lease.is_some() {
            let reachability = StoreReachability::from_report(&relayed.reachability, now, transit);
            self.edge.set_relayed_reachability(Some(reachability));
        } else {
            self.peers.on_stale(now, peer);
        }
        // Replies of several peers may arrive for the same position.
        if let Some(update) = relayed.update.filter(|it| self.revision < Some(it.revision)) {
            self.edge.on_store_era(update.revision.era);
            let kind = match update.is_listing {
                true => UpdateKind::Listing,
                false => UpdateKind::Changes,
            };
            self.revision = Some(update.revision);
            apply_update(&self.edge, now, kind, update.changes, update.revision);
        }
        let outcome = if lease.is_some() { PeerRead::Fresh } else { PeerRead::Stale };
        (outcome, lease)
    }

    fn count_store_call(&self, call: &'static str) {
        self.edge.metrics.store_calls.get_or_create(&StoreCallLabel { call }).inc();
    }

    fn count_relayed(&self, result: &'static str) {
        self.edge.metrics.relayed_updates.get_or_create(&ResultLabel { result }).inc();
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

/// The first reply of a peer.
struct FirstRead {
    node: NodeId,
    connection: Option<RelayConnection>,
    asked_at: TimePoint,
    result: Result<RelayedUpdate, RelayError>,
}

/// Opens a connection to a peer, and reads its changes without waiting for new ones.
async fn read_once(
    timer: &TimerService,
    peer: RelayPeer,
    after: Option<StoreRevision>,
) -> FirstRead {
    let (connection, asked_at, result) = match RelayConnection::open(timer, peer.address).await {
        Ok(connection) => {
            let asked_at = timer.now();
            let result = connection.read_changes(after, Duration::ZERO).await;
            (Some(connection), asked_at, result)
        }
        Err(error) => (None, timer.now(), Err(error)),
    };
    FirstRead { node: peer.node, connection, asked_at, result }
}
