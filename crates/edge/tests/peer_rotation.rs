//! Selection of the peer whose copy of the store is read.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_config::ReachabilityReport;
use mux_edge::{PeerRotation, RelayedUpdate, StoreEra, StoreRevision};
use mux_model::{NodeId, TimePoint};
use mux_placement::RelayPeer;

/// Time within which the operators' changes have to take effect.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

fn peers(count: u16) -> Vec<RelayPeer> {
    let peer = |idx| RelayPeer {
        node: NodeId::from(format!("node-{idx}")),
        address: SocketAddr::from(([10, 0, 0, 1], idx)),
        is_near: idx < 3,
        is_preferred: false,
    };
    (0..count).map(peer).collect()
}

fn at(revision: u64) -> StoreRevision {
    StoreRevision { era: StoreEra(1), revision }
}

fn reply(since_reply_ms: Option<u64>, revision: Option<u64>) -> RelayedUpdate {
    let reachability = ReachabilityReport {
        since_reply: since_reply_ms.map(Duration::from_millis),
        since_restore: None,
        since_recovery: None,
        is_unreachable: false,
    };
    RelayedUpdate { update: None, revision: revision.map(at), reachability }
}

#[gtest]
fn copy_is_used_only_if_recent_and_not_behind() {
    let position = Some(at(10));
    let now = TimePoint::from_millis(1_000);
    for (since_reply_ms, revision, expected) in [
        (Some(400), Some(10), true),
        (Some(400), Some(12), true),
        (Some(400), Some(9), false),
        (Some(400), None, false),
        (Some(2_500), Some(12), false),
        (Some(9_000), Some(12), false),
        (None, Some(12), false),
    ] {
        let reply = reply(since_reply_ms, revision);

        let lease = PeerRotation::lease(&reply, position, now, Duration::ZERO, CHANGE_LIMIT);

        expect_that!(lease.is_some(), eq(expected), "{reply:?}");
    }
}

/// Replays the loss of a third of the peers, the first ones in the order of preference: the others
/// are asked after a single time-out, and the first are tried again later.
#[gtest]
fn lost_peers_are_passed_over_for_a_while() {
    let peers = peers(9);
    let mut rotation = PeerRotation::default();
    let start = TimePoint::from_millis(1_000);
    expect_that!(rotation.next_batch(start, &peers), eq(&peers[..3]));
    for peer in &peers[..3] {
        rotation.on_silent(start, &peer.node);
    }

    expect_that!(rotation.next_batch(start, &peers), eq(&peers[3..6]));
    let later = start + Duration::from_secs(10);
    expect_that!(rotation.next_batch(later, &peers), eq(&peers[..3]));
}

#[gtest]
fn no_peer_is_left_while_all_copies_are_stale() {
    let peers = peers(2);
    let mut rotation = PeerRotation::default();
    let now = TimePoint::from_millis(1_000);

    for peer in &peers {
        rotation.on_stale(now, &peer.node);
    }

    expect_that!(rotation.next_batch(now, &peers), is_empty());
    let later = now + Duration::from_secs(2);
    expect_that!(rotation.next_batch(later, &peers), eq(&peers));
}

/// A reader that started before the nodes of its zone had announced themselves must not stay with a
/// distant peer, and must not leave it for peers that do not answer.
#[gtest]
fn distant_peer_is_left_for_a_near_one() {
    let peers = peers(9);
    let mut rotation = PeerRotation::default();
    let now = TimePoint::from_millis(1_000);

    expect_that!(rotation.has_nearer(now, &peers, &peers[5].node), eq(true));
    expect_that!(rotation.has_nearer(now, &peers, &peers[1].node), eq(false));
    expect_that!(rotation.has_nearer(now, &peers[3..], &peers[5].node), eq(false));
    for peer in &peers[..3] {
        rotation.on_silent(now, &peer.node);
    }
    expect_that!(rotation.has_nearer(now, &peers, &peers[5].node), eq(false));
}
