//! Gossip messages.

use std::net::SocketAddr;

use mux_model::{NodeId, NodeIncarnation, RevisionNumber};
use serde::{Deserialize, Serialize};

use crate::{
    MemberRecord, MemberState, UpstreamDrainState,
    table_digest::{BucketSet, TableDigest},
};

/// Content of one datagram: a body and the updates piggybacked on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// State that the sender reports about itself.
    pub(crate) sender: SenderHeader,
    /// Protocol operation.
    pub(crate) body: GossipBody,
    /// Latest announced revision that the sender has applied.
    pub(crate) announcement: Option<RevisionAnnouncement>,
    /// State updates of members whose records the receiver is expected to hold.
    pub(crate) claims: Vec<MemberClaim>,
    /// Full records of members that may be new to the receiver.
    pub(crate) records: Vec<MemberRecord>,
    /// Drain states of upstreams.
    #[serde(rename = "notes")]
    pub(crate) drain_states: Vec<UpstreamDrainState>,
    /// Relayed status reports of other members.
    pub(crate) reports: Vec<MemberReport>,
}

/// State that the sender of a message reports about itself; the fields are those of
/// [`MemberRecord`].
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

/// Protocol operation of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipBody {
    /// Direct probe: `target` answers with `Ack`.
    Ping { sequence: u32, target: NodeId },
    /// Answer to `Ping`.
    Ack { sequence: u32 },
    /// Indirect probe: the receiver probes `target` at the address `peer` on the sender's behalf.
    PingRequest { sequence: u32, target: NodeId, peer: SocketAddr },
    /// Answer to `PingRequest`, sent once its target has acknowledged the relayed probe.
    IndirectAck { sequence: u32 },
    /// Starts an anti-entropy sync: requests the records of the buckets whose hashes differ.
    SyncRequest { digest: TableDigest },
    /// Requests the page that starts after the member `after`.
    SyncNext { buckets: BucketSet, after: NodeId },
    /// Answer to `SyncRequest` and `SyncNext`.
    SyncPage(SyncPage),
    /// Acknowledges that the sender has applied a revision announced by the receiver.
    RevisionAck { revision: RevisionNumber },
    /// Confirms receipt of a `RevisionAck`, which ends its retransmission.
    RevisionAckSeen { revision: RevisionNumber },
    /// No operation; the message only carries updates.
    #[serde(rename = "News")]
    Updates,
}

/// One page of member records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SyncPage {
    /// Buckets being synchronized.
    pub(crate) buckets: BucketSet,
    /// Records, ordered by member name.
    pub(crate) members: Vec<MemberRecord>,
    /// Whether this is the last page.
    pub(crate) last: bool,
}

/// Announcement of a configuration revision by the node `origin`, to whose address `peer` the
/// members send their acknowledgements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RevisionAnnouncement {
    pub(crate) revision: RevisionNumber,
    pub(crate) origin: NodeId,
    pub(crate) peer: SocketAddr,
}

/// State of a member at one incarnation, as claimed by any member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberClaim {
    pub(crate) node: NodeId,
    pub(crate) run: NodeIncarnation,
    pub(crate) incarnation: NodeIncarnation,
    pub(crate) state: MemberState,
}

/// Status report of a member, relayed by other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberReport {
    /// Hash of the member's name and run, see [`report_key`](crate::member_table::report_key).
    pub(crate) key: u32,
    #[serde(rename = "report")]
    pub(crate) report_number: u32,
    pub(crate) revision: RevisionNumber,
    pub(crate) load: u16,
}
