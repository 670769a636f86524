//! What the nodes tell one another about a member.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, NodeId, NodeIncarnation, RevisionNumber};
use serde::{Deserialize, Serialize};

/// Whether a member takes part; at one incarnation, a later variant replaces an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub enum MemberState {
    /// The member answers probes.
    #[default]
    Alive,
    /// The member announced a planned stop and finishes its work.
    Leaving,
    /// The member did not answer a probe and has not refuted that yet.
    Suspect,
    /// The member is removed.
    Dead,
}

/// Name and addresses of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Name.
    pub node: NodeId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address for gossip (UDP) and calls between nodes (TCP).
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// One member as the nodes know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name and addresses.
    pub identity: NodeIdentity,
    /// The run of the node's process; constant for as long as the process lives.
    pub run: NodeIncarnation,
    /// Starts as `run` and rises each time the member refutes a claim about itself.
    pub incarnation: NodeIncarnation,
    /// State.
    pub state: MemberState,
    /// Configuration revision that the member last reported as applied.
    pub revision: RevisionNumber,
    /// Queries in flight that the member last reported.
    pub load: u16,
    /// Number of the member's report that `revision` and `load` are from.
    #[serde(rename = "report")]
    pub report_number: u32,
}

impl MemberRecord {
    /// Creates the record of a node that starts now.
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

    /// Returns the member's name.
    pub fn node(&self) -> &NodeId {
        &self.identity.node
    }

    /// Returns whether the member is to get new work.
    pub fn is_available(&self) -> bool {
        self.state == MemberState::Alive
    }
}
