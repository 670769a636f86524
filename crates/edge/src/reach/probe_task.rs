//! Probes upstreams when this node may be cut from all of them.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use mux_model::{FastSet, InstanceId, UpstreamId};
use mux_placement::RelayPeer;
use mux_routing::reach::{ProbeReason, ProbeResult, ReachChange};
use mux_upstream::{DialResult, dial};
use rand::seq::SliceRandom;
use slog::{info, warn};

use crate::{edge_metrics::ResultLabel, edge_state::EdgeState};

/// Number of upstreams in one probe.
const PROBED_UPSTREAMS: usize = 4;
/// Time limit for a connection of a probe.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of peers that are asked at the same time whether they reach upstreams.
const PARALLEL_PEERS: usize = 3;
/// Maximum number of peers that are asked in one probe.
const ASKED_PEERS: usize = 12;
/// Period of the checks for a probe if no failure is recorded.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Probes upstreams whenever it is due, until the process ends.
pub(crate) async fn watch_reach(edge: Arc<EdgeState>) {
    let mut was_advertised = true;
    loop {
        let is_advertised = edge.nodes().is_advertised();
        if is_advertised && !was_advertised {
            edge.reach.probe_at_once();
        }
        was_advertised = is_advertised;
        let now = edge.timer.now();
        let next = edge.reach.next_probe(edge.upstreams().len());
        let wake_at = next.map_or(now + CHECK_PERIOD, |(at, _)| at.min(now + CHECK_PERIOD));
        match next {
            Some((at, reason)) if at <= now => probe(&edge, reason).await,
            _ => tokio::select! {
                () = edge.timer.sleep_until(wake_at) => {}
                () = edge.reach.failed() => {}
            },
        }
    }
}

async fn probe(edge: &Arc<EdgeState>, reason: ProbeReason) {
    let started = edge.timer.now();
    let sample = probe_sample(edge);
    let reached = reach_any(edge, &sample).await;
    let (result, peer) = match reached {
        true => (ProbeResult::Reached, None),
        false if reason == ProbeReason::Return => (ProbeResult::Unreached, None),
        false => match find_reaching_peer(edge, &sample).await {
            Some(peer) => (ProbeResult::ReachedByPeers, Some(peer)),
            None => (ProbeResult::Unreached, None),
        },
    };
    let now = edge.timer.now();
    let contact_age = edge.reach.contact_age(now);
    let change = edge.reach.on_probe(now, started, reason, result);
    edge.metrics.reach_probes.get_or_create(&ResultLabel { result: result_label(result) }).inc();
    if reason != ProbeReason::Return || change.is_some() {
        info!(edge.logger, "reach: upstreams probed"; "reason" => format!("{reason:?}"),
            "outcome" => format!("{result:?}"), "probed" => sample.len(),
            "peer" => peer.as_ref().map_or("", |it| it.node.as_str()),
            "ms" => now.since(started).as_millis() as u64,
            "contact_age_ms" => contact_age.map(|it| it.as_millis() as u64));
    }
    match change {
        Some(ReachChange::Cut) => {
            edge.metrics.node_cut.set(1);
            warn!(edge.logger, "reach: this node is cut from all upstreams";
                "contact_age_ms" => contact_age.map(|it| it.as_millis() as u64));
        }
        Some(ReachChange::Returned(duration)) => {
            edge.metrics.node_cut.set(0);
            info!(edge.logger, "reach: this node reaches upstreams again";
                "cut_ms" => duration.as_millis() as u64);
        }
        None => {}
    }
}

fn result_label(result: ProbeResult) -> &'static str {
    match result {
        ProbeResult::Reached => "reached",
        ProbeResult::ReachedByPeers => "reached_by_peers",
        ProbeResult::Unreached => "unreached",
    }
}

/// Returns a random sample of upstreams of different services and, as far as possible, zones.
fn probe_sample(edge: &EdgeState) -> Vec<(InstanceId, UpstreamId)> {
    let registry = edge.upstreams();
    let mut records: Vec<_> = registry.by_service().into_values().flatten().collect();
    records.shuffle(&mut rand::rng());
    let (mut services, mut zones) = (FastSet::default(), FastSet::default());
    records.sort_by_cached_key(|it| {
        let is_known_service = !services.insert(&it.service);
        let is_known_zone = !zones.insert(&it.availability_zone);
        (is_known_service, is_known_zone)
    });
    let first = records.into_iter().take(PROBED_UPSTREAMS);
    first.map(|it| (it.instance.clone(), it.upstream)).collect()
}

/// Returns whether one of the upstreams accepts a connection.
async fn reach_any(edge: &EdgeState, sample: &[(InstanceId, UpstreamId)]) -> bool {
    let dials = sample.iter().map(|(_, it)| dial(&edge.timer, *it, DIAL_TIMEOUT));
    let mut dials: FuturesUnordered<_> = dials.collect();
    while let Some(result) = dials.next().await {
        if result == DialResult::Accepted {
            return true;
        }
    }
    false
}

/// Returns a peer that reaches one of the upstreams; `None` if none is known to.
async fn find_reaching_peer(
    edge: &Arc<EdgeState>,
    sample: &[(InstanceId, UpstreamId)],
) -> Option<RelayPeer> {
    if sample.is_empty() {
        return None;
    }
    let mut peers = edge.nodes().helpers();
    peers.truncate(ASKED_PEERS);
    for batch in peers.chunks(PARALLEL_PEERS) {
        let reaching = ask_peers(edge, batch, sample).await;
        if let Some(peer) = reaching.into_iter().next() {
            return Some(peer);
        }
    }
    None
}

/// Asks peers whether they reach upstreams; returns those that reach one.
async fn ask_peers(
    edge: &Arc<EdgeState>,
    peers: &[RelayPeer],
    sample: &[(InstanceId, UpstreamId)],
) -> Vec<RelayPeer> {
    let instances: Vec<_> = sample.iter().map(|(it, _)| it.clone()).collect();
    let asked = peers.iter().map(|peer| {
        let instances = instances.clone();
        async move {
            let reached = edge.helpers.reach_upstreams(edge, peer, instances).await;
            reached.unwrap_or_default().contains(&true).then(|| peer.clone())
        }
    });
    join_all(asked).await.into_iter().flatten().collect()
}

/// Returns which of the instances this node reaches, for a peer that does not.
pub(crate) async fn probe_instances(edge: &EdgeState, instances: &[InstanceId]) -> Vec<bool> {
    let probes = instances.iter().take(PROBED_UPSTREAMS).map(|instance| async move {
        let Some(upstream) = edge.upstreams().address(instance) else {
            return false;
        };
        dial(&edge.timer, upstream, DIAL_TIMEOUT).await == DialResult::Accepted
    });
    join_all(probes).await
}
