//! Decides when a node asks others for unused grants, which nodes, and for how many.

use std::{hash::Hash, mem, time::Duration};

use mux_model::{FastMap, NodeId, TimePoint};

/// Maximum number of bounds that are remembered; shortages of further ones are ignored.
const MAX_BOUNDS: usize = 1_024;
/// Time after the latest shortage from which on a bound is forgotten.
const BOUND_MEMORY: Duration = Duration::from_secs(5);
/// Period of the searches for bounds to forget.
const FORGET_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a shortage shows that grants are still needed.
const SHORTAGE_LIFETIME: Duration = Duration::from_millis(100);
/// Maximum number of grants that one round asks for.
const MAX_WANTED_GRANTS: u32 = 128;
/// Time within which the grants of a round were used up if the next shortage follows: the next round
/// asks for twice as many. It is shorter than the validity of borrowed grants.
const FAST_USE_PERIOD: Duration = Duration::from_millis(40);
/// Time within which the next round asks for as many grants as the one before.
const STEADY_USE_PERIOD: Duration = Duration::from_millis(120);
/// Number of peers that are asked at the same time for grants of one bound.
const PARALLEL_PEERS: u32 = 3;
/// Maximum number of calls in flight to one peer; further bounds wait and share the next call.
const CALLS_PER_PEER: u32 = 2;
/// Maximum number of calls in flight to all peers.
const MAX_CALLS_IN_FLIGHT: u32 = 24;
/// Maximum number of bounds in one call.
pub const MAX_BOUNDS_PER_CALL: usize = 64;
/// Pause after a round in which the peers lent less than was wanted: they have no more at the moment.
const DRAINED_DELAY: Duration = Duration::from_millis(40);
/// Pause after a round without any grant; doubles with each further one.
const EMPTY_DELAY: Duration = Duration::from_millis(40);
/// Maximum pause after a round without any grant.
const MAX_EMPTY_DELAY: Duration = Duration::from_millis(320);
/// Number of rounds without a grant after which a round asks only a few peers, which are others each
/// time. It bounds the control traffic of nodes that are all short.
const FULL_EMPTY_ROUNDS: u32 = 2;
/// Time for which a peer that did not reply is not asked.
const SILENT_PEER_PENALTY: Duration = Duration::from_secs(1);
/// Age of a call above which the grants of its reply are not used. A process that was frozen finds
/// replies to calls that it made before, whose grants belong to a time that is long over.
const MAX_REPLY_AGE: Duration = Duration::from_millis(250);

/// A call that asks a peer for grants.
#[derive(Debug, Clone, PartialEq)]
pub struct BorrowCall<K> {
    /// The peer.
    pub peer: NodeId,
    /// The wanted number of grants of each bound.
    pub wanted: Vec<(K, u32)>,
    /// When the call was planned.
    pub planned_at: TimePoint,
}

/// Progress of the search for grants of one bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowProgress {
    /// Number of grants received since the bound was remembered.
    pub received: u64,
    /// Whether peers are being asked, or will be without a pause.
    pub is_asking: bool,
}

/// The shortage of one bound, and the search for its grants.
#[derive(Debug)]
struct BoundShortage {
    /// Calls that found no grant since the latest round began.
    missing: u32,
    missing_at: TimePoint,
    round: Option<BorrowRound>,
    empty_rounds: u32,
    resume_at: TimePoint,
    received: u64,
    /// Number of grants of the latest round, and when it ended, if it brought all of them.
    satisfied: Option<(u32, TimePoint)>,
}

