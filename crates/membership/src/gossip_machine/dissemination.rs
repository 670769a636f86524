//! Dissemination of updates, piggybacked on messages or pushed to random members.

use std::net::SocketAddr;

use mux_model::{FastSet, NodeId, RevisionNumber, TimePoint};
use rand::seq::SliceRandom;
use serde::Serialize;

use super::{GossipMachine, MemberUpdate, emit};
use crate::{
    GossipAction, GossipEvent, UpstreamDrainState,
    codec::{DATAGRAM_LIMIT_BYTES, encoded_len},
    member_table::{claim_of, report_key},
    message::{
        GossipBody, GossipMessage, MemberClaim, MemberReport, RevisionAnnouncement, SenderHeader,
    },
};

/// Space for the prefix of the datagram, and for list lengths, whose encoding grows with the lists.
const RESERVED_BYTES: usize = 16;

impl GossipMachine {
    /// Sends a message with `claim` and as many piggybacked updates as fit.
    pub(super) fn send(
        &mut self,
        now: TimePoint,
        to: SocketAddr,
        body: GossipBody,
        claim: Option<MemberClaim>,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut message = self.start_message(now, body, claim);
        let mut budget = DatagramBudget::new(&message);
        self.add_drain_states(&mut message, &mut budget);
        self.add_members(&mut message, &mut budget);
        self.add_reports(&mut message, &mut budget);
        if let Some(bytes) = self.codec.encode(&message) {
            actions.push(GossipAction::Send { to, bytes });
        }
    }

    /// Sends the known drain states, as many as fit one message.
    pub(super) fn send_drain_states(
        &mut self,
        now: TimePoint,
        to: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut message = self.start_message(now, GossipBody::Updates, None);
        let mut budget = DatagramBudget::new(&message);
        for drain_state in self.drain_states.iter() {
            budget.add(&mut message.drain_states, *drain_state);
        }
        if message.drain_states.is_empty() {
            return;
        }
        if let Some(bytes) = self.codec.encode(&message) {
            actions.push(GossipAction::Send { to, bytes });
        }
    }

    /// Pushes the queued updates to a few random members.
    pub(super) fn push_updates(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        for (_, peer) in self.random_members(self.settings.fanout, None) {
            self.send(now, peer, GossipBody::Updates, None, actions);
        }
    }

    /// Queues and pushes the state of this node.
    pub(super) fn disseminate_local_state(
        &mut self,
        now: TimePoint,
        actions: &mut Vec<GossipAction>,
    ) {
        self.view_outdated = true;
        self.queue_update(MemberUpdate::Claim(self.local.node().clone()));
        self.push_updates(now, actions);
    }

    /// Queues an update about a member; a full record replaces a claim about the same member.
    pub(super) fn queue_update(&mut self, update: MemberUpdate) {
        let (MemberUpdate::Record(node) | MemberUpdate::Claim(node)) = &update;
        let record = MemberUpdate::Record(node.clone());
        let claim = MemberUpdate::Claim(node.clone());
        if update == record || self.member_updates.contains(&record) {
            self.member_updates.remove(&claim);
            self.member_updates.push(record);
            return;
        }
        self.member_updates.push(claim);
    }

    /// Stores a drain state and queues it for dissemination.
    pub(super) fn disseminate_drain_state(
        &mut self,
        now: TimePoint,
        drain_state: UpstreamDrainState,
    ) {
        self.drain_states.apply(now, drain_state);
        self.drain_updates.push(drain_state.upstream);
        self.drain_push_due = true;
    }

    /// Handles a received drain state.
    pub(super) fn on_drain_state(
        &mut self,
        now: TimePoint,
        drain_state: UpstreamDrainState,
        actions: &mut Vec<GossipAction>,
    ) {
        let retention_ms = u64::try_from(self.settings.drain_state_retention.as_millis());
        let expires = drain_state.version.saturating_add(retention_ms.unwrap_or(u64::MAX));
        if expires <= self.unix_ms(now) || !self.drain_states.apply(now, drain_state) {
            return;
        }
        self.drain_updates.push(drain_state.upstream);
        self.drain_push_due = true;
        emit(GossipEvent::UpstreamDrainChanged { drain_state }, actions);
    }

    /// Announces `revision` with this node as origin.
    pub(super) fn start_announcement(&mut self, now: TimePoint, revision: RevisionNumber) {
        let origin = self.local.node().clone();
        let peer = self.local.identity.peer;
        self.revision_dissemination
            .start_piggybacking(now, RevisionAnnouncement { revision, origin, peer });
    }

    /// Handles a received announcement.
    pub(super) fn on_announcement(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        announcement: RevisionAnnouncement,
        actions: &mut Vec<GossipAction>,
    ) {
        let revision = announcement.revision;
        if revision <= self.revision_dissemination.highest_announced() {
            return;
        }
        let origin = announcement.origin.clone();
        self.revision_dissemination.set_pending(announcement);
        if revision <= self.local.revision {
            self.apply_pending_announcement(now, actions);
            self.push_updates(now, actions);
            return;
        }
        emit(GossipEvent::RevisionAnnounced { revision, origin, peer: from }, actions);
    }

