//! Anti-entropy sync of member tables.

use std::net::SocketAddr;

use mux_model::{FastSet, NodeId, TimePoint};
use rand::{RngExt, seq::IteratorRandom};

use super::{GossipMachine, receiving::ClaimSource};
use crate::{
    GossipAction, MemberRecord,
    codec::encoded_len,
    message::{GossipBody, SyncPage},
    table_digest::{BucketSet, TableDigest},
};

const SEEDS_PER_ATTEMPT: usize = 3;
const PAGE_BYTES: usize = 900;
const PERIOD_JITTER_PERCENT: u32 = 20;

impl GossipMachine {
    /// Starts the syncs that are due.
    pub(super) fn tick_sync(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let alone = self.table.live_count() == 0;
        let period = self.settings.sync_period;
        if self.sync.try_begin_seed_sync(now, alone, period) {
            self.sync_with_seeds(now, actions);
        }
        let jitter =
            self.rng.random_range(100 - PERIOD_JITTER_PERCENT..=100 + PERIOD_JITTER_PERCENT);
        if self.sync.try_begin_periodic(now, period * jitter / 100) {
            for (_, peer) in self.random_members(1, None) {
                self.request_first_page(now, peer, actions);
            }
        }
    }

    /// Starts a sync with a few random seeds that are not live members.
    pub(super) fn sync_with_seeds(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let local = self.local.identity.peer;
        let known: FastSet<_> = self.table.live().map(|it| it.record.identity.peer).collect();
        let seeds = self.sync.seeds().iter().copied();
        let unknown_seeds = seeds.filter(|it| *it != local && !known.contains(it));
        for peer in unknown_seeds.sample(&mut self.rng, SEEDS_PER_ATTEMPT) {
            self.send_sync_request(now, peer, actions);
        }
    }

    /// Starts an unscheduled sync with `peer`, unless one is in progress or was started recently.
    pub(super) fn start_sync(
        &mut self,
        now: TimePoint,
        peer: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        if self.sync.try_begin_unscheduled(now) {
            self.request_first_page(now, peer, actions);
        }
    }

    /// Answers a request with the first page of the members in differing buckets and with the known
    /// drain states, and starts a sync in the opposite direction if any bucket differs.
    pub(super) fn on_sync_request(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        digest: &TableDigest,
        actions: &mut Vec<GossipAction>,
    ) {
        let buckets = self.table.digest(&self.local).differences(digest);
        self.send_page(now, from, buckets, None, actions);
        self.send_drain_states(now, from, actions);
        if !buckets.is_empty() {
            self.start_sync(now, from, actions);
        }
    }

    /// Sends the page of the members in `buckets` that starts after the member `after`.
    pub(super) fn send_page(
        &mut self,
        now: TimePoint,
        to: SocketAddr,
        buckets: BucketSet,
        after: Option<&NodeId>,
        actions: &mut Vec<GossipAction>,
    ) {
        let (members, last) = self.page_after(buckets, after);
        let page = SyncPage { buckets, members, last };
        self.send(now, to, GossipBody::SyncPage(page), None, actions);
    }

    /// Merges a page and requests the next one, if any.
    pub(super) fn on_sync_page(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        page: &SyncPage,
        actions: &mut Vec<GossipAction>,
    ) {
        self.merge_records(now, &page.members, actions);
        if !page.buckets.is_empty() {
            self.sync.bring_periodic_forward(now);
        }
        let Some(after) = page.members.last().map(|it| it.node().clone()) else {
            self.sync.finish(from);
            return;
        };
        if page.last {
            self.sync.finish(from);
            return;
        }
        if self.sync.may_request_next(now, from) {
            self.sync.expect_page(now, from);
            let body = GossipBody::SyncNext { buckets: page.buckets, after };
            self.send(now, from, body, None, actions);
        }
    }

    /// Merges records; a failure claim about a known run is not applied, but this node probes the
    /// member.
    pub(super) fn merge_records(
        &mut self,
        now: TimePoint,
        members: &[MemberRecord],
        actions: &mut Vec<GossipAction>,
    ) {
        for record in members {
            self.on_record(now, record, ClaimSource::Sync, actions);
        }
    }

    fn request_first_page(
        &mut self,
        now: TimePoint,
        peer: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        self.sync.expect_page(now, peer);
        self.send_sync_request(now, peer, actions);
    }

    fn send_sync_request(
        &mut self,
        now: TimePoint,
        peer: SocketAddr,
        actions: &mut Vec<GossipAction>,
    ) {
        let digest = self.table.digest(&self.local);
        self.send(now, peer, GossipBody::SyncRequest { digest }, None, actions);
    }

    /// Returns the page of the members in `buckets` that starts after the member `after`, and
    /// whether it is the last one.
    fn page_after(&self, buckets: BucketSet, after: Option<&NodeId>) -> (Vec<MemberRecord>, bool) {
        if buckets.is_empty() {
            return (Vec::new(), true);
        }
        let records = self.table.iter().map(|it| &it.record);
        let rest = records.filter(|it| buckets.contains(it.node()) && after < Some(it.node()));
        let mut rest: Vec<_> = rest.collect();
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
