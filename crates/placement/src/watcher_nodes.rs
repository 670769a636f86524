//! Selection of the nodes that watch the key-value service.

use mux_model::NodeId;

use crate::{CandidateNode, home_nodes::rank_in_zones};

const WATCHERS_PER_ZONE: usize = 2;
/// Key of the hash that ranks the nodes of a zone.
const HASH_KEY: &str = "watchers";

/// Returns the nodes that watch the key-value service for changes: up to two in each zone.
///
/// All nodes with the same members select the same watchers, so that the number of calls to the
/// key-value service depends on the number of zones and not on the number of nodes.
pub fn watcher_nodes(members: &[CandidateNode]) -> Vec<NodeId> {
    let ranked = rank_in_zones(HASH_KEY, members);
    let watchers = ranked.iter().filter(|it| it.rank < WATCHERS_PER_ZONE);
    watchers.map(|it| it.candidate.node.clone()).collect()
}