    /// Acknowledges and disseminates the pending announcement once its revision is applied.
    pub(super) fn apply_pending_announcement(
        &mut self,
        now: TimePoint,
        actions: &mut Vec<GossipAction>,
    ) {
        let Some(announcement) = self.revision_dissemination.take_pending(self.local.revision)
        else {
            return;
        };
        self.revision_dissemination.start_ack(now, announcement.peer, announcement.revision);
        self.revision_dissemination.start_piggybacking(now, announcement);
        self.send_ack(now, actions);
    }

    /// Sends the due acknowledgement, and pushes updates if a drain state changed.
    pub(super) fn tick_updates(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        self.send_ack(now, actions);
        if self.drain_push_due {
            self.drain_push_due = false;
            self.push_updates(now, actions);
        }
    }

    fn send_ack(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        if let Some((peer, revision)) = self.revision_dissemination.next_ack(now) {
            self.send(now, peer, GossipBody::RevisionAck { revision }, None, actions);
        }
    }

    fn start_message(
        &mut self,
        now: TimePoint,
        body: GossipBody,
        claim: Option<MemberClaim>,
    ) -> GossipMessage {
        self.local.report_number = self.local.report_number.saturating_add(1);
        let includes_own_record =
            matches!(body, GossipBody::SyncRequest { .. } | GossipBody::SyncPage(_));
        let records = if includes_own_record { vec![self.local.clone()] } else { Vec::new() };
        GossipMessage {
            sender: self.header(),
            body,
            announcement: self.revision_dissemination.current(now).cloned(),
            claims: claim.into_iter().collect(),
            records,
            drain_states: Vec::new(),
            reports: Vec::new(),
        }
    }

    fn header(&self) -> SenderHeader {
        SenderHeader {
            node: self.local.node().clone(),
            run: self.local.run,
            incarnation: self.local.incarnation,
            state: self.local.state,
            revision: self.local.revision,
            load: self.local.load,
            report_number: self.local.report_number,
        }
    }

    fn add_drain_states(&mut self, message: &mut GossipMessage, budget: &mut DatagramBudget) {
        let limit = self.settings.retransmit_limit(self.member_count());
        let drain_states = &self.drain_states;
        self.drain_updates.offer(limit, |upstream| match drain_states.get(*upstream) {
            Some(drain_state) => budget.add(&mut message.drain_states, *drain_state),
            None => true,
        });
    }

    fn add_members(&mut self, message: &mut GossipMessage, budget: &mut DatagramBudget) {
        let limit = self.settings.retransmit_limit(self.member_count());
        let (table, local) = (&self.table, &self.local);
        let record_of = |node: &NodeId| match node == local.node() {
            true => Some(local),
            false => table.get(node).map(|it| &it.record),
        };
        self.member_updates.offer(limit, |update| match update {
            MemberUpdate::Record(node) => match record_of(node) {
                Some(record) => budget.add(&mut message.records, record.clone()),
                None => true,
            },
            MemberUpdate::Claim(node) => match record_of(node) {
                Some(record) => budget.add(&mut message.claims, claim_of(record)),
                None => true,
            },
        });
    }

    fn add_reports(&mut self, message: &mut GossipMessage, budget: &mut DatagramBudget) {
        let mut added = FastSet::default();
        for _ in 0..self.settings.reports_per_message {
            let Some(report) = self.next_report() else {
                return;
            };
            if !added.insert(report.key) || !budget.add(&mut message.reports, report) {
                return;
            }
        }
    }

    /// Returns the report of the next member in the current round.
    fn next_report(&mut self) -> Option<MemberReport> {
        if self.report_round.is_empty() {
            self.report_round = self.table.live().map(|it| it.record.node().clone()).collect();
            self.report_round.sort_unstable();
            self.report_round.shuffle(&mut self.rng);
        }
        let node = self.report_round.pop()?;
        let record = &self.table.get(&node)?.record;
        Some(MemberReport {
            key: report_key(&node, record.run),
            report_number: record.report_number,
            revision: record.revision,
            load: record.load,
        })
    }
}

/// Space left in a datagram.
struct DatagramBudget {
    bytes_left: usize,
}

impl DatagramBudget {
    fn new(message: &GossipMessage) -> Self {
        let used = encoded_len(message) + RESERVED_BYTES;
        Self { bytes_left: DATAGRAM_LIMIT_BYTES.saturating_sub(used) }
    }

    /// Appends `item` to `items` if it fits.
    fn add<T: Serialize>(&mut self, items: &mut Vec<T>, item: T) -> bool {
        let len = encoded_len(&item);
        if self.bytes_left < len {
            return false;
        }
        self.bytes_left -= len;
        items.push(item);
        true
    }
}
