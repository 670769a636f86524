//! This node's shares of bounds that hold over all nodes, and the search for grants of other nodes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use mux_logs::LogThrottle;
use mux_model::{FastSet, TimePoint};
use mux_placement::{NodeRegistry, RelayPeer};
use mux_sharing::{BorrowPlanner, BoundKey, NodeShares, NodeStanding, SharingNodes};
use tokio::sync::{Notify, watch};

use super::peer_links::PeerLinks;

/// Number of lifetimes of an address answer for which callers may use it.
const MAX_ANSWER_LIFETIMES: u32 = 3;
/// Time since the last reply of the store above which it may be unreachable for all nodes.
const MAX_STORE_REPLY_AGE: Duration = Duration::from_secs(3);
/// Maximum number of log lines about grants in one [`GRANT_LOG_PERIOD`].
const GRANT_LOG_LINES: u32 = 4;
/// Period to which [`GRANT_LOG_LINES`] applies.
const GRANT_LOG_PERIOD: Duration = Duration::from_secs(1);

/// What decides whether the other nodes count this one, besides the list of nodes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StandingInputs {
    /// Whether this node has an entry in the store.
    pub(crate) is_announced: bool,
    /// Time since the last reply of the store.
    pub(crate) store_reply_age: Option<Duration>,
    /// Maximum lifetime of an address answer.
    pub(crate) max_address_lifetime: Duration,
}

/// The nodes that share bounds, this node's shares, and the grants that it asks others for.
#[derive(Debug)]
pub(crate) struct GrantSharing {
    nodes: Mutex<SharingNodes>,
    shares: RwLock<NodeShares>,
    /// When the lease of this node's entry in the store ends unless it is renewed.
    announced_until: Mutex<TimePoint>,
    /// The nodes that can be asked for grants.
    lenders: RwLock<Arc<[RelayPeer]>>,
    planner: Mutex<BorrowPlanner<BoundKey>>,
    pub(super) links: PeerLinks,
    /// Wakes the task that asks for grants.
    pub(super) wakeup: Notify,
    /// Tells the requests that wait for grants that a peer was heard, or that the search has ended.
    pub(super) progress: watch::Sender<()>,
    pub(super) log: LogThrottle,
}

impl GrantSharing {
    pub(crate) fn new() -> Self {
        Self {
            nodes: Mutex::default(),
            shares: RwLock::new(NodeShares::sole_node()),
            announced_until: Mutex::new(TimePoint::ZERO),
            lenders: RwLock::new(Arc::from([])),
            planner: Mutex::default(),
            links: PeerLinks::default(),
            wakeup: Notify::new(),
            progress: watch::Sender::new(()),
            log: LogThrottle::new(GRANT_LOG_LINES, GRANT_LOG_PERIOD),
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

    /// Updates the shares and the nodes that can be asked for grants; returns the shares and the number
    /// of nodes if the shares differ from the former ones.
    pub(crate) fn refresh(
        &self,
        now: TimePoint,
        registry: &NodeRegistry,
        inputs: StandingInputs,
    ) -> Option<(NodeShares, u32)> {
        self.set_lenders(lenders(registry));
        let standing = self.standing(now, registry, inputs);
        let own = registry.own_record();
        let counts = {
            let mut sharing_nodes = lock(&self.nodes);
            let advertised =
                registry.advertised_nodes().map(|it| (&it.node, &it.availability_zone));
            let hold_time = inputs.max_address_lifetime * MAX_ANSWER_LIFETIMES;
            sharing_nodes.update(now, advertised, hold_time);
            sharing_nodes.count_by_zone(&own.node, &own.availability_zone)
        };
        let shares = NodeShares::new(&own.availability_zone, &counts, standing);
        let mut current = self.shares.write().unwrap_or_else(PoisonError::into_inner);
        if *current == shares {
            return None;
        }
        *current = shares.clone();
        Some((shares, counts.values().sum()))
    }

    /// Returns the nodes that can be asked for grants.
    pub(super) fn lenders(&self) -> Arc<[RelayPeer]> {
        Arc::clone(&self.lenders.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn planner(&self) -> MutexGuard<'_, BorrowPlanner<BoundKey>> {
        lock(&self.planner)
    }

    fn set_lenders(&self, lenders: Vec<RelayPeer>) {
        let mut current = self.lenders.write().unwrap_or_else(PoisonError::into_inner);
        if **current != *lenders {
            self.links.keep_only(&lenders);
            *current = Arc::from(lenders);
        }
    }

    /// Returns whether the other nodes count this one among those that share bounds.
    fn standing(
        &self,
        now: TimePoint,
        registry: &NodeRegistry,
        inputs: StandingInputs,
    ) -> NodeStanding {
        let has_entry = inputs.is_announced && now < *lock(&self.announced_until);
        // While the store answers no node, no node sees that entries have expired.
        let is_store_reachable = inputs.store_reply_age.is_some_and(|it| it < MAX_STORE_REPLY_AGE);
        if !registry.is_advertised() {
            NodeStanding::NotAdvertised
        } else if has_entry || !is_store_reachable {
            NodeStanding::Counted
        } else {
            NodeStanding::Hidden
        }
    }
}

/// Returns the nodes that share bounds, are not cut from upstreams, and can be called by this build.
fn lenders(registry: &NodeRegistry) -> Vec<RelayPeer> {
    let sharing: FastSet<_> =
        registry.advertised_nodes().filter(|it| !it.is_cut).map(|it| &it.node).collect();
    registry.relay_peers().into_iter().filter(|it| sharing.contains(&it.node)).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
