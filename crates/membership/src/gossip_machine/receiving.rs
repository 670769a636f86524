//! Processing of received messages.

use std::{net::SocketAddr, time::Duration};

use mux_model::{NodeId, TimePoint};

use super::{GossipMachine, MemberUpdate, emit};
use crate::{
    GossipAction, GossipEvent, MemberRecord, MemberState,
    errors::CodecError,
    member_table::{TableChange, claim_of, report_key},
    message::{GossipBody, GossipMessage, MemberClaim, MemberReport, SenderHeader},
    probe_tracker::ProbeKind,
};

const UNVERIFIED_CLAIMS_MAX: usize = 512;
const REFUTATION_PERIOD: Duration = Duration::from_millis(200);

/// Source of a claim, which determines how far a failure claim is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimSource {
    /// The member that the claim is about.
    Subject,
    /// Another member that is neither suspect nor dead, outside the healing period.
    Peer,
    /// Another member that is unknown, suspect or dead, or any member during the healing period,
    /// as its claims may stem from a partition.
    UntrustedPeer,
    /// An anti-entropy sync. Its changes are not disseminated further, as every member syncs.
    Sync,
}

impl GossipMachine {
    /// Processes a decoded message.
    pub(super) fn receive(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        message: GossipMessage,
        actions: &mut Vec<GossipAction>,
    ) {
        let source = self.classify_sender(now, &message.sender.node);
        for record in &message.records {
            self.on_record(now, record, source, actions);
        }
        self.on_sender(now, from, &message.sender, actions);
        for claim in &message.claims {
            self.on_claim(now, claim, source, actions);
        }
        for report in &message.reports {
            self.on_report(report, actions);
        }
        for drain_state in &message.drain_states {
            self.on_drain_state(now, *drain_state, actions);
        }
        if let Some(announcement) = message.announcement {
            self.on_announcement(now, from, announcement, actions);
        }
        self.on_body(now, from, &message.sender, message.body, actions);
    }

    /// Counts a dropped datagram.
    pub(super) fn count_dropped(&mut self, error: CodecError) {
        match error {
            CodecError::Malformed => self.malformed += 1,
            CodecError::Foreign => self.foreign += 1,
        }
    }

    /// Merges a record from `source`.
    pub(super) fn on_record(
        &mut self,
        now: TimePoint,
        record: &MemberRecord,
        source: ClaimSource,
        actions: &mut Vec<GossipAction>,
    ) {
        if record.node() == self.local.node() {
            self.on_own_record(now, record, actions);
            return;
        }
        let known_run = self.table.get(record.node()).map(|it| it.record.run);
        if known_run == Some(record.run) {
            self.on_claim(now, &claim_of(record), source, actions);
            self.on_report(&report_of(record), actions);
            return;
        }
        let change = self.table.apply_record(now, record);
        self.on_received_change(now, record.node(), change, source, actions);
    }

    /// Publishes a change of the table and queues it for dissemination.
    pub(super) fn on_change(
        &mut self,
        now: TimePoint,
        node: &NodeId,
        change: TableChange,
        actions: &mut Vec<GossipAction>,
    ) {
        let update = match change {
            TableChange::Unchanged => return,
            TableChange::Up => MemberUpdate::Record(node.clone()),
            _ => MemberUpdate::Claim(node.clone()),
        };
        self.queue_update(update);
        self.publish_change(now, node, change, actions);
    }

    fn on_received_change(
        &mut self,
        now: TimePoint,
        node: &NodeId,
        change: TableChange,
        source: ClaimSource,
        actions: &mut Vec<GossipAction>,
    ) {
        match source {
            ClaimSource::Sync => self.publish_change(now, node, change, actions),
            _ => self.on_change(now, node, change, actions),
        }
    }

