//! RPC interface between nodes.

use mux_config::ConfigUpdate;
use mux_model::{RevisionNumber, UpstreamId};
use mux_quarantine::{Evidence, EvidenceKey};

use crate::dispatch::{QueryCommand, QueryOutcome};

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait PeerProtocol {
    /// Runs a query that another node received from a caller.
    async fn run_query(command: QueryCommand) -> QueryOutcome;

    /// Returns the changes to the configuration since revision `since`.
    async fn read_config(since: RevisionNumber) -> ConfigUpdate;

    /// Returns the configuration revision in force at the node.
    async fn read_revision() -> RevisionNumber;

    /// Records evidence against requests, drops withdrawn evidence, and returns that of the node.
    async fn exchange_evidence(
        evidence: Vec<Evidence>,
        withdrawn: Vec<EvidenceKey>,
    ) -> Vec<Evidence>;

    /// Returns which of the upstreams the node reaches.
    async fn reach_upstreams(upstreams: Vec<UpstreamId>) -> Vec<bool>;
}
