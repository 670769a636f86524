//! Passes evidence on to other nodes at once if there is a strong sign against a request.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use mux_placement::RelayPeer;
use mux_quarantine::Evidence;
use rand::seq::SliceRandom;
use slog::info;

use crate::{edge_state::EdgeState, relay::RelayConnection};

/// Minimum time between two notices.
const NOTICE_PERIOD: Duration = Duration::from_millis(100);
/// Number of peers that get a notice. In larger fleets, these pass it on once.
const NOTICE_PEERS: usize = 16;
/// Maximum number of pieces of evidence in one notice.
const MAX_NOTICE_EVIDENCE: usize = 16;
/// Longest time for which a notice waits for the result of a probe whether this node is cut from all
/// upstreams, and lost its connections for this reason.
const REACH_WAIT: Duration = Duration::from_millis(200);

/// Passes on evidence against requests until the process ends.
///
/// Answers a caller that repeats its request at another node within the time that the store takes.
pub(crate) async fn pass_on_evidence(edge: Arc<EdgeState>) {
    loop {
        edge.quarantine.notice_due.notified().await;
        let known = edge.upstreams().len();
        if edge.reach.settle(&edge.timer, known, REACH_WAIT).await {
            continue;
        }
        let notice = edge.quarantine.ledger.update(|it| it.take_notice(MAX_NOTICE_EVIDENCE));
        if notice.is_empty() {
            continue;
        }
        if notice.len() == MAX_NOTICE_EVIDENCE {
            edge.quarantine.notice_due.notify_one();
        }
        let mut peers = edge.nodes().relay_peers();
        peers.shuffle(&mut rand::rng());
        peers.truncate(NOTICE_PEERS);
        // A peer that does not answer must not delay the next notice.
        tokio::spawn(send_notice(Arc::clone(&edge), peers, notice));
        edge.timer.sleep(NOTICE_PERIOD).await;
    }
}

/// Lets the evidence of a notice be passed on, unless its sender reaches all nodes itself.
pub(crate) fn forward_notice(edge: &EdgeState) {
    if NOTICE_PEERS < edge.nodes().relay_peers().len() {
        edge.quarantine.notice_due.notify_one();
    }
}

async fn send_notice(edge: Arc<EdgeState>, peers: Vec<RelayPeer>, notice: Vec<Evidence>) {
    let count = peers.len();
    let send = |peer: RelayPeer| {
        let (timer, notice) = (&edge.timer, notice.clone());
        async move {
            let connection = RelayConnection::open(timer, peer.address).await?;
            connection.exchange_evidence(notice).await
        }
    };
    // The evidence in the replies is shared by its own nodes. A peer that does not answer reads this
    // evidence from the store later.
    let results: Vec<_> =
        peers.into_iter().map(send).collect::<FuturesUnordered<_>>().collect().await;
    let reached = results.iter().filter(|it| it.is_ok()).count();
    if let Some(suppressed) = edge.request_log.allow(edge.timer.now()) {
        info!(edge.logger, "quarantine: evidence passed on to peers";
            "fingerprint" => notice.first().map(|it| it.key.fingerprint.to_string()),
            "evidence" => notice.len(), "peers" => count, "reached" => reached,
            "suppressed_lines" => suppressed);
    }
}
