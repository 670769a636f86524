//! Selection of the peer whose copy of the store is read next.

use std::time::Duration;

use mux_model::{FastMap, NodeId, TimePoint};
use mux_placement::RelayPeer;

use super::{CopyLease, RelayedUpdate};
use crate::StoreRevision;

/// Time for which a peer that did not answer is passed over.
const SILENT_PEER_PENALTY: Duration = Duration::from_secs(3);
/// Time for which a peer with a stale copy is passed over.
const STALE_PEER_PENALTY: Duration = Duration::from_secs(1);

/// Number of peers that are asked at the same time after the current one has failed.
const PARALLEL_PEERS: usize = 3;

/// Passes over peers that did not answer or lost the store, for a while.
///
/// Answers the case that many nodes are killed, cut off or rejected by the store at the same time:
/// calls to nodes that are cut off end only by a time-out, so several peers are asked at once, and
/// a reader finds one of the remaining copies within a few seconds.
#[derive(Debug, Clone, Default)]
pub struct PeerRotation {
    passed_over: FastMap<NodeId, TimePoint>,
}

impl PeerRotation {
    /// Returns the peers to ask next: the first of `peers` that are not passed over. `peers` are in
    /// order of preference.
    pub fn next_batch(&self, now: TimePoint, peers: &[RelayPeer]) -> Vec<RelayPeer> {
        let is_due =
            |it: &&RelayPeer| self.passed_over.get(&it.node).is_none_or(|until| *until <= now);
        peers.iter().filter(is_due).take(PARALLEL_PEERS).cloned().collect()
    }

    /// Returns whether a reader should leave its current peer for a nearer one, because bytes between
    /// availability zones cost. After a start of the whole fleet, the first peers that offer a copy
    /// may be far away.
    pub fn has_nearer(&self, now: TimePoint, peers: &[RelayPeer], current: &NodeId) -> bool {
        let is_near = peers.iter().any(|it| it.node == *current && it.is_near);
        !is_near && self.next_batch(now, peers).first().is_some_and(|it| it.is_near)
    }

    /// Returns the lease under which a reader at `position` may use a peer's copy that it received at
    /// `received_at`, up to `transit` after the peer replied; `None` if the peer is behind, or its copy
    /// may lack changes that have to be in effect soon.
    pub fn lease(
        relayed: &RelayedUpdate,
        position: Option<StoreRevision>,
        received_at: TimePoint,
        transit: Duration,
        change_limit: Duration,
    ) -> Option<CopyLease> {
        let age = relayed.reachability.since_reply?;
        let lease = CopyLease::new(received_at, age, transit, change_limit);
        let is_behind = relayed.revision.is_none() || relayed.revision < position;
        (!is_behind && !lease.is_stale(received_at)).then_some(lease)
    }

    /// Records that the peer did not answer.
    pub fn on_silent(&mut self, now: TimePoint, peer: &NodeId) {
        self.pass_over(now, peer, SILENT_PEER_PENALTY);
    }

    /// Records that the peer's copy is stale.
    pub fn on_stale(&mut self, now: TimePoint, peer: &NodeId) {
        self.pass_over(now, peer, STALE_PEER_PENALTY);
    }

    fn pass_over(&mut self, now: TimePoint, peer: &NodeId, penalty: Duration) {
        self.passed_over.retain(|_, until| now < *until);
        self.passed_over.insert(peer.clone(), now + penalty);
    }
}
