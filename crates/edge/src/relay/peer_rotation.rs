//! Selection of the peer whose copy of the store is read next.

use std::time::Duration;

use mux_model::{FastMap, NodeId, TimePoint};
use mux_placement::RelayPeer;

use super::RelayedUpdate;
use crate::StoreRevision;

/// Age of the store's last reply above which a peer's copy counts as stale. Nodes that read the
/// store renew their leases every two seconds at the latest.
const MAX_COPY_AGE: Duration = Duration::from_millis(2_500);
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

    /// Returns whether a reader at `position` can serve from a peer's copy: the peer is not behind,
    /// and heard the store recently.
    pub fn is_fresh(relayed: &RelayedUpdate, position: Option<StoreRevision>) -> bool {
        let is_recent = relayed.reachability.since_reply.is_some_and(|it| it <= MAX_COPY_AGE);
        is_recent && relayed.revision.is_some() && position <= relayed.revision
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
