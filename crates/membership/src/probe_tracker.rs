//! Probes in flight and the order in which members are probed.

use std::{net::SocketAddr, time::Duration};

use mux_model::{FastMap, NodeId, TimePoint};
use rand::{rngs::StdRng, seq::SliceRandom};

use crate::member_table::MemberTable;

/// Why a probe was sent and what follows from its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// The member becomes suspect if it does not answer.
    FailureDetection,
    /// The end without an answer has no consequence.
    Informational,
    /// The answer is passed on to another member that asked for it.
    Relay {
        /// Address of the member that asked.
        peer: SocketAddr,
        /// Sequence of its probe.
        sequence: u32,
    },
}

/// One probe in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) kind: ProbeKind,
    pub(crate) target: NodeId,
    pub(crate) peer: SocketAddr,
    /// When other members are asked to probe; `None` once they were.
    indirect_at: Option<TimePoint>,
    deadline: TimePoint,
}

/// A probe that is to be repeated through other members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct IndirectProbe {
    pub(crate) sequence: u32,
    pub(crate) target: NodeId,
    pub(crate) peer: SocketAddr,
}

/// Probes in flight and the order in which members are probed.
#[derive(Debug, Default)]
pub(crate) struct ProbeTracker {
    last_sequence: u32,
    probes: FastMap<u32, Probe>,
    round: Vec<NodeId>,
}

impl ProbeTracker {
    /// Records a probe that is sent now and returns its sequence.
    pub(crate) fn start(
        &mut self,
        now: TimePoint,
        kind: ProbeKind,
        target: (NodeId, SocketAddr),
        ack_timeout: Duration,
        period: Duration,
    ) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let indirect_at = (kind == ProbeKind::FailureDetection).then(|| now + ack_timeout);
        let (target, peer) = target;
        let probe = Probe { kind, target, peer, indirect_at, deadline: now + period };
        self.probes.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Ends the probe with `sequence` because it was answered.
    pub(crate) fn complete(&mut self, sequence: u32) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    /// Returns whether a probe of `node` that may raise a suspicion is in flight.
    pub(crate) fn is_probing(&self, node: &NodeId) -> bool {
        self.probes.values().any(|it| it.kind == ProbeKind::FailureDetection && it.target == *node)
    }

    /// Takes the probes that are now to be repeated through other members.
    pub(crate) fn take_indirect(&mut self, now: TimePoint) -> Vec<IndirectProbe> {
        let mut indirect = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if probe.indirect_at.is_none_or(|it| now < it) {
                continue;
            }
            probe.indirect_at = None;
            let (target, peer) = (probe.target.clone(), probe.peer);
            indirect.push(IndirectProbe { sequence: *sequence, target, peer });
        }
        indirect
    }

    /// Takes the probes whose time is over.
    pub(crate) fn take_expired(&mut self, now: TimePoint) -> Vec<Probe> {
        self.probes.extract_if(|_, it| it.deadline <= now).map(|(_, it)| it).collect()
    }

    /// Drops all probes in flight.
    pub(crate) fn cancel_all(&mut self) {
        self.probes.clear();
    }

    /// Returns the next member to probe; every live member comes once per round, in random order.
    pub(crate) fn next_target(
        &mut self,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Option<(NodeId, SocketAddr)> {
        if self.round.is_empty() {
            self.round = table.live().map(|it| it.record.node().clone()).collect();
            self.round.sort_unstable();
            self.round.shuffle(rng);
        }
        while let Some(node) = self.round.pop() {
            let live = table.live_entry(&node);
            if let Some(entry) = live {
                return Some((node, entry.record.identity.peer));
            }
        }
        None
    }
}
