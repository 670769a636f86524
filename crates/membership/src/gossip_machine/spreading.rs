//! Composition of messages and the spread of news.

use std::net::SocketAddr;

use mux_model::{FastSet, NodeId, RevisionNumber, TimePoint};
use rand::seq::SliceRandom;
use serde::Serialize;

use super::{GossipMachine, MemberNews, emit};
use crate::{
    GossipAction, GossipEvent, UpstreamDrainState,
    codec::{DATAGRAM_LIMIT_BYTES, encoded_len},
    member_table::{claim_of, report_key},
    message::{
        GossipBody, GossipMessage, MemberClaim, MemberReport, RevisionAnnouncement, SenderHeader,
    },
};

const FRAME_ALLOWANCE_BYTES: usize = 16;

impl GossipMachine {
    /// Sends a message with the news that fit; `claim` is put to the receiver.
    pub(super) fn send(
        &mut self,
        now: TimePoint,
        to: SocketAddr,
        body: GossipBody,
        claim: Option<MemberClaim>,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut message = self.start_message(now, body, claim);
        let mut room = SpaceBudget::new(&message);
        self.add_notes(&mut message, &mut room);
        self.add_members(&mut message, &mut room);
        self.add_reports(&mut message, &mut room);
        if let Some(bytes) = self.codec.encode(&message) {
            actions.push(GossipAction::Send { to, bytes });
        }
    }

    /// Sends as many of the notes in force as fit one message.
    pub(super) fn send_all_notes(
        &mut self,
        now: TimePoint,
        to: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut message = self.start_message(now, GossipBody::News, None);
        let mut room = SpaceBudget::new(&message);
        for note in self.notes.iter() {
            room.add(&mut message.notes, *note);
        }
        if message.notes.is_empty() {
            return;
        }
        if let Some(bytes) = self.codec.encode(&message) {
            actions.push(GossipAction::Send { to, bytes });
        }
    }

    /// Sends the news to a few random members.
    pub(super) fn push_news(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        for (_, peer) in self.random_members(self.settings.fanout, None) {
            self.send(now, peer, GossipBody::News, None, actions);
        }
    }

    /// Tells members what this node now says about itself.
    pub(super) fn tell_about_local(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        self.view_outdated = true;
        self.queue_member(MemberNews::Claim(self.local.node().clone()));
        self.push_news(now, actions);
    }

    /// Passes on what is known about a member with the next messages.
    pub(super) fn queue_member(&mut self, news: MemberNews) {
        let (MemberNews::Record(node) | MemberNews::Claim(node)) = &news;
        let record = MemberNews::Record(node.clone());
        let claim = MemberNews::Claim(node.clone());
        if news == record || self.member_news.contains(&record) {
            self.member_news.remove(&claim);
            self.member_news.push(record);
            return;
        }
        self.member_news.push(claim);
    }

    /// Stores a note and passes it on.
    pub(super) fn spread_note(&mut self, now: TimePoint, note: UpstreamDrainState) {
        self.notes.apply(now, note);
        self.note_news.push(note.upstream);
        self.push_notes = true;
    }

    /// Handles a note received.
    pub(super) fn on_note(
        &mut self,
        now: TimePoint,
        note: UpstreamDrainState,
        actions: &mut Vec<GossipAction>,
    ) {
        let retention_ms = u64::try_from(self.settings.drain_state_retention.as_millis());
        let expires = note.version.saturating_add(retention_ms.unwrap_or(u64::MAX));
        if expires <= self.unix_ms(now) || !self.notes.apply(now, note) {
            return;
        }
        self.note_news.push(note.upstream);
        self.push_notes = true;
        emit(GossipEvent::UpstreamDrainChanged { drain_state: note }, actions);
    }

    /// Makes this node the origin of the announcement of `revision`.
    pub(super) fn start_announcement(&mut self, now: TimePoint, revision: RevisionNumber) {
        let origin = self.local.node().clone();
        let peer = self.local.identity.peer;
        self.spread.adopt(now, RevisionAnnouncement { revision, origin, peer });
    }