    fn publish_change(
        &mut self,
        now: TimePoint,
        node: &NodeId,
        change: TableChange,
        actions: &mut Vec<GossipAction>,
    ) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let member = entry.record.clone();
        let event = match change {
            TableChange::Unchanged => return,
            TableChange::Up | TableChange::Recovered => GossipEvent::MemberUp { member },
            TableChange::Changed => GossipEvent::MemberChanged { member },
            TableChange::Down => GossipEvent::MemberDown { member },
        };
        self.view_outdated = true;
        if change == TableChange::Recovered {
            self.start_healing_period(now);
        }
        emit(event, actions);
    }

    fn classify_sender(&self, now: TimePoint, sender: &NodeId) -> ClaimSource {
        let trusted =
            self.table.get(sender).is_some_and(|it| it.record.state < MemberState::Suspect);
        match trusted && self.healing_until <= now {
            true => ClaimSource::Peer,
            false => ClaimSource::UntrustedPeer,
        }
    }

    fn on_sender(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        sender: &SenderHeader,
        actions: &mut Vec<GossipAction>,
    ) {
        if sender.node == *self.local.node() {
            return;
        }
        let Some(entry) = self.table.get(&sender.node) else {
            self.start_sync(now, from, actions);
            return;
        };
        let known = &entry.record;
        if known.run != sender.run {
            if known.incarnation < sender.incarnation {
                self.start_sync(now, from, actions);
            }
            return;
        }
        let was_dead = known.state == MemberState::Dead;
        self.on_claim(now, &claim_of_sender(sender), ClaimSource::Subject, actions);
        self.on_report(&report_of_sender(sender), actions);
        self.emit_peer_ahead(sender, from, actions);
        if was_dead && self.table.live_entry(&sender.node).is_some() {
            self.start_sync(now, from, actions);
        }
    }

    fn emit_peer_ahead(
        &self,
        sender: &SenderHeader,
        peer: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        if sender.revision <= self.local.revision {
            return;
        }
        let (node, revision) = (sender.node.clone(), sender.revision);
        emit(GossipEvent::PeerAhead { node, peer, revision }, actions);
    }

    fn on_claim(
        &mut self,
        now: TimePoint,
        claim: &MemberClaim,
        source: ClaimSource,
        actions: &mut Vec<GossipAction>,
    ) {
        if claim.node == *self.local.node() {
            self.refute(now, claim, actions);
            return;
        }
        let Some(entry) = self.table.get(&claim.node) else {
            return;
        };
        let current = (entry.record.incarnation, entry.record.state);
        let escalates = current.1 == MemberState::Suspect && claim.state == MemberState::Dead;
        // A failure claim of a peer only makes a member suspect, which this one already is.
        let redundant = escalates && source == ClaimSource::Peer && claim.incarnation == current.0;
        if redundant || (claim.incarnation, claim.state) <= current {
            return;
        }
        if claim.run != entry.record.run {
            // The table lacks the record of that run, which the next sync brings.
            self.sync.bring_periodic_forward(now);
            return;
        }
        let Some(state) = accepted_state(current.1, claim.state, source) else {
            self.queue_for_verification(claim.clone());
            return;
        };
        let claim = MemberClaim { state, ..claim.clone() };
        let change = self.table.apply_claim(now, &claim);
        self.on_received_change(now, &claim.node, change, source, actions);
    }

    fn queue_for_verification(&mut self, claim: MemberClaim) {
        let queued = self.unverified_claims.iter().any(|it| it.node == claim.node);
        if !queued && self.unverified_claims.len() < UNVERIFIED_CLAIMS_MAX {
            self.unverified_claims.push_back(claim);
        }
    }

    fn on_report(&mut self, report: &MemberReport, actions: &mut Vec<GossipAction>) {
        let raised_revision = self.table.apply_report(report);
        self.view_outdated = true;
        if let Some((node, revision)) = raised_revision {
            emit(GossipEvent::RevisionAcked { node, revision }, actions);
        }
    }

    fn on_own_record(
        &mut self,
        now: TimePoint,
        record: &MemberRecord,
        actions: &mut Vec<GossipAction>,
    ) {
        let name_conflict = self.local.run < record.run && record.state != MemberState::Dead;
        if name_conflict {
            emit(GossipEvent::NameConflict { other: record.clone() }, actions);
        }
        self.refute(now, &claim_of(record), actions);
    }

    /// Refutes `claim` with a higher incarnation if it would override this node's own state.
    fn refute(&mut self, now: TimePoint, claim: &MemberClaim, actions: &mut Vec<GossipAction>) {
        let own = (self.local.incarnation, self.local.state);
        if self.local.state == MemberState::Dead || (claim.incarnation, claim.state) <= own {
            return;
        }
        self.local.incarnation.0 = claim.incarnation.0.saturating_add(1);
        if now < self.next_refutation {
            self.queue_update(MemberUpdate::Claim(claim.node.clone()));
            return;
        }
        self.next_refutation = now + REFUTATION_PERIOD;
        self.disseminate_local_state(now, actions);
    }

    fn on_body(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        sender: &SenderHeader,
        body: GossipBody,
        actions: &mut Vec<GossipAction>,
    ) {
        match body {
            GossipBody::Ping { sequence, target } => {
                if target == *self.local.node() {
                    let claim = self.overriding_claim(sender);
                    self.send(now, from, GossipBody::Ack { sequence }, claim, actions);
                }
            }
            GossipBody::Ack { sequence } | GossipBody::IndirectAck { sequence } => {
                self.on_ack(now, sequence, actions);
            }
            GossipBody::PingRequest { sequence, target, peer } => {
                let kind = ProbeKind::Relay { requester: from, sequence };
                self.send_ping(now, kind, (target, peer), None, actions);
            }
            GossipBody::SyncRequest { digest } => {
                self.on_sync_request(now, from, &digest, actions);
            }
            GossipBody::SyncNext { buckets, after } => {
                self.send_page(now, from, buckets, Some(&after), actions);
            }
            GossipBody::SyncPage(page) => self.on_sync_page(now, from, &page, actions),
            GossipBody::RevisionAck { revision } => {
                let body = GossipBody::RevisionAckSeen { revision };
                self.send(now, from, body, None, actions);
            }
            GossipBody::RevisionAckSeen { revision } => {
                self.revision_dissemination.confirm_ack(revision)
            }
            GossipBody::Updates => {}
        }
    }

    /// Returns the claim held about the sender if it overrides the state that the sender reported,
    /// so that the sender can refute it.
    fn overriding_claim(&self, sender: &SenderHeader) -> Option<MemberClaim> {
        let entry = self.table.get(&sender.node)?;
        let claim = claim_of(&entry.record);
        let overrides = (sender.incarnation, sender.state) < (claim.incarnation, claim.state);
        overrides.then_some(claim)
    }
}

