//! Simulated network of gossip machines on a virtual clock.

#![allow(dead_code, reason = "each test program uses only part of this module")]

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use mux_membership::{
    GossipAction, GossipEvent, GossipMachine, GossipSettings, MemberState, MemberView, NodeIdentity,
};
use mux_model::{NodeIncarnation, RevisionNumber, TimePoint};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const TICK: Duration = Duration::from_millis(100);
const PULL_DELAY: Duration = Duration::from_millis(20);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Tick(usize),
    Datagram(usize, SocketAddr, Vec<u8>),
    PullRevision(usize, RevisionNumber),
}

pub struct SimulatedNode {
    pub machine: GossipMachine,
    pub running: bool,
    pub paused: bool,
    /// Side of a partition; nodes of different groups do not reach each other.
    pub group: u8,
    pub events: Vec<(TimePoint, GossipEvent)>,
    pub datagrams_out: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub bytes_in: u64,
    /// Events that arrived while the node was paused.
    deferred: Vec<ScheduledEvent>,
}

pub struct GossipNet {
    pub nodes: Vec<SimulatedNode>,
    pub now: TimePoint,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Pairs of sender and receiver between which all datagrams are lost.
    pub broken_links: Vec<(usize, usize)>,
    /// Whether nodes pull and apply the higher revisions of which an event informs them.
    pub pull_revisions: bool,
    pub longest_datagram: usize,
    settings: GossipSettings,
    rng: StdRng,
    sequence: u64,
    queue: BinaryHeap<Reverse<(TimePoint, u64, ScheduledEvent)>>,
}

pub fn identity(idx: usize) -> NodeIdentity {
    let address = |port| SocketAddr::from(([10, 0, (idx / 200) as u8, (idx % 200) as u8], port));
    NodeIdentity {
        node: format!("node-{idx:03}").into(),
        availability_zone: format!("zone-{}", idx % 3).into(),
        peer: address(7000),
        caller: address(7001),
        operator: address(7002),
    }
}

fn default_seeds() -> [SocketAddr; 3] {
    [0, 1, 2].map(|it| identity(it).peer)
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 200 + usize::from(low)
}

