//! Tracking of probes in flight and selection of probe targets.

use std::{net::SocketAddr, time::Duration};

use mux_model::{FastMap, NodeId, TimePoint};
use rand::{rngs::StdRng, seq::SliceRandom};

use crate::member_table::MemberTable;

/// Purpose of a probe, which determines the effect of its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// The target becomes suspect if it does not answer.
    FailureDetection,
    /// A missing answer has no effect.
    Informational,
    /// Indirect probe: the answer is relayed to the member that requested it.
    Relay {
        /// Address of the requesting member.
        requester: SocketAddr,
        /// Sequence number of the requesting member's probe.
        sequence: u32,
    },
}

/// Probe in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) kind: ProbeKind,
    pub(crate) target: NodeId,
    pub(crate) target_address: SocketAddr,
    /// When indirect probes are due; `None` if the kind has none or they were sent.
    indirect_at: Option<TimePoint>,
    deadline: TimePoint,
}

/// Direct probe without an answer, for which indirect probes are due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnansweredProbe {
    pub(crate) sequence: u32,
    pub(crate) target: NodeId,
    pub(crate) target_address: SocketAddr,
}

/// Probes in flight, and the members left to probe in the current round.
#[derive(Debug, Default)]
pub(crate) struct ProbeTracker {
    last_sequence: u32,
    probes: FastMap<u32, Probe>,
    round: Vec<NodeId>,
}

impl ProbeTracker {
    /// Registers a probe sent now and returns its sequence number.
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
        let (target, target_address) = target;
        let probe = Probe { kind, target, target_address, indirect_at, deadline: now + period };
        self.probes.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Removes and returns the probe that the answer with the number `sequence` belongs to.
    pub(crate) fn complete(&mut self, sequence: u32) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    /// Returns whether a failure-detection probe of `node` is in flight.
    pub(crate) fn is_probing(&self, node: &NodeId) -> bool {
        self.probes.values().any(|it| it.kind == ProbeKind::FailureDetection && it.target == *node)
    }

    /// Returns the failure-detection probes not answered within the ack timeout, for which indirect
    /// probes are due; each probe is returned once.
    pub(crate) fn take_unanswered(&mut self, now: TimePoint) -> Vec<UnansweredProbe> {
        let mut unanswered = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if probe.indirect_at.is_none_or(|it| now < it) {
                continue;
            }
            probe.indirect_at = None;
            let (target, target_address) = (probe.target.clone(), probe.target_address);
            unanswered.push(UnansweredProbe { sequence: *sequence, target, target_address });
        }
        unanswered
    }

    /// Removes and returns the probes that timed out.
    pub(crate) fn take_expired(&mut self, now: TimePoint) -> Vec<Probe> {
        self.probes.extract_if(|_, it| it.deadline <= now).map(|(_, it)| it).collect()
    }

    /// Removes all probes in flight.
    pub(crate) fn cancel_all(&mut self) {
        self.probes.clear();
    }

    /// Returns the next member to probe.
    ///
    /// Each round covers every live member once, in random order.
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
