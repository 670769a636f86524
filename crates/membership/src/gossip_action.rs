//! Outputs of the gossip machine.

use std::net::SocketAddr;

use mux_model::{NodeId, RevisionNumber};

use crate::{MemberRecord, UpstreamDrainState};

/// What the driver of the machine is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Hand an event to the rest of the node.
    Event(GossipEvent),
}

/// Something that the rest of the node may act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipEvent {
    /// A member joined, came back or was restarted.
    MemberUp {
        /// The member.
        member: MemberRecord,
    },
    /// A member's state or addresses changed.
    MemberChanged {
        /// The member.
        member: MemberRecord,
    },
    /// A member was removed.
    MemberDown {
        /// The member.
        member: MemberRecord,
    },
    /// A peer has applied a higher revision than this node, which can be pulled from it.
    PeerAhead {
        /// Name of the peer.
        node: NodeId,
        /// Address of the peer.
        peer: SocketAddr,
        /// Revision that the peer has applied.
        revision: RevisionNumber,
    },
    /// A new revision was announced; `peer` has applied it.
    RevisionAnnounced {
        /// The revision.
        revision: RevisionNumber,
        /// Node that announced it first.
        origin: NodeId,
        /// Address from which it can be pulled.
        peer: SocketAddr,
    },
    /// A member reported a higher revision as applied than before.
    RevisionAcked {
        /// Name of the member.
        node: NodeId,
        /// The revision.
        revision: RevisionNumber,
    },
    /// An upstream started or stopped draining.
    UpstreamDrainChanged {
        /// The note.
        drain_state: UpstreamDrainState,
    },
    /// Another process runs under this node's name.
    NameConflict {
        /// Record of the other process.
        other: MemberRecord,
    },
}
