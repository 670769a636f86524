//! This node's shares of the rate limits that upstreams state.

use std::{
    sync::{Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use mux_model::TimePoint;
use mux_sharing::{NodeShares, NodeStanding, SharingNodes};
use slog::info;

use crate::edge_state::EdgeState;

/// Number of lifetimes of an address answer for which callers may use it.
const MAX_ANSWER_LIFETIMES: u32 = 3;
/// Time since the last reply of the store above which it may be unreachable for all nodes.
const MAX_STORE_REPLY_AGE: Duration = Duration::from_secs(3);

/// The nodes that share rate limits, and this node's shares.
#[derive(Debug)]
pub(crate) struct RateSharing {
    nodes: Mutex<SharingNodes>,
    shares: RwLock<NodeShares>,
    /// When the lease of this node's entry in the store ends unless it is renewed.
    announced_until: Mutex<TimePoint>,
}

impl RateSharing {
    pub(crate) fn new() -> Self {
        Self {
            nodes: Mutex::default(),
            shares: RwLock::new(NodeShares::sole_node()),
            announced_until: Mutex::new(TimePoint::ZERO),
        }
    }

    /// Records that the lease of this node's entry in the store ends at `until` unless it is renewed.
    pub(crate) fn set_announced_until(&self, until: TimePoint) {
        *lock(&self.announced_until) = until;
    }

    /// Returns the current shares.
    pub(crate) fn shares(&self) -> NodeShares {
        self.shares.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the shares; returns whether they differ from the former ones.
    fn replace_shares(&self, shares: &NodeShares) -> bool {
        let mut current = self.shares.write().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *current != *shares;
        *current = shares.clone();
        is_changed
    }
}

/// Updates the fractions of upstreams' rate limits that this node may use; to be called periodically,
/// and when the known nodes have changed.
pub(crate) fn refresh_rate_shares(edge: &EdgeState, now: TimePoint) {
    let standing = node_standing(edge, now);
    let hold_time = edge.limits().max_address_lifetime * MAX_ANSWER_LIFETIMES;
    let own = &edge.settings.node;
    let counts = {
        let mut sharing_nodes = lock(&edge.rate_sharing.nodes);
        let registry = edge.nodes();
        let advertised = registry.advertised_nodes().map(|it| (&it.node, &it.availability_zone));
        sharing_nodes.update(now, advertised, hold_time);
        sharing_nodes.count_by_zone(&own.node, &own.availability_zone)
    };
    let shares = NodeShares::new(&own.availability_zone, &counts, standing);
    if !edge.rate_sharing.replace_shares(&shares) {
        return;
    }
    edge.for_each_balancer(|it| it.set_rate_shares(&shares));
    let own_zone_share = shares.share(&own.availability_zone);
    edge.metrics.rate_share.set(own_zone_share);
    info!(edge.logger, "node: share of upstreams' rate limits changed";
        "own_zone_percent" => (own_zone_share * 100.0).round() as u64,
        "nodes" => counts.values().sum::<u32>(), "standing" => format!("{standing:?}"));
}

/// Returns whether the other nodes count this one among those that share limits.
fn node_standing(edge: &EdgeState, now: TimePoint) -> NodeStanding {
    let has_entry = edge.is_announced() && now < *lock(&edge.rate_sharing.announced_until);
    let reply_age = edge.store_reachability().time_since_reply(now);
    // While the store answers no node, no node sees that entries have expired.
    let is_store_reachable = reply_age.is_some_and(|it| it < MAX_STORE_REPLY_AGE);
    if !edge.nodes().is_advertised() {
        NodeStanding::NotAdvertised
    } else if has_entry || !is_store_reachable {
        NodeStanding::Counted
    } else {
        NodeStanding::Hidden
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
