//! The gossip protocol as a state machine without I/O.

mod dissemination;
mod probing;
mod receiving;
mod syncing;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use mux_model::{NodeId, NodeIncarnation, RevisionNumber, TimePoint, UpstreamId};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    CounterReading, GossipAction, GossipEvent, GossipSettings, MemberRecord, MemberState,
    MemberView, NodeIdentity, UpstreamDrainState, codec::GossipCodec,
    drain_state_table::DrainStateTable, member_table::MemberTable, message::MemberClaim,
    probe_tracker::ProbeTracker, retransmit_queue::RetransmitQueue,
    revision_dissemination::RevisionDissemination, sync_schedule::SyncSchedule,
};

const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(10);

/// State of the gossip protocol at one node.
///
/// The machine opens no socket and reads no clock: it receives datagrams and the current time, and
/// returns datagrams to send and events for the rest of the node.
#[derive(Debug)]
pub struct GossipMachine {
    settings: GossipSettings,
    codec: GossipCodec,
    rng: StdRng,
    local: MemberRecord,
    started_at: TimePoint,
    table: MemberTable,
    probes: ProbeTracker,
    sync: SyncSchedule,
    revision_dissemination: RevisionDissemination,
    drain_states: DrainStateTable,
    member_updates: RetransmitQueue<MemberUpdate>,
    drain_updates: RetransmitQueue<UpstreamId>,
    /// Members whose reports are still to be relayed in the current round.
    report_round: Vec<NodeId>,
    /// Failure claims that were not applied; this node probes their members itself, and a member
    /// becomes suspect if it does not answer.
    unverified_claims: VecDeque<MemberClaim>,
    view: Arc<MemberView>,
    /// Whether `view` has to be rebuilt.
    view_outdated: bool,
    /// Whether the next tick pushes updates because a drain state changed.
    drain_push_due: bool,
    /// Whether a member has answered a probe since the start or the last process pause.
    verified: bool,
    /// Time of the last answer to a probe, or of the start if there was none.
    last_contact: TimePoint,
    last_tick: TimePoint,
    next_probe: TimePoint,
    next_dead_probe: TimePoint,
    next_claim_check: TimePoint,
    next_refutation: TimePoint,
    next_housekeeping: TimePoint,
    /// Until this time, failure claims of peers are not applied; this node probes the members
    /// instead.
    healing_until: TimePoint,
    /// Number of malformed datagrams.
    malformed: u64,
    /// Number of datagrams from another cluster or protocol version.
    foreign: u64,
}

/// Update about a member, disseminated with outgoing messages.
#[derive(Debug, Clone, PartialEq, Eq)]
enum MemberUpdate {
    /// The full record, which other nodes may lack.
    Record(NodeId),
    /// The state and incarnation only.
    Claim(NodeId),
}

impl GossipMachine {
    /// Creates the machine for a node that starts at `now`.
    ///
    /// `run` is the Unix time of the start in milliseconds; it must be higher than that of any
    /// earlier process with the same name. `rng_seed` initializes the random number generator.
    pub fn new(
        settings: GossipSettings,
        identity: NodeIdentity,
        run: NodeIncarnation,
        now: TimePoint,
        rng_seed: u64,
    ) -> Self {
        let codec = GossipCodec::new(&settings.cluster);
        let local = MemberRecord::starting(identity, run);
        let mut machine = Self {
            codec,
            rng: StdRng::seed_from_u64(rng_seed),
            local,
            started_at: now,
            table: MemberTable::default(),
            probes: ProbeTracker::default(),
            sync: SyncSchedule::default(),
            revision_dissemination: RevisionDissemination::default(),
            drain_states: DrainStateTable::default(),
            member_updates: RetransmitQueue::default(),
            drain_updates: RetransmitQueue::default(),
            report_round: Vec::new(),
            unverified_claims: VecDeque::new(),
            view: Arc::default(),
            view_outdated: true,
            drain_push_due: false,
            verified: false,
            last_contact: now,
            last_tick: now,
            next_probe: now,
            next_dead_probe: now,
            next_claim_check: now,
            next_refutation: now,
            next_housekeeping: now,
            healing_until: now,
            malformed: 0,
            foreign: 0,
            settings,
        };
        machine.member_updates.push(MemberUpdate::Record(machine.local.node().clone()));
        machine
    }

    /// Replaces the seed addresses and starts a sync with some of those that are not live members.
    ///
    /// The addresses may be outdated. The caller repeats the call when its list changes.
    pub fn join(&mut self, now: TimePoint, seeds: &[SocketAddr], actions: &mut Vec<GossipAction>) {
        self.sync.set_seeds(now, seeds);
        self.sync_with_seeds(now, actions);
    }

    /// Announces a planned stop; the node stays a member until [`Self::announce_departure`].
    pub fn announce_leaving(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        if self.local.state != MemberState::Alive {
            return;
        }
        self.local.state = MemberState::Leaving;
        self.disseminate_local_state(now, actions);
    }

    /// Announces that this node has left the cluster.
    pub fn announce_departure(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        self.local.state = MemberState::Dead;
        self.disseminate_local_state(now, actions);
    }

