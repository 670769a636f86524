//! Interface to the platform's store: the entries that a node reads and writes.

use std::{fmt, time::Duration};

use mux_config::traffic::TrafficConfig;
use mux_model::{AvailabilityZone, InstanceId, NodeId, ServiceName};
use mux_placement::NodeRecord;
use mux_quarantine::{Evidence, EvidenceKey};
use mux_routing::balancer::UpstreamRecord;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Key of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreKey {
    /// The operators' configuration.
    Config,
    /// The entry of an upstream.
    Upstream(InstanceId),
    /// The entry of a node.
    Node(NodeId),
    /// The services for which a node has spent a large part of its share of the retry budget.
    SpentBudget(NodeId),
    /// Evidence that a request crashes upstreams.
    Evidence(EvidenceKey),
    /// The order to send nothing to the upstreams of an availability zone.
    Evacuation(AvailabilityZone),
}

/// A decoded entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreEntry {
    /// The operators' configuration.
    Config(TrafficConfig),
    /// The entry of an upstream.
    Upstream(UpstreamRecord),
    /// The entry of a node.
    Node(NodeRecord),
    /// The services for which a node has spent a large part of its share of the retry budget.
    SpentBudget {
        /// The node.
        node: NodeId,
        /// The services.
        services: Vec<ServiceName>,
    },
    /// Evidence that a request crashes upstreams.
    Evidence(Evidence),
    /// The order to send nothing to the upstreams of an availability zone.
    Evacuation {
        /// The zone.
        zone: AvailabilityZone,
        /// Revision of the store at which the order was written.
        revision: u64,
    },
}

/// The state of one entry as returned by a listing or a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreChange {
    /// The entry was written with this content.
    Written(StoreEntry),
    /// The entry was removed.
    Removed(StoreKey),
    /// The entry cannot be decoded.
    Malformed {
        /// Key of the entry.
        key: StoreKey,
        /// The decoding error.
        reason: String,
    },
}

/// Number of times that the store was restored from an older copy.
///
/// Within an era, the store loses nothing that it has acknowledged. A restored store lacks the latest
/// writes and leases of the era before, and assigns their revisions and lease ids again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

/// A position in the store's history, from which a watch can resume. Every position of a later era
/// is after all those of an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The era in which the revision was assigned.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: u64,
}

/// A lease granted by the store; in a later era, its id may belong to another lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreLease {
    /// The era in which the lease was granted.
    pub era: StoreEra,
    /// The id within the era.
    pub id: u64,
}

/// The result of a listing or a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Changes in the order of the store.
    pub changes: Vec<StoreChange>,
    /// Number of items that were skipped, as not even their keys can be read.
    pub skipped_items: usize,
    /// The position from which the next watch resumes.
    pub revision: StoreRevision,
}

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterStoreError {
    /// The store has compacted the history after the revision; all entries have to be listed again.
    HistoryCompacted,
    /// The store was restored from an older copy; the position or lease of the call belongs to an
    /// earlier era, and all entries have to be listed again.
    StoreRestored,
    /// The lease has expired or was revoked.
    LeaseExpired,
    /// The call was rejected or could not be sent; it had no effect.
    NotExecuted(String),
    /// No valid reply was received; a write may have taken effect or may still do so.
    NoValidReply(String),
}

impl fmt::Display for ClusterStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryCompacted => f.write_str("the store has compacted the requested history"),
            Self::StoreRestored => f.write_str("the store was restored from an older copy"),
            Self::LeaseExpired => f.write_str("the lease has expired"),
            Self::NotExecuted(why) => write!(f, "the call was not executed: {why}"),
            Self::NoValidReply(why) => write!(f, "no valid reply from the store: {why}"),
        }
    }
}

impl std::error::Error for ClusterStoreError {}

/// The operations of the platform's store that nodes use. Each call has a time-out.
pub trait ClusterStore: Clone + Send + Sync + 'static {
    /// Returns the latest era that a reply of the store has shown; `None` before the first reply.
    fn subscribe_era(&self) -> watch::Receiver<Option<StoreEra>>;

    /// Reads all entries; a watch from the returned revision misses no later change.
    fn list(&self) -> impl Future<Output = Result<StoreUpdate, ClusterStoreError>> + Send;

    /// Reads the entries of all nodes. The result may be seconds old, and the call costs a tenth of
    /// [`Self::list`].
    fn list_nodes(&self)
    -> impl Future<Output = Result<Vec<NodeRecord>, ClusterStoreError>> + Send;

    /// Waits up to `wait` for changes after `revision`; the result may be empty.
    fn watch(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreUpdate, ClusterStoreError>> + Send;

    /// Requests a lease that expires `lifetime` after its last renewal.
    fn grant(
        &self,
        lifetime: Duration,
    ) -> impl Future<Output = Result<StoreLease, ClusterStoreError>> + Send;

    /// Renews a lease.
    fn renew(
        &self,
        lease: StoreLease,
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Revokes a lease, which removes the entries written under it.
    fn revoke(
        &self,
        lease: StoreLease,
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Writes the entry of a node under a lease.
    fn announce(
        &self,
        record: &NodeRecord,
        lease: StoreLease,
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Writes the services for which a node has spent a large part of its share of the retry
    /// budget, to be read by the next process of this node; an empty list removes the entry.
    fn mark_spent(
        &self,
        node: &NodeId,
        services: &[ServiceName],
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Writes evidence against requests and removes other evidence, all or nothing.
    fn update_evidence(
        &self,
        written: &[&Evidence],
        removed: &[EvidenceKey],
    ) -> impl Future<Output = Result<(), ClusterStoreError>> + Send;

    /// Writes the evidence of a trial unless another node has done so; returns whether it was written.
    fn claim_trial(
        &self,
        trial: &Evidence,
    ) -> impl Future<Output = Result<bool, ClusterStoreError>> + Send;
}
