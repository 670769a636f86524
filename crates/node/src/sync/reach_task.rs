//! Probes upstreams when this node may be cut from all of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{
    StreamExt,
    future::{join, join_all},
    stream::FuturesUnordered,
};
use mux_model::UpstreamId;
use mux_routing::reach::{ProbeReason, ProbeResult, ReachChange};
use rand::seq::{IndexedRandom, SliceRandom};
use slog::{info, warn};

use crate::Node;

/// Number of upstreams in one probe.
const PROBED_UPSTREAMS: usize = 4;
/// Time limit for the reply of an upstream to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of peers that are asked at the same time whether they reach upstreams.
const PARALLEL_PEERS: usize = 4;
/// Maximum number of peers that are asked in one probe.
const ASKED_PEERS: usize = 12;
/// Period of the checks for a probe if no failure is recorded.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Probes upstreams whenever it is due, for as long as the node runs.
pub(crate) async fn watch_reach(node: Arc<Node>) {
    let reach = node.pool().reach();
    loop {
        let now = node.timer().now();
        let next = reach.next_probe(known_upstreams(&node).len());
        let wake_at = next.map_or(now + CHECK_PERIOD, |(at, _)| at.min(now + CHECK_PERIOD));
        match next {
            Some((at, reason)) if at <= now => probe(&node, reason).await,
            _ => tokio::select! {
                () = node.timer().sleep_until(wake_at) => {}
                () = reach.woken() => {}
            },
        }
    }
}

/// Returns which of the upstreams this node reaches, for a peer that does not.
pub(crate) async fn probe_upstreams(node: &Node, upstreams: &[UpstreamId]) -> Vec<bool> {
    if node.pool().reach().is_cut() {
        return vec![false; upstreams.len()];
    }
    let probes = upstreams.iter().take(PROBED_UPSTREAMS).map(|it| replies(node, *it));
    join_all(probes).await
}

async fn probe(node: &Arc<Node>, reason: ProbeReason) {
    let started = node.timer().now();
    let sample: Vec<_> = {
        let known = known_upstreams(node);
        known.sample(&mut rand::rng(), PROBED_UPSTREAMS).copied().collect()
    };
    let own = async { join_all(sample.iter().map(|it| replies(node, *it))).await.contains(&true) };
    let peers = async { reason != ProbeReason::Return && is_reached_by_peers(node, &sample).await };
    let result = match join(own, peers).await {
        (true, _) => ProbeResult::Reached,
        (false, true) => ProbeResult::ReachedByPeers,
        (false, false) => ProbeResult::Unreached,
    };
    let now = node.timer().now();
    let contact_age = node.pool().reach().contact_age(now).map(|it| it.as_millis() as u64);
    let change = node.pool().reach().on_probe(now, started, reason, result);
    if reason != ProbeReason::Return || change.is_some() {
        info!(node.logger(), "reach: upstreams probed"; "reason" => format!("{reason:?}"),
            "outcome" => format!("{result:?}"), "probed" => sample.len(),
            "contact_age_ms" => contact_age);
    }
    match change {
        Some(ReachChange::Cut) => {
            let last_contact = node.pool().reach().last_contact();
            node.quarantine().update(|it| it.retract_crashes_since(last_contact));
            warn!(node.logger(), "reach: this node is cut from all upstreams";
                "contact_age_ms" => contact_age);
        }
        Some(ReachChange::Returned(duration)) => {
            info!(node.logger(), "reach: this node reaches upstreams again";
                "cut_ms" => duration.as_millis() as u64);
        }
        None => {}
    }
}

fn known_upstreams(node: &Node) -> Vec<UpstreamId> {
    node.pool().report().upstreams.into_iter().map(|it| it.upstream).collect()
}

async fn replies(node: &Node, upstream: UpstreamId) -> bool {
    let status = node.timer().timeout(PROBE_TIMEOUT, node.pool().status(upstream)).await;
    matches!(status, Ok(Ok(_)))
}

async fn is_reached_by_peers(node: &Node, sample: &[UpstreamId]) -> bool {
    let mut peers: Vec<SocketAddr> = node.member_peers();
    peers.shuffle(&mut rand::rng());
    peers.truncate(ASKED_PEERS);
    for batch in peers.chunks(PARALLEL_PEERS) {
        let asked = batch.iter().map(|it| node.peers().reach_upstreams(*it, sample.to_vec()));
        let mut asked: FuturesUnordered<_> = asked.collect();
        while let Some(reached) = asked.next().await {
            // A peer that does not answer, or is of an earlier build, is one of several.
            if reached.unwrap_or_default().contains(&true) {
                return true;
            }
        }
    }
    false
}