    /// Handles an announcement received.
    pub(super) fn on_announcement(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        announcement: RevisionAnnouncement,
        actions: &mut Vec<GossipAction>,
    ) {
        let revision = announcement.revision;
        if revision <= self.spread.highest_heard() {
            return;
        }
        let origin = announcement.origin.clone();
        self.spread.hold(announcement);
        if revision <= self.local.revision {
            self.adopt_pending(now, actions);
            self.push_news(now, actions);
            return;
        }
        emit(GossipEvent::RevisionAnnounced { revision, origin, peer: from }, actions);
    }

    /// Acknowledges and passes on the held announcement once its revision is applied.
    pub(super) fn adopt_pending(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let Some(announcement) = self.spread.take_pending(self.local.revision) else {
            return;
        };
        self.spread.start_ack(now, announcement.peer, announcement.revision);
        self.spread.adopt(now, announcement);
        self.send_ack(now, actions);
    }

    /// Sends the news that wait for a tick.
    pub(super) fn tick_news(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        self.send_ack(now, actions);
        if self.push_notes {
            self.push_notes = false;
            self.push_news(now, actions);
        }
    }

    fn send_ack(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        if let Some((peer, revision)) = self.spread.next_ack(now) {
            self.send(now, peer, GossipBody::RevisionAck { revision }, None, actions);
        }
    }

    fn start_message(
        &mut self,
        now: TimePoint,
        body: GossipBody,
        claim: Option<MemberClaim>,
    ) -> GossipMessage {
        self.local.report = self.local.report.saturating_add(1);
        let introduces = matches!(body, GossipBody::SyncRequest { .. } | GossipBody::SyncPage(_));
        let records = if introduces { vec![self.local.clone()] } else { Vec::new() };
        GossipMessage {
            sender: self.header(),
            body,
            announcement: self.spread.current(now).cloned(),
            claims: claim.into_iter().collect(),
            records,
            notes: Vec::new(),
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
            report: self.local.report,
        }
    }

    fn add_notes(&mut self, message: &mut GossipMessage, room: &mut SpaceBudget) {
        let limit = self.settings.retransmit_limit(self.member_count());
        let notes = &self.notes;
        self.note_news.offer(limit, |upstream| match notes.get(*upstream) {
            Some(note) => room.add(&mut message.notes, *note),
            None => true,
        });
    }

    fn add_members(&mut self, message: &mut GossipMessage, room: &mut SpaceBudget) {
        let limit = self.settings.retransmit_limit(self.member_count());
        let (table, local) = (&self.table, &self.local);
        let record_of = |node: &NodeId| match node == local.node() {
            true => Some(local),
            false => table.get(node).map(|it| &it.record),
        };
        self.member_news.offer(limit, |news| match news {
            MemberNews::Record(node) => match record_of(node) {
                Some(record) => room.add(&mut message.records, record.clone()),
                None => true,
            },
            MemberNews::Claim(node) => match record_of(node) {
                Some(record) => room.add(&mut message.claims, claim_of(record)),
                None => true,
            },
        });
    }

    fn add_reports(&mut self, message: &mut GossipMessage, room: &mut SpaceBudget) {
        let mut added = FastSet::default();
        for _ in 0..self.settings.reports_per_message {
            let Some(report) = self.next_report() else {
                return;
            };
            if !added.insert(report.key) || !room.add(&mut message.reports, report) {
                return;
            }
        }
    }

    /// Returns the report of the next member in turn.
    fn next_report(&mut self) -> Option<MemberReport> {
        if self.report_ring.is_empty() {
            self.report_ring = self.table.live().map(|it| it.record.node().clone()).collect();
            self.report_ring.sort_unstable();
            self.report_ring.shuffle(&mut self.rng);
        }
        let node = self.report_ring.pop()?;
        let record = &self.table.get(&node)?.record;
        Some(MemberReport {
            key: report_key(&node, record.run),
            report: record.report,
            revision: record.revision,
            load: record.load,
        })
    }
}

/// Room left in a datagram.
struct SpaceBudget {
    bytes_left: usize,
}

impl SpaceBudget {
    fn new(message: &GossipMessage) -> Self {
        let used = encoded_len(message) + FRAME_ALLOWANCE_BYTES;
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
