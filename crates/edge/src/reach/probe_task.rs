//! Probes upstreams when this node may be cut from all of them.

use std::{pin::pin, sync::Arc, time::Duration};

use futures::{
    Stream, StreamExt,
    future::{Either, join, join_all, select},
    stream::FuturesUnordered,
};
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
const PARALLEL_PEERS: usize = 4;
/// Maximum number of peers that are asked in one probe.
const ASKED_PEERS: usize = 12;
/// Time for which a probe waits for its own connections before it asks peers.
const PEER_QUESTION_DELAY: Duration = Duration::from_millis(50);
/// Period of the checks for a probe if no failure is recorded.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Probes upstreams whenever it is due, until the process ends.
pub(crate) async fn watch_reach(edge: Arc<EdgeState>) {
    let mut standing = ProbedStanding::default();
    loop {
        if standing.needs_probe(&edge) {
            edge.reach.probe_at_once();
        }
        let now = edge.timer.now();
        let next = edge.reach.next_probe(edge.upstreams().len());
        let wake_at = next.map_or(now + CHECK_PERIOD, |(at, _)| at.min(now + CHECK_PERIOD));
        match next {
            Some((at, reason)) if at <= now => probe(&edge, reason).await,
            _ => tokio::select! {
                () = edge.timer.sleep_until(wake_at) => {}
                () = edge.reach.woken() => {}
            },
        }
    }
}

/// What a node knew about itself and others when it last probed without a failure.
#[derive(Debug, Default)]
struct ProbedStanding {
    is_needed: bool,
    cut_nodes: usize,
}

impl ProbedStanding {
    /// Returns whether callers may be directed to this node soon, so that it has to know whether it
    /// reaches upstreams: it has become one of the best in its zone, or others are cut, mostly for a
    /// common cause.
    fn needs_probe(&mut self, edge: &EdgeState) -> bool {
        let nodes = edge.nodes();
        let is_needed = nodes.is_advertised() || nodes.must_announce(edge.is_announced());
        let cut_nodes = nodes.cut_count();
        let is_new = is_needed && (!self.is_needed || self.cut_nodes < cut_nodes);
        *self = Self { is_needed, cut_nodes };
        is_new && 0 < cut_nodes
    }
}

async fn probe(edge: &Arc<EdgeState>, reason: ProbeReason) {
    let started = edge.timer.now();
    let sample = probe_sample(edge);
    let (result, peer) = match reason {
        ProbeReason::Return => {
            let (reached, ()) = join(reach_any(edge, &sample), verify_helpers(edge, &sample)).await;
            (if reached { ProbeResult::Reached } else { ProbeResult::Unreached }, None)
        }
        _ => compare_with_peers(edge, &sample).await,
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
            let last_contact = edge.reach.last_contact();
            edge.quarantine.ledger.update(|it| it.retract_crashes_since(last_contact));
            set_cut(edge, true);
            warn!(edge.logger, "reach: this node is cut from all upstreams";
                "contact_age_ms" => contact_age.map(|it| it.as_millis() as u64));
        }
        Some(ReachChange::Returned(duration)) => {
            edge.metrics.node_cut.set(0);
            edge.for_each_balancer(|it| it.on_reach_returned());
            set_cut(edge, false);
            info!(edge.logger, "reach: this node reaches upstreams again";
                "cut_ms" => duration.as_millis() as u64);
        }
        None => {}
    }
}

/// Lets the other nodes and callers know whether this node is cut from all upstreams.
fn set_cut(edge: &EdgeState, is_cut: bool) {
    edge.nodes().set_cut(is_cut);
    edge.refresh_balancers(edge.timer.now());
    edge.record_changed.notify_one();
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

/// Finds out whether this node or only others reach upstreams.
async fn compare_with_peers(
    edge: &Arc<EdgeState>,
    sample: &[(InstanceId, UpstreamId)],
) -> (ProbeResult, Option<RelayPeer>) {
    let own = reach_any(edge, sample);
    let peers = async {
        edge.timer.sleep(PEER_QUESTION_DELAY).await;
        find_reaching_peer(edge, sample).await
    };
    let (own, peers) = (pin!(own), pin!(peers));
    match select(own, peers).await {
        Either::Left((true, _)) => (ProbeResult::Reached, None),
        Either::Left((false, peers)) => match peers.await {
            Some(peer) => (ProbeResult::ReachedByPeers, Some(peer)),
            None => (ProbeResult::Unreached, None),
        },
        Either::Right((peer, own)) => match (own.await, peer) {
            (true, _) => (ProbeResult::Reached, None),
            (false, Some(peer)) => (ProbeResult::ReachedByPeers, Some(peer)),
            (false, None) => (ProbeResult::Unreached, None),
        },
    }
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
        let mut answers = ask_peers(edge, batch, sample);
        while let Some(peer) = answers.next().await {
            if peer.is_some() {
                return peer;
            }
        }
    }
    None
}

/// Finds out which further helpers reach upstreams, so that the load is spread.
async fn verify_helpers(edge: &Arc<EdgeState>, sample: &[(InstanceId, UpstreamId)]) {
    let helpers = edge.nodes().helpers();
    let mut unverified = edge.helpers.unverified(edge.timer.now(), &helpers);
    unverified.truncate(PARALLEL_PEERS);
    ask_peers(edge, &unverified, sample).collect::<Vec<_>>().await;
}

/// Asks peers whether they reach upstreams; yields each one that does, and `None` for each other.
fn ask_peers(
    edge: &Arc<EdgeState>,
    peers: &[RelayPeer],
    sample: &[(InstanceId, UpstreamId)],
) -> impl Stream<Item = Option<RelayPeer>> + Unpin {
    let instances: Vec<_> = sample.iter().map(|(it, _)| it.clone()).collect();
    let asked = peers.iter().map(|peer| {
        let (edge, peer, instances) = (Arc::clone(edge), peer.clone(), instances.clone());
        async move {
            let reached = edge.helpers.reach_upstreams(&edge, &peer, instances).await;
            reached.unwrap_or_default().contains(&true).then_some(peer)
        }
    });
    asked.collect::<FuturesUnordered<_>>()
}

/// Returns which of the instances this node reaches, for a peer that does not.
pub(crate) async fn probe_instances(edge: &EdgeState, instances: &[InstanceId]) -> Vec<bool> {
    if edge.reach.is_cut() {
        return vec![false; instances.len()];
    }
    let probes = instances.iter().take(PROBED_UPSTREAMS).map(|instance| async move {
        let Some(upstream) = edge.upstreams().address(instance) else {
            return false;
        };
        dial(&edge.timer, upstream, DIAL_TIMEOUT).await == DialResult::Accepted
    });
    join_all(probes).await
}
