//! Messages between gossip machines.

use std::net::SocketAddr;

use mux_model::{NodeId, NodeIncarnation, RevisionNumber};
use serde::{Deserialize, Serialize};

use crate::{
    MemberRecord, MemberState, UpstreamDrainState,
    table_digest::{BucketSet, TableDigest},
};

/// One datagram: a body, and news that travel with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// What the sender says about itself.
    pub(crate) sender: SenderHeader,
    /// Purpose of the message.
    pub(crate) body: GossipBody,
    /// The latest announced revision that the sender has applied.
    pub(crate) announcement: Option<RevisionAnnouncement>,
    /// Claims about members that the receiver is expected to know.
    pub(crate) claims: Vec<MemberClaim>,
    /// Records of members that the receiver may not know.
    pub(crate) records: Vec<MemberRecord>,
    /// Upstream notes.
    #[serde(rename = "notes")]
    pub(crate) drain_states: Vec<UpstreamDrainState>,
    /// Reports of other members.
    pub(crate) reports: Vec<MemberReport>,
}

/// What the sender of a message says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SenderHeader {
    pub(crate) node: NodeId,
    pub(crate) run: NodeIncarnation,
    pub(crate) incarnation: NodeIncarnation,
    pub(crate) state: MemberState,
    pub(crate) revision: RevisionNumber,
    pub(crate) load: u16,
    #[serde(rename = "report")]
    pub(crate) report_number: u32,
}

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipBody {
    /// Asks `target` to answer with `Ack`.
    Ping { sequence: u32, target: NodeId },
    /// Answers a `Ping`.
    Ack { sequence: u32 },
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest { sequence: u32, target: NodeId, peer: SocketAddr },
    /// Says that the target of a `PingRequest` answered.
    IndirectAck { sequence: u32 },
    /// Asks for the records of the buckets whose digest differs from the receiver's.
    SyncRequest { digest: TableDigest },
    /// Asks for the page after the member `after`.
    SyncNext { buckets: BucketSet, after: NodeId },
    /// Answers both.
    SyncPage(SyncPage),
    /// Says that the sender has applied a revision announced by the receiver.
    RevisionAck { revision: RevisionNumber },
    /// Confirms a `RevisionAck`.
    RevisionAckSeen { revision: RevisionNumber },
    /// Carries only news.
    #[serde(rename = "News")]
    Updates,
}

/// Some records of a member table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SyncPage {
    /// Buckets that the exchange is about.
    pub(crate) buckets: BucketSet,
    /// Records in name order.
    pub(crate) members: Vec<MemberRecord>,
    /// Whether no more records follow.
    pub(crate) last: bool,
}

/// Says that a revision exists and who announced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RevisionAnnouncement {
    pub(crate) revision: RevisionNumber,
    pub(crate) origin: NodeId,
    pub(crate) peer: SocketAddr,
}

/// States that a member is in a state at an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberClaim {
    pub(crate) node: NodeId,
    pub(crate) run: NodeIncarnation,
    pub(crate) incarnation: NodeIncarnation,
    pub(crate) state: MemberState,
}

/// A member's own report, passed on by others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberReport {
    /// Hash of the member's name and run.
    pub(crate) key: u32,
    #[serde(rename = "report")]
    pub(crate) report_number: u32,
    pub(crate) revision: RevisionNumber,
    pub(crate) load: u16,
}
