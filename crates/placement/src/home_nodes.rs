//! Selection of the nodes that hold the connections to a service's upstreams.

use mux_model::{FastMap, NodeId, ServiceName};

use crate::{CandidateNode, stable_hash::stable_hash};

/// Returns the `count` home nodes of `service` by rendezvous hashing, distributed over the zones.
///
/// All nodes with the same candidates select the same homes. When a candidate joins or leaves, at
/// most one home changes.
pub fn home_nodes(
    service: &ServiceName,
    candidates: &[CandidateNode],
    count: usize,
) -> Vec<NodeId> {
    let mut ranked = rank_in_zones(service.as_str(), candidates);
    ranked.sort_unstable_by_key(|it| (it.rank, it.zone_score, it.score));
    ranked.iter().take(count).map(|it| it.candidate.node.clone()).collect()
}

/// A candidate with its rank within its zone.
pub(crate) struct RankedNode<'a> {
    pub(crate) candidate: &'a CandidateNode,
    /// Rank within the zone, from zero.
    pub(crate) rank: usize,
    /// Hash of the key and the zone.
    zone_score: u64,
    /// Hash of the key, the zone and the node.
    score: u64,
}

/// Ranks the candidates of each zone by their hash with `key`.
pub(crate) fn rank_in_zones<'a>(key: &str, candidates: &'a [CandidateNode]) -> Vec<RankedNode<'a>> {
    let mut ranked: Vec<_> = candidates.iter().map(|it| score_node(key, it)).collect();
    ranked.sort_unstable_by(|lhs, rhs| {
        (lhs.score, &lhs.candidate.node).cmp(&(rhs.score, &rhs.candidate.node))
    });
    let mut zone_counts = FastMap::default();
    for node in &mut ranked {
        let zone_count = zone_counts.entry(&node.candidate.availability_zone).or_insert(0);
        node.rank = *zone_count;
        *zone_count += 1;
    }
    ranked
}

fn score_node<'a>(key: &str, candidate: &'a CandidateNode) -> RankedNode<'a> {
    let zone = candidate.availability_zone.as_str().as_bytes();
    let node = candidate.node.as_str().as_bytes();
    RankedNode {
        candidate,
        rank: 0,
        zone_score: stable_hash(&[key.as_bytes(), zone]),
        score: stable_hash(&[key.as_bytes(), zone, node]),
    }
}
