//! Shares the evidence against requests that crash upstreams with other nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use mux_model::{FastSet, TimePoint};
use mux_quarantine::Evidence;
use rand::seq::IndexedRandom;

use crate::{Node, peer::MAX_EXCHANGED_EVIDENCE};

/// Period of the checks for evidence to share.
const SHARING_PERIOD: Duration = Duration::from_millis(250);
/// Period of the exchanges with one random member, by which nodes that start or were cut off learn what
/// they missed.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(2);

/// Sends new evidence to the home nodes of its service, and exchanges evidence with random members, until
/// the process ends.
pub(crate) async fn share_evidence(node: Arc<Node>) {
    let mut ticks = node.timer().subscribe(SHARING_PERIOD);
    let mut next_exchange_at = TimePoint::ZERO;
    loop {
        let now = ticks.next().await;
        node.quarantine().update(|it| it.expire(now));
        share_changes(&node, now).await;
        if next_exchange_at <= now {
            next_exchange_at = now + EXCHANGE_PERIOD;
            let peer = node.member_peers().choose(&mut rand::rng()).copied();
            if let Some(peer) = peer {
                exchange(&node, peer).await;
            }
        }
    }
}

async fn share_changes(node: &Node, now: TimePoint) {
    if node.quarantine().is_empty() {
        return;
    }
    let (update, notice) = node.quarantine().update(|it| {
        let update = it.pending_update(now, MAX_EXCHANGED_EVIDENCE);
        (update, it.take_notice(MAX_EXCHANGED_EVIDENCE))
    });
    let writes = update.writes.iter().map(|(it, _)| it);
    let evidence: FastSet<&Evidence> = writes.chain(&notice).collect();
    if evidence.is_empty() && update.withdrawals.is_empty() {
        return;
    }
    let services: FastSet<_> = evidence.iter().map(|it| &it.service).collect();
    let mut peers: Vec<_> = services.into_iter().flat_map(|it| node.home_peers(it)).collect();
    if !update.withdrawals.is_empty() {
        peers = node.member_peers();
    }
    peers.sort_unstable();
    peers.dedup();
    let evidence: Vec<_> = evidence.into_iter().cloned().collect();
    let calls = peers.into_iter().map(|peer| {
        node.peers().exchange_evidence(peer, evidence.clone(), update.withdrawals.clone())
    });
    // A peer that does not reply gets the evidence by a later exchange.
    join_all(calls).await;
    node.quarantine().update(|it| it.on_update_stored(now, &update));
}

async fn exchange(node: &Node, peer: SocketAddr) {
    let own = node.quarantine().update(|it| it.summary(MAX_EXCHANGED_EVIDENCE));
    let Ok(received) = node.peers().exchange_evidence(peer, own, Vec::new()).await else {
        return;
    };
    let now = node.timer().now();
    for evidence in received.into_iter().take(MAX_EXCHANGED_EVIDENCE) {
        node.quarantine().update(|it| it.on_stored(now, evidence));
    }
}
