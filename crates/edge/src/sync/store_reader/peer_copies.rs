//! Reads the copies of the store that other nodes keep.

use std::time::Duration;

use futures::{StreamExt, stream::FuturesUnordered};
use mux_config::StoreReachability;
use mux_model::{FastSet, NodeId, TimePoint};
use mux_placement::RelayPeer;
use mux_timer::TimerService;
use slog::info;

use super::StoreReader;
use crate::{
    ClusterStore, CopyLease, PeerRotation, RelayedUpdate, StoreRevision,
    edge_metrics::ResultLabel,
    relay::{RelayConnection, RelayError},
    sync::{
        apply_update::{UpdateKind, apply_update},
        evidence_task::exchange_with_peer,
    },
};

/// Time for which a call to a peer waits for changes.
const PEER_WAIT: Duration = Duration::from_secs(1);
/// Time after which further peers are asked although those asked before have not answered yet.
const BATCH_WAIT: Duration = Duration::from_millis(100);

/// Result of an attempt to read the copies of one or more peers; a later variant is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PeerRead {
    /// No peer answered.
    Silent,
    /// Peers answered, and none has a recent copy.
    Stale,
    /// A peer's copy was read, and is recent.
    Fresh,
}

/// The peer whose copy this node uses.
pub(super) struct CurrentPeer {
    node: NodeId,
    connection: RelayConnection,
    lease: CopyLease,
}

/// The first reply of a peer.
struct FirstRead {
    node: NodeId,
    connection: Option<RelayConnection>,
    asked_at: TimePoint,
    result: Result<RelayedUpdate, RelayError>,
}

impl<S: ClusterStore> StoreReader<S> {
    /// Reads the copy of the current peer, or of the first other one that has a recent copy.
    pub(super) async fn read_from_peers(&mut self) -> PeerRead {
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

    fn count_relayed(&self, result: &'static str) {
        self.edge.metrics.relayed_updates.get_or_create(&ResultLabel { result }).inc();
    }
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
