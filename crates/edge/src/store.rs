//! What a node reads from the platform's store and writes there.

use std::{fmt, time::Duration};

use mux_config::traffic::TrafficConfig;
use mux_model::{InstanceId, NodeId, ServiceName};
use mux_placement::NodeRecord;
use mux_routing::balancer::UpstreamRecord;

/// Name of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// The operators' configuration.
    Config,
    /// An upstream's entry.
    Upstream(InstanceId),
    /// A node's entry.
    Node(NodeId),
    /// The services for which a node has spent much of its part of the retry budget.
    SpentBudget(NodeId),
}

/// A decoded entry.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEntry {
    /// The operators' configuration.
    Config(TrafficConfig),
    /// An upstream's entry.
    Upstream(UpstreamRecord),
    /// A node's entry.
    Node(NodeRecord),
    /// The services for which a node has spent much of its part of the retry budget.
    SpentBudget {
        /// The node.
        node: NodeId,
        /// The services.
        services: Vec<ServiceName>,
    },
}

/// One thing that a listing or a watch says.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChange {
    /// The entry has this content.
    Written(StoreEntry),
    /// The entry is gone.
    Removed(StoreKey),
    /// The entry cannot be used as it is.
    Malformed {
        /// Name of the entry.
        key: StoreKey,
        /// What is wrong with it.
        reason: String,
    },
}

/// A place in the store's history, from which a watch goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision(pub u64);

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLease(pub u64);

/// What was read of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreUpdate {
    /// Entries in the order of the store.
    pub changes: Vec<StoreChange>,
    /// Where a watch goes on.
    pub revision: StoreRevision,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterStoreError {
    /// The history after the mark is no longer kept; all has to be read again.
    HistoryCompacted,
    /// The lease has ended.
    LeaseExpired,
    /// The store refused the call; nothing was done.
    Refused(String),
    /// No usable answer came; a write may have taken effect or may do so later.
    NoAnswer(String),
}

impl fmt::Display for ClusterStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryCompacted => f.write_str("the store no longer keeps this history"),
            Self::LeaseExpired => f.write_str("the lease has ended"),
            Self::Refused(why) => write!(f, "the store refused the call: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer from the store: {why}"),
        }
    }
}

impl std::error::Error for ClusterStoreError {}

/// The platform's store, as far as nodes use it. Each call is bounded in time.
pub trait ClusterStore: Clone + Send + Sync + 'static {
    /// Reads all entries, and where a watch goes on so that it misses nothing.
    fn list(&self) -> impl Future<Output = Result<StoreUpdate, ClusterStoreError>> + Send;

    /// Waits up to `wait` for changes after `revision`; none may have come.
    fn watch(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreUpdate, ClusterStoreError>> + Send;

    /// Asks for a lease that ends `lifetime` after its last renewal.
    fn grant(
        &self,
        lifetime: Duration,
    ) -> impl Future<Output = Result<StoreLease, ClusterStoreError>> + Send;

    /// Renews a lease.
    fn renew(
        &self,
        lease: StoreLease,
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Ends a lease, and with it the entries written under it.
    fn end(&self, lease: StoreLease) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Writes the entry of a node under a lease.
    fn announce(
        &self,
        record: &NodeRecord,
        lease: StoreLease,
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Writes for which services a node has spent much of its part of the retry budget, so that a
    /// process that takes its place knows; none removes the entry.
    fn mark_spent(
        &self,
        node: &NodeId,
        services: &[ServiceName],
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;
}