impl GossipNet {
    /// Starts `count` nodes with the first three as seeds.
    pub fn start(count: usize, seed: u64, settings: GossipSettings) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (nodes, queue, broken_links) = (Vec::new(), BinaryHeap::new(), Vec::new());
        let now = TimePoint::from_millis(1);
        let mut net = Self {
            nodes,
            now,
            loss: 0.0,
            broken_links,
            pull_revisions: true,
            longest_datagram: 0,
            settings,
            rng,
            sequence: 0,
            queue,
        };
        for idx in 0..count {
            net.add_node(idx, &default_seeds());
        }
        net
    }

    pub fn add_node(&mut self, idx: usize, seeds: &[SocketAddr]) {
        let machine = self.new_machine(idx);
        let (events, deferred) = (Vec::new(), Vec::new());
        self.nodes.push(SimulatedNode {
            machine,
            running: true,
            paused: false,
            group: 0,
            events,
            deferred,
            datagrams_out: 0,
            bytes_out: 0,
            datagrams_in: 0,
            bytes_in: 0,
        });
        let offset = TICK.mul_f64(self.rng.random());
        self.schedule(offset, ScheduledEvent::Tick(idx));
        self.step(idx, |machine, now, actions| machine.join(now, seeds, actions));
    }

    /// Starts a new run of node `idx`.
    pub fn restart(&mut self, idx: usize) {
        self.nodes[idx].machine = self.new_machine(idx);
        self.nodes[idx].running = true;
        self.step(idx, |machine, now, actions| machine.join(now, &default_seeds(), actions));
    }

    /// Drops the events deferred for the paused node `idx`, except ticks.
    pub fn drop_deferred_except_ticks(&mut self, idx: usize) {
        self.nodes[idx].deferred.retain(|it| matches!(it, ScheduledEvent::Tick(_)));
    }

    pub fn resume(&mut self, idx: usize) {
        self.nodes[idx].paused = false;
        for scheduled in std::mem::take(&mut self.nodes[idx].deferred) {
            self.schedule(Duration::ZERO, scheduled);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` returns true, checked every tick, or until `end`.
    ///
    /// Returns whether `done` returned true.
    pub fn run_until(&mut self, end: TimePoint, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let mut next_check = self.now;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, scheduled))) = self.queue.pop() else { break };
            self.now = at;
            self.process(scheduled);
            if next_check <= self.now {
                next_check = self.now + TICK;
                if done(self) {
                    return true;
                }
            }
        }
        self.now = end;
        done(self)
    }

    pub fn view(&mut self, idx: usize) -> Arc<MemberView> {
        self.nodes[idx].machine.members()
    }

    /// Returns whether the view of every running node consists of exactly the running nodes, all
    /// alive.
    pub fn converged(&mut self) -> bool {
        let running: Vec<_> = (0..self.nodes.len()).filter(|it| self.nodes[*it].running).collect();
        let peers: Vec<_> = running.iter().map(|it| identity(*it).peer).collect();
        running.iter().all(|idx| {
            let view = self.view(*idx);
            let alive = view.in_state(MemberState::Alive).map(|it| it.identity.peer);
            view.members.len() == peers.len() && alive.eq(peers.iter().copied())
        })
    }

    /// Calls the machine of node `idx` and executes its actions.
    pub fn step(
        &mut self,
        idx: usize,
        call: impl FnOnce(&mut GossipMachine, TimePoint, &mut Vec<GossipAction>),
    ) {
        let mut actions = Vec::new();
        call(&mut self.nodes[idx].machine, self.now, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send { to, bytes } => self.transmit(idx, to, bytes),
                GossipAction::Event(event) => self.record_event(idx, event),
            }
        }
    }

    fn new_machine(&self, idx: usize) -> GossipMachine {
        let run = NodeIncarnation(1_700_000_000_000 + self.now.as_micros() / 1_000);
        let seed = self.sequence ^ (idx as u64) << 32;
        GossipMachine::new(self.settings.clone(), identity(idx), run, self.now, seed)
    }

    fn schedule(&mut self, delay: Duration, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence, scheduled)));
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        let (ScheduledEvent::Tick(idx)
        | ScheduledEvent::Datagram(idx, ..)
        | ScheduledEvent::PullRevision(idx, _)) = scheduled;
        if self.nodes[idx].paused {
            return self.nodes[idx].deferred.push(scheduled);
        }
        if let ScheduledEvent::Tick(_) = scheduled {
            self.schedule(TICK, ScheduledEvent::Tick(idx));
        }
        if !self.nodes[idx].running {
            return;
        }
        match scheduled {
            ScheduledEvent::Tick(_) => self.step(idx, GossipMachine::on_tick),
            ScheduledEvent::PullRevision(_, revision) => {
                self.step(idx, |machine, now, actions| {
                    machine.set_revision(now, revision, actions)
                });
            }
            ScheduledEvent::Datagram(_, from, bytes) => {
                self.nodes[idx].datagrams_in += 1;
                self.nodes[idx].bytes_in += bytes.len() as u64;
                self.step(idx, |machine, now, out| machine.on_datagram(now, from, &bytes, out));
            }
        }
    }

    fn record_event(&mut self, idx: usize, event: GossipEvent) {
        match &event {
            GossipEvent::PeerAhead { revision, .. }
            | GossipEvent::RevisionAnnounced { revision, .. }
                if self.pull_revisions =>
            {
                self.schedule(PULL_DELAY, ScheduledEvent::PullRevision(idx, *revision));
            }
            _ => {}
        }
        self.nodes[idx].events.push((self.now, event));
    }

    fn transmit(&mut self, idx: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.nodes[idx].datagrams_out += 1;
        self.nodes[idx].bytes_out += bytes.len() as u64;
        self.longest_datagram = self.longest_datagram.max(bytes.len());
        let target = index_of(to);
        if self.nodes.len() <= target {
            return;
        }
        let link_broken = self.broken_links.contains(&(idx, target));
        let unreachable = link_broken || self.nodes[idx].group != self.nodes[target].group;
        if unreachable || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(1_000..4_000));
        self.schedule(delay, ScheduledEvent::Datagram(target, identity(idx).peer, bytes));
    }
}