/// One search for the grants of a bound, which asks each peer at most once.
#[derive(Debug)]
struct BorrowRound {
    wanted: u32,
    /// Maximum number of peers to ask.
    max_peers: usize,
    received: u32,
    asked: Vec<NodeId>,
    calls_in_flight: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct PeerStanding {
    calls_in_flight: u32,
    silent_until: TimePoint,
}

/// Plans the calls that ask other nodes for unused grants of bounds.
///
/// Answers uneven use of a bound: most calls under it are made by a few nodes, or move from node to
/// node, while the other nodes leave their shares unused. Shortages of many bounds at once share
/// messages. If all nodes are short, as under an overload, rounds without a grant are followed by
/// growing pauses and
/// ask few of them, so that the nodes do not spend their time on questions.
#[derive(Debug)]
pub struct BorrowPlanner<K> {
    bounds: FastMap<K, BoundShortage>,
    peers: FastMap<NodeId, PeerStanding>,
    calls_in_flight: u32,
    next_forget_at: TimePoint,
}

impl<K> Default for BorrowPlanner<K> {
    fn default() -> Self {
        Self {
            bounds: FastMap::default(),
            peers: FastMap::default(),
            calls_in_flight: 0,
            next_forget_at: TimePoint::ZERO,
        }
    }
}

impl<K: Clone + Eq + Hash> BorrowPlanner<K> {
    /// Records that `count` calls found no grant of a bound; returns the progress of the search for
    /// its grants.
    pub fn on_shortage(&mut self, now: TimePoint, key: &K, count: u32) -> BorrowProgress {
        if MAX_BOUNDS <= self.bounds.len() && !self.bounds.contains_key(key) {
            self.forget_idle(now);
            if MAX_BOUNDS <= self.bounds.len() {
                return BorrowProgress { received: 0, is_asking: false };
            }
        }
        let shortage = self.bounds.entry(key.clone()).or_insert_with(|| BoundShortage::new(now));
        if SHORTAGE_LIFETIME < now.since(shortage.missing_at) {
            shortage.missing = 0;
        }
        shortage.missing = shortage.missing.saturating_add(count).min(MAX_WANTED_GRANTS);
        shortage.missing_at = now;
        shortage.progress(now)
    }

    /// Returns the progress of the search for grants of a bound.
    pub fn progress(&self, now: TimePoint, key: &K) -> BorrowProgress {
        let none = BorrowProgress { received: 0, is_asking: false };
        self.bounds.get(key).map_or(none, |it| it.progress(now))
    }

    /// Returns the number of bounds that are remembered.
    pub fn bound_count(&self) -> usize {
        self.bounds.len()
    }

    /// Returns the calls to make now; `peers` are the nodes that can be asked, in the order in which
    /// to ask them. Each call has to be followed by [`Self::on_reply`] or [`Self::on_no_reply`].
    pub fn plan_calls(&mut self, now: TimePoint, peers: &[NodeId]) -> Vec<BorrowCall<K>> {
        self.forget_idle(now);
        // A round that has ended lets the next one begin at once.
        self.end_rounds(now, peers);
        self.bounds.values_mut().for_each(|it| it.begin_round(now));
        let mut calls = Vec::new();
        for peer in peers {
            let standing = self.peers.get(peer).copied().unwrap_or_default();
            let is_usable =
                standing.silent_until <= now && standing.calls_in_flight < CALLS_PER_PEER;
            if !is_usable || MAX_CALLS_IN_FLIGHT <= self.calls_in_flight {
                continue;
            }
            let mut wanted = Vec::new();
            for (key, shortage) in &mut self.bounds {
                if wanted.len() < MAX_BOUNDS_PER_CALL
                    && let Some(count) = shortage.round.as_mut().and_then(|it| it.ask(peer))
                {
                    wanted.push((key.clone(), count));
                }
            }
            if !wanted.is_empty() {
                self.calls_in_flight += 1;
                self.peers.entry(peer.clone()).or_default().calls_in_flight += 1;
                calls.push(BorrowCall { peer: peer.clone(), wanted, planned_at: now });
            }
        }
        self.end_rounds(now, peers);
        calls
    }

    /// Records the grants that a peer lent, in the order of the call; returns those that may be used.
    pub fn on_reply(
        &mut self,
        now: TimePoint,
        call: &BorrowCall<K>,
        lent: &[u32],
    ) -> Vec<(K, u32)> {
        self.end_call(call);
        let is_usable = now.since(call.planned_at) <= MAX_REPLY_AGE;
        let mut received = Vec::new();
        for (idx, (key, wanted)) in call.wanted.iter().enumerate() {
            let lent = lent.get(idx).copied().unwrap_or_default().min(*wanted);
            let Some(shortage) = self.bounds.get_mut(key) else {
                continue;
            };
            let usable = if is_usable { lent } else { 0 };
            shortage.on_reply(usable);
            if 0 < usable {
                received.push((key.clone(), usable));
            }
        }
        received
    }

    /// Records that a peer did not reply.
    pub fn on_no_reply(&mut self, now: TimePoint, call: &BorrowCall<K>) {
        self.end_call(call);
        for (key, _) in &call.wanted {
            if let Some(shortage) = self.bounds.get_mut(key) {
                shortage.on_reply(0);
            }
        }
        self.peers.retain(|_, it| 0 < it.calls_in_flight || now < it.silent_until);
        let standing = self.peers.entry(call.peer.clone()).or_default();
        standing.silent_until = now + SILENT_PEER_PENALTY;
    }

