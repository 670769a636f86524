//! Actions and events produced by the gossip machine.

use std::net::SocketAddr;

use mux_model::{NodeId, RevisionNumber};

use crate::{MemberRecord, UpstreamDrainState};

/// Action for the driver of the machine to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Datagram payload.
        bytes: Vec<u8>,
    },
    /// Deliver an event to the rest of the node.
    Event(GossipEvent),
}

/// Change of the membership or of the state disseminated by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipEvent {
    /// A member joined, restarted or was found alive after it was marked dead.
    MemberUp {
        /// The member.
        member: MemberRecord,
    },
    /// The state or incarnation of a member changed.
    MemberChanged {
        /// The member.
        member: MemberRecord,
    },
    /// A member failed or left.
    MemberDown {
        /// The member.
        member: MemberRecord,
    },
    /// A peer has applied a higher revision than this node; the revision can be pulled from it.
    PeerAhead {
        /// Name of the peer.
        node: NodeId,
        /// Address of the peer.
        peer: SocketAddr,
        /// Revision that the peer has applied.
        revision: RevisionNumber,
    },
    /// A higher revision was announced and can be pulled from the member that relayed it.
    RevisionAnnounced {
        /// The announced revision.
        revision: RevisionNumber,
        /// Name of the node that made the announcement.
        origin: NodeId,
        /// Address of the relaying member, which has applied the revision.
        peer: SocketAddr,
    },
    /// A member reported that it has applied a higher revision than before.
    RevisionAcked {
        /// Name of the member.
        node: NodeId,
        /// The revision.
        revision: RevisionNumber,
    },
    /// An upstream started or stopped draining.
    UpstreamDrainChanged {
        /// New drain state of the upstream.
        drain_state: UpstreamDrainState,
    },
    /// Another process with a later run uses this node's name.
    NameConflict {
        /// Record of the other process.
        other: MemberRecord,
    },
}
