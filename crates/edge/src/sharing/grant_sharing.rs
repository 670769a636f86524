//! This node's shares of bounds that hold over all nodes, and the search for grants of other nodes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use mux_logs::LogThrottle;
use mux_model::{FastSet, TimePoint};
use mux_placement::{NodeRegistry, RelayPeer};
use mux_sharing::{BorrowPlanner, BoundKey, NodeShares, NodeVisibility, SharingNodes};
use tokio::sync::{Notify, watch};

use super::peer_links::PeerLinks;

/// Number of lifetimes of an address answer for which callers may use it.
const MAX_ANSWER_LIFETIMES: u32 = 3;
/// Maximum number of log lines about grants in one [`GRANT_LOG_PERIOD`].
const GRANT_LOG_LINES: u32 = 4;
/// Period to which [`GRANT_LOG_LINES`] applies.
const GRANT_LOG_PERIOD: Duration = Duration::from_secs(1);

/// What decides whether the other nodes count this one, besides the list of nodes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StandingInputs {
    /// Time since the last reply of the store.
    pub(crate) store_reply_age: Option<Duration>,
    /// Maximum lifetime of an address answer.
    pub(crate) max_address_lifetime: Duration,
}

impl StandingInputs {
    /// Returns the time for which nodes count one that is no longer advertised.
    fn hold_time(&self) -> Duration {
        self.max_address_lifetime * MAX_ANSWER_LIFETIMES
    }
}

/// The nodes that share bounds, this node's shares, and the grants that it asks others for.
#[derive(Debug)]
pub(crate) struct GrantSharing {
    nodes: Mutex<SharingNodes>,
    shares: RwLock<NodeShares>,
    /// Until when the store shows this node's entry unless its lease is renewed; `None` if it has not
    /// shown it to this process.
    listed_until: Mutex<Option<TimePoint>>,
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
            listed_until: Mutex::default(),
            lenders: RwLock::new(Arc::from([])),
            planner: Mutex::default(),
            links: PeerLinks::default(),
            wakeup: Notify::new(),
            progress: watch::Sender::new(()),
            log: LogThrottle::new(GRANT_LOG_LINES, GRANT_LOG_PERIOD),
        }
    }

    /// Records that the store shows this node's entry until `until` at least.
    pub(crate) fn on_listed(&self, until: TimePoint) {
        let mut listed_until = lock(&self.listed_until);
        *listed_until = (*listed_until).max(Some(until));
    }

    /// Forgets when the store showed this node's entry, because the clock stood still meanwhile.
    pub(crate) fn on_pause(&self) {
        *lock(&self.listed_until) = None;
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
        let view = NodeVisibility {
            is_advertised: registry.is_advertised(),
            listed_until: *lock(&self.listed_until),
            hold_time: inputs.hold_time(),
            store_reply_age: inputs.store_reply_age,
        };
        let standing = view.standing(now);
        let own = registry.own_record();
        let counts = {
            let mut sharing_nodes = lock(&self.nodes);
            let advertised =
                registry.advertised_nodes().map(|it| (&it.node, &it.availability_zone));
            sharing_nodes.update(now, advertised, inputs.hold_time());
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
