//! RPC interface between nodes.

use mux_config::ReachabilityReport;
use mux_model::InstanceId;
use mux_quarantine::Evidence;
use mux_sharing::BoundKey;
use serde::{Deserialize, Serialize};

use super::{
    MirrorUpdate,
    forwarded_request::{ForwardedAnswer, ForwardedRequest},
};
use crate::StoreRevision;

/// A part of a node's copy of the store, with the age of the copy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedUpdate {
    /// The changes; `None` if the node's copy is not newer than the reader's.
    pub update: Option<MirrorUpdate>,
    /// Position of the node's copy; `None` before its first listing.
    pub revision: Option<StoreRevision>,
    /// What the node knows about the store; the time since its last reply is that for which changes may
    /// be missing in the copy.
    pub reachability: ReachabilityReport,
}

/// A question for grants of one bound.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct GrantRequest {
    pub(crate) key: BoundKey,
    /// Number of grants.
    pub(crate) wanted: u32,
    /// The rate limit that the upstream stated to the asking node, in requests per second; `None` for
    /// other bounds.
    pub(crate) stated_rate: Option<f64>,
}

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait RelayProtocol {
    /// Waits up to `wait_ms` until the node knows a revision after `after`, and returns the changes
    /// since then; without `after`, returns all entries at once.
    async fn read_changes(after: Option<StoreRevision>, wait_ms: u64) -> RelayedUpdate;

    /// Records evidence against requests, and returns that of the node.
    async fn exchange_evidence(evidence: Vec<Evidence>) -> Vec<Evidence>;

    /// Returns which of the upstreams the node reaches. Without any, shows that the node answers.
    async fn reach_upstreams(instances: Vec<InstanceId>) -> Vec<bool>;

    /// Serves a caller's request for a node that is cut from all upstreams. The call is cancelled if
    /// the caller leaves.
    async fn run_request(request: ForwardedRequest) -> ForwardedAnswer;

    /// Gives up unneeded grants of bounds that hold over all nodes; returns how many of each, in the
    /// order of the requests. A reply that is lost loses them.
    async fn borrow_grants(requests: Vec<GrantRequest>) -> Vec<u32>;
}