/// Returns the state of a member after a claim that overrides the current state, or `None` if the
/// claim is not applied and the member is probed instead.
///
/// A claim from another member does not make a member dead that did not announce its stop: the
/// member becomes suspect and has the full suspicion timeout to refute that to this node. Likewise,
/// a dead member returns only by its own message: others may have heard its last refutation before
/// it failed, and hold it for alive until their own probes fail.
fn accepted_state(
    current: MemberState,
    claimed: MemberState,
    source: ClaimSource,
) -> Option<MemberState> {
    let reports_failure = MemberState::Suspect <= claimed;
    match source {
        ClaimSource::Subject => Some(claimed),
        _ if !reports_failure && current == MemberState::Dead => None,
        _ if !reports_failure => Some(claimed),
        ClaimSource::UntrustedPeer | ClaimSource::Sync => None,
        ClaimSource::Peer if current == MemberState::Dead => Some(MemberState::Dead),
        ClaimSource::Peer if current == MemberState::Leaving => Some(claimed),
        ClaimSource::Peer => Some(MemberState::Suspect),
    }
}

fn claim_of_sender(sender: &SenderHeader) -> MemberClaim {
    MemberClaim {
        node: sender.node.clone(),
        run: sender.run,
        incarnation: sender.incarnation,
        state: sender.state,
    }
}

fn report_of_sender(sender: &SenderHeader) -> MemberReport {
    MemberReport {
        key: report_key(&sender.node, sender.run),
        report_number: sender.report_number,
        revision: sender.revision,
        load: sender.load,
    }
}

fn report_of(record: &MemberRecord) -> MemberReport {
    MemberReport {
        key: report_key(record.node(), record.run),
        report_number: record.report_number,
        revision: record.revision,
        load: record.load,
    }
}
