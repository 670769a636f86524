//! The calls that nodes make to one another.

use mux_config::ConfigUpdate;
use mux_model::RevisionNumber;

use crate::dispatch::{QueryCommand, QueryOutcome};

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait PeerProtocol {
    /// Runs a query on behalf of a caller of another node.
    async fn run_query(command: QueryCommand) -> QueryOutcome;

    /// Returns what changed in the configuration since `since`.
    async fn read_config(since: RevisionNumber) -> ConfigUpdate;

    /// Returns the configuration revision in force at the node.
    async fn read_revision() -> RevisionNumber;
}
