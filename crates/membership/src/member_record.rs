//! Member records exchanged between nodes.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, NodeId, NodeIncarnation, RevisionNumber};
use serde::{Deserialize, Serialize};

/// State of a member.
///
/// Among updates of the same incarnation, a later variant overrides an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub enum MemberState {
    /// The member answers probes.
    #[default]
    Alive,
    /// The member announced a planned stop and is finishing its work.
    Leaving,
    /// A node's probe of the member failed, and the member has not refuted the suspicion.
    Suspect,
    /// The member failed or left the cluster.
    Dead,
}

/// Name and addresses of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address for gossip (UDP) and for calls between nodes (TCP).
    pub peer: SocketAddr,
    /// Address for queries from callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// Replicated record of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name and addresses.
    pub identity: NodeIdentity,
    /// Identifies the run of the node's process; constant for the lifetime of the process.
    pub run: NodeIncarnation,
    /// Starts as `run` and rises each time the member refutes an update about itself.
    pub incarnation: NodeIncarnation,
    /// State of the member.
    pub state: MemberState,
    /// Configuration revision that the member last reported as applied.
    pub revision: RevisionNumber,
    /// Number of queries in flight that the member last reported.
    pub load: u16,
    /// Sequence number of the status report that `revision` and `load` come from.
    #[serde(rename = "report")]
    pub report_number: u32,
}

impl MemberRecord {
    /// Creates the initial record of a node's run, in the state `Alive`.
    pub fn starting(identity: NodeIdentity, run: NodeIncarnation) -> Self {
        Self {
            identity,
            run,
            incarnation: run,
            state: MemberState::Alive,
            revision: RevisionNumber::default(),
            load: 0,
            report_number: 0,
        }
    }

    /// Returns the name of the member.
    pub fn node(&self) -> &NodeId {
        &self.identity.node
    }

    /// Returns whether new work may be assigned to the member.
    pub fn is_available(&self) -> bool {
        self.state == MemberState::Alive
    }
}