    /// Ends the rounds that have what they wanted, or no peer left to ask.
    fn end_rounds(&mut self, now: TimePoint, peers: &[NodeId]) {
        let standings = &self.peers;
        let may_ask =
            |it: &NodeId| standings.get(it).is_none_or(|standing| standing.silent_until <= now);
        for shortage in self.bounds.values_mut() {
            shortage
                .end_round(now, |asked| peers.iter().any(|it| may_ask(it) && !asked.contains(it)));
        }
    }

    fn end_call(&mut self, call: &BorrowCall<K>) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        if let Some(standing) = self.peers.get_mut(&call.peer) {
            standing.calls_in_flight = standing.calls_in_flight.saturating_sub(1);
        }
    }

    /// Forgets bounds without a recent shortage, so that the memory for them stays bounded.
    fn forget_idle(&mut self, now: TimePoint) {
        if now < self.next_forget_at {
            return;
        }
        self.next_forget_at = now + FORGET_PERIOD;
        self.bounds.retain(|_, it| it.round.is_some() || now.since(it.missing_at) < BOUND_MEMORY);
    }
}

impl BoundShortage {
    fn new(now: TimePoint) -> Self {
        Self {
            missing: 0,
            missing_at: now,
            round: None,
            empty_rounds: 0,
            resume_at: now,
            received: 0,
            satisfied: None,
        }
    }

    fn progress(&self, now: TimePoint) -> BorrowProgress {
        BorrowProgress {
            received: self.received,
            is_asking: self.round.is_some() || 0 < self.missing && self.resume_at <= now,
        }
    }

    fn begin_round(&mut self, now: TimePoint) {
        let is_needed = 0 < self.missing && now.since(self.missing_at) <= SHORTAGE_LIFETIME;
        if self.round.is_none() && self.resume_at <= now && is_needed {
            let missing = mem::take(&mut self.missing);
            let wanted = missing.max(self.expected_use(now)).min(MAX_WANTED_GRANTS);
            let max_peers = match self.empty_rounds {
                ..FULL_EMPTY_ROUNDS => usize::MAX,
                _ => PARALLEL_PEERS as usize,
            };
            let round = BorrowRound {
                wanted,
                max_peers,
                received: 0,
                asked: Vec::new(),
                calls_in_flight: 0,
            };
            self.round = Some(round);
        }
    }

    /// Returns the number of grants to expect from how soon those of the latest round were used up, so
    /// that a lasting need leads to few rounds.
    fn expected_use(&self, now: TimePoint) -> u32 {
        match self.satisfied {
            Some((wanted, at)) if now.since(at) < FAST_USE_PERIOD => wanted.saturating_mul(2),
            Some((wanted, at)) if now.since(at) < STEADY_USE_PERIOD => wanted,
            _ => 0,
        }
    }

    /// Ends a round that has what it wanted, or has asked all peers.
    fn end_round(&mut self, now: TimePoint, has_unasked: impl FnOnce(&[NodeId]) -> bool) {
        let Some(round) = &self.round else {
            return;
        };
        let is_satisfied = round.wanted <= round.received;
        if 0 < round.calls_in_flight
            || !is_satisfied && round.asked.len() < round.max_peers && has_unasked(&round.asked)
        {
            return;
        }
        let pause = match round.received {
            _ if is_satisfied => Duration::ZERO,
            0 => (EMPTY_DELAY * (1 << self.empty_rounds.min(8))).min(MAX_EMPTY_DELAY),
            _ => DRAINED_DELAY,
        };
        self.empty_rounds = if round.received == 0 { self.empty_rounds + 1 } else { 0 };
        self.resume_at = now + pause;
        self.satisfied = is_satisfied.then_some((round.wanted, now));
        self.round = None;
    }

    fn on_reply(&mut self, lent: u32) {
        self.received += u64::from(lent);
        if let Some(round) = &mut self.round {
            round.calls_in_flight = round.calls_in_flight.saturating_sub(1);
            round.received = round.received.saturating_add(lent);
        }
    }
}

impl BorrowRound {
    /// Returns the number of grants for which `peer` is to be asked now; `None` if it is not asked.
    ///
    /// Each peer is asked for a part, because most of them have a few grants.
    fn ask(&mut self, peer: &NodeId) -> Option<u32> {
        let missing = self.wanted.saturating_sub(self.received);
        if missing == 0
            || self.max_peers <= self.asked.len()
            || PARALLEL_PEERS <= self.calls_in_flight
            || self.asked.contains(peer)
        {
            return None;
        }
        self.asked.push(peer.clone());
        self.calls_in_flight += 1;
        Some(missing.div_ceil(PARALLEL_PEERS))
    }
}
