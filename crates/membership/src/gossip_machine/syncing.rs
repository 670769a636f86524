//! Comparison and exchange of whole member tables.

use std::net::SocketAddr;

use mux_model::{NodeId, TimePoint};
use rand::{RngExt, seq::IteratorRandom};

use super::{receiving::ClaimSource, *};
use crate::codec::encoded_len;

const SEEDS_ASKED: usize = 3;
const PAGE_BYTES: usize = 900;
const JITTER_PERCENT: u32 = 20;

impl GossipMachine {
    /// Starts the comparisons that are due.
    pub(super) fn tick_sync(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let alone = self.table.live_count() == 0;
        let period = self.settings.sync_period;
        if self.sync.join_due(now, alone, period) {
            self.ask_seeds(now, actions);
        }
        let jitter = self.rng.random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
        if self.sync.periodic_due(now, period * jitter / 100) {
            for (_, peer) in self.random_members(1, None) {
                self.request_page(now, peer, None, actions);
            }
        }
    }

    /// Asks a few seeds that are not known members for theirs.
    pub(super) fn ask_seeds(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let local = self.local.identity.peer;
        let known: FastSet<_> = self.table.live().map(|it| it.record.identity.peer).collect();
        let seeds = self.sync.seeds().iter().copied();
        let strangers = seeds.filter(|it| *it != local && !known.contains(it));
        for peer in strangers.sample(&mut self.rng, SEEDS_ASKED) {
            self.send_request(now, peer, None, actions);
        }
    }

    /// Starts a comparison with `peer`, unless one was started a short while ago.
    pub(super) fn start_sync(
        &mut self,
        now: TimePoint,
        peer: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        if self.sync.unasked_due(now) {
            self.request_page(now, peer, None, actions);
        }
    }

    /// Answers a request with the records after `after`, or with none if the tables are equal.
    pub(super) fn on_sync_request(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        digest: u64,
        after: Option<&NodeId>,
        actions: &mut Vec<GossipAction>,
    ) {
        let own = self.table.digest(&self.local);
        let (members, last) = match after.is_none() && own == digest {
            true => (Vec::new(), true),
            false => self.page_after(after),
        };
        let equal = own == digest;
        let body = GossipBody::SyncPage { members, last };
        self.send(now, from, body, None, actions);
        if after.is_none() {
            self.send_all_notes(now, from, actions);
        }
        if after.is_none() && !equal {
            self.start_sync(now, from, actions);
        }
    }

    /// Merges a page and requests the next one.
    pub(super) fn on_sync_page(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        members: &[MemberRecord],
        last: bool,
        actions: &mut Vec<GossipAction>,
    ) {
        self.merge_page(now, members, actions);
        let cursor = members.last().map(|it| it.node().clone());
        if last || cursor.is_none() {
            self.sync.finish(from);
            return;
        }
        if self.sync.wants_next(now, from) {
            self.request_page(now, from, cursor, actions);
        }
    }

    /// Merges records; claims against members are put to them first.
    pub(super) fn merge_page(
        &mut self,
        now: TimePoint,
        members: &[MemberRecord],
        actions: &mut Vec<GossipAction>,
    ) {
        for record in members {
            self.on_record(now, record, ClaimSource::Doubtful, actions);
        }
    }

    fn request_page(
        &mut self,
        now: TimePoint,
        peer: SocketAddr,
        after: Option<NodeId>,
        actions: &mut Vec<GossipAction>,
    ) {
        self.sync.expect_page(now, peer);
        self.send_request(now, peer, after, actions);
    }

    fn send_request(
        &mut self,
        now: TimePoint,
        peer: SocketAddr,
        after: Option<NodeId>,
        actions: &mut Vec<GossipAction>,
    ) {
        let digest = self.table.digest(&self.local);
        let body = GossipBody::SyncRequest { digest, after };
        self.send(now, peer, body, None, actions);
    }

    /// Returns the records after `after` that fit a page, and whether they are the last.
    fn page_after(&self, after: Option<&NodeId>) -> (Vec<MemberRecord>, bool) {
        let records = self.table.iter().map(|it| &it.record);
        let mut rest: Vec<_> = records.filter(|it| after < Some(it.node())).collect();
        rest.sort_unstable_by_key(|it| it.node());
        let mut page = Vec::new();
        let mut len = 0;
        for record in rest {
            len += encoded_len(record);
            if PAGE_BYTES < len {
                return (page, false);
            }
            page.push(record.clone());
        }
        (page, true)
    }
}