    /// Sets the revision that this node has applied and pushes it to a few members.
    ///
    /// A revision that is not higher than the applied one is ignored.
    pub fn set_revision(
        &mut self,
        now: TimePoint,
        revision: RevisionNumber,
        actions: &mut Vec<GossipAction>,
    ) {
        if revision <= self.local.revision {
            return;
        }
        self.local.revision = revision;
        self.view_outdated = true;
        self.apply_pending_announcement(now, actions);
        self.push_updates(now, actions);
    }

    /// Announces a revision that this node has applied; the members acknowledge it to this node.
    pub fn announce_revision(
        &mut self,
        now: TimePoint,
        revision: RevisionNumber,
        actions: &mut Vec<GossipAction>,
    ) {
        self.start_announcement(now, revision);
        self.local.revision = self.local.revision.max(revision);
        self.view_outdated = true;
        self.push_updates(now, actions);
    }

    /// Sets the number of queries in flight that this node reports to the members.
    pub fn set_load(&mut self, load: u16) {
        self.local.load = load;
    }

    /// Disseminates whether `upstream` is draining, unless its known drain state is the same.
    pub fn set_upstream_draining(&mut self, now: TimePoint, upstream: UpstreamId, draining: bool) {
        let known = self.drain_states.get(upstream);
        if known.is_some_and(|it| it.draining == draining) {
            return;
        }
        let next_version = known.map_or(0, |it| it.version.saturating_add(1));
        let version = next_version.max(self.unix_ms(now));
        self.disseminate_drain_state(now, UpstreamDrainState { upstream, draining, version });
    }

    /// Returns the known drain states of upstreams.
    pub fn upstream_drain_states(&self) -> Vec<UpstreamDrainState> {
        self.drain_states.iter().copied().collect()
    }

    /// Processes a datagram; malformed and foreign ones are counted and dropped.
    pub fn on_datagram(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        bytes: &[u8],
        actions: &mut Vec<GossipAction>,
    ) {
        match self.codec.decode(bytes) {
            Ok(message) => self.receive(now, from, message, actions),
            Err(error) => self.count_dropped(error),
        }
    }

    /// Runs the operations that are due; to be called about every 100 ms.
    pub fn on_tick(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        if self.settings.pause_limit < now.since(self.last_tick) {
            self.on_pause(now, actions);
        }
        self.last_tick = now;
        self.handle_overdue_probes(now, actions);
        self.send_due_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.tick_sync(now, actions);
        self.tick_updates(now, actions);
        self.tick_housekeeping(now);
    }

    /// Handles a pause of this process.
    ///
    /// Cancels the probes in flight and restarts the suspicion timeouts, as this node could not
    /// receive answers or refutations during the pause. The view is unverified until a member
    /// answers a probe.
    pub fn on_pause(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        self.last_tick = now;
        self.verified = false;
        self.view_outdated = true;
        self.probes.cancel_all();
        self.table.restart_suspicion_timers(now);
        self.probe_random_members(now, actions);
    }

    /// Returns the current member view, which is rebuilt only after a change.
    pub fn members(&mut self) -> Arc<MemberView> {
        if self.view_outdated {
            self.view = Arc::new(self.build_view());
            self.view_outdated = false;
        }
        Arc::clone(&self.view)
    }

    /// Returns the records of all known members, including this node, for transfer over TCP.
    pub fn export(&self) -> Vec<MemberRecord> {
        self.table.iter().map(|it| &it.record).chain([&self.local]).cloned().collect()
    }

    /// Merges records exported by another member.
    pub fn import(
        &mut self,
        now: TimePoint,
        records: &[MemberRecord],
        actions: &mut Vec<GossipAction>,
    ) {
        self.merge_records(now, records, actions);
    }

    /// Adds the numbers of dropped datagrams to `reading`.
    pub fn add_counts(&self, reading: &mut CounterReading) {
        reading.malformed += self.malformed;
        reading.foreign += self.foreign;
    }

    fn build_view(&self) -> MemberView {
        let records = self.table.live().map(|it| &it.record);
        let mut members: Vec<_> = records.chain([&self.local]).cloned().collect();
        members.sort_unstable_by(|lhs, rhs| lhs.node().cmp(rhs.node()));
        MemberView { members, verified: self.verified, last_contact: self.last_contact }
    }

    fn tick_housekeeping(&mut self, now: TimePoint) {
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_PERIOD;
        self.drain_states.expire(now, self.settings.drain_state_retention);
        let retention = self.settings.dead_retention;
        self.table.remove_expired(|it| retention <= now.since(it.since));
    }

    fn unix_ms(&self, now: TimePoint) -> u64 {
        let elapsed = now.since(self.started_at).as_millis();
        self.local.run.0.saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    fn member_count(&self) -> usize {
        self.table.live_count() + 1
    }
}

/// Appends `event` to `actions`.
fn emit(event: GossipEvent, actions: &mut Vec<GossipAction>) {
    actions.push(GossipAction::Event(event));
}
