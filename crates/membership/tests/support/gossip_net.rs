//! Passes datagrams between gossip machines on a virtual clock.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use mux_membership::{
    GossipAction, GossipEvent, GossipMachine, GossipSettings, MemberState, MemberView, NodeIdentity,
};
use mux_model::{NodeIncarnation, RevisionNumber, TimePoint};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const TICK: Duration = Duration::from_millis(100);
const PULL_TIME: Duration = Duration::from_millis(20);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Tick(usize),
    Datagram(usize, SocketAddr, Vec<u8>),
    Pull(usize, RevisionNumber),
}

pub struct NetNode {
    pub machine: GossipMachine,
    pub running: bool,
    pub paused: bool,
    pub group: u8,
    pub events: Vec<(TimePoint, GossipEvent)>,
    pub datagrams_out: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub bytes_in: u64,
    held: Vec<Happening>,
}

pub struct GossipNet {
    pub nodes: Vec<NetNode>,
    pub now: TimePoint,
    pub loss: f64,
    pub cut_links: Vec<(usize, usize)>,
    /// Whether nodes apply the revisions that they hear of.
    pub pulls: bool,
    pub longest_datagram: usize,
    settings: GossipSettings,
    rng: StdRng,
    order: u64,
    queue: BinaryHeap<Reverse<(TimePoint, u64, Happening)>>,
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
    /// Starts `count` nodes that know the first three as seeds.
    pub fn start(count: usize, seed: u64, settings: GossipSettings) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (nodes, queue, cut_links) = (Vec::new(), BinaryHeap::new(), Vec::new());
        let now = TimePoint::from_millis(1);
        let mut net = Self {
            nodes,
            now,
            loss: 0.0,
            cut_links,
            pulls: true,
            longest_datagram: 0,
            settings,
            rng,
            order: 0,
            queue,
        };
        for idx in 0..count {
            net.add_node(idx, &default_seeds());
        }
        net
    }

    pub fn add_node(&mut self, idx: usize, seeds: &[SocketAddr]) {
        let machine = self.new_machine(idx);
        let (events, held) = (Vec::new(), Vec::new());
        self.nodes.push(NetNode {
            machine,
            running: true,
            paused: false,
            group: 0,
            events,
            held,
            datagrams_out: 0,
            bytes_out: 0,
            datagrams_in: 0,
            bytes_in: 0,
        });
        let offset = TICK.mul_f64(self.rng.random());
        self.schedule(offset, Happening::Tick(idx));
        self.step(idx, |machine, now, actions| machine.join(now, seeds, actions));
    }

    /// Starts a new process under the name of node `idx`.
    pub fn restart(&mut self, idx: usize) {
        self.nodes[idx].machine = self.new_machine(idx);
        self.nodes[idx].running = true;
        self.step(idx, |machine, now, actions| machine.join(now, &default_seeds(), actions));
    }

    /// Drops the datagrams that wait for a paused node.
    pub fn drop_waiting(&mut self, idx: usize) {
        self.nodes[idx].held.retain(|it| matches!(it, Happening::Tick(_)));
    }

    pub fn wake(&mut self, idx: usize) {
        self.nodes[idx].paused = false;
        for happening in std::mem::take(&mut self.nodes[idx].held) {
            self.schedule(Duration::ZERO, happening);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds, which is looked at every tick; returns whether it did.
    pub fn run_until(&mut self, end: TimePoint, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let mut next_look = self.now;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, happening))) = self.queue.pop() else { break };
            self.now = at;
            self.process(happening);
            if next_look <= self.now {
                next_look = self.now + TICK;
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

    /// Returns whether every running node sees all running nodes, and only them, as alive.
    pub fn converged(&mut self) -> bool {
        let running: Vec<_> = (0..self.nodes.len()).filter(|it| self.nodes[*it].running).collect();
        let peers: Vec<_> = running.iter().map(|it| identity(*it).peer).collect();
        running.iter().all(|idx| {
            let view = self.view(*idx);
            let alive = view.in_state(MemberState::Alive).map(|it| it.identity.peer);
            view.members.len() == peers.len() && alive.eq(peers.iter().copied())
        })
    }

    /// Calls the machine of node `idx` and carries out its actions.
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
                GossipAction::Event(event) => self.note_event(idx, event),
            }
        }
    }

    fn new_machine(&self, idx: usize) -> GossipMachine {
        let run = NodeIncarnation(1_700_000_000_000 + self.now.as_micros() / 1_000);
        let seed = self.order ^ (idx as u64) << 32;
        GossipMachine::new(self.settings.clone(), identity(idx), run, self.now, seed)
    }

    fn schedule(&mut self, delay: Duration, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order, happening)));
    }

    fn process(&mut self, happening: Happening) {
        let (Happening::Tick(idx) | Happening::Datagram(idx, ..) | Happening::Pull(idx, _)) =
            happening;
        if self.nodes[idx].paused {
            return self.nodes[idx].held.push(happening);
        }
        if let Happening::Tick(_) = happening {
            self.schedule(TICK, Happening::Tick(idx));
        }
        if !self.nodes[idx].running {
            return;
        }
        match happening {
            Happening::Tick(_) => self.step(idx, GossipMachine::on_tick),
            Happening::Pull(_, revision) => {
                self.step(idx, |machine, now, actions| {
                    machine.set_revision(now, revision, actions)
                });
            }
            Happening::Datagram(_, from, bytes) => {
                self.nodes[idx].datagrams_in += 1;
                self.nodes[idx].bytes_in += bytes.len() as u64;
                self.step(idx, |machine, now, out| machine.on_datagram(now, from, &bytes, out));
            }
        }
    }

    fn note_event(&mut self, idx: usize, event: GossipEvent) {
        match &event {
            GossipEvent::PeerAhead { revision, .. }
            | GossipEvent::RevisionAnnounced { revision, .. }
                if self.pulls =>
            {
                self.schedule(PULL_TIME, Happening::Pull(idx, *revision));
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
        let link_cut = self.cut_links.contains(&(idx, target));
        let cut = link_cut || self.nodes[idx].group != self.nodes[target].group;
        if cut || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(1_000..4_000));
        self.schedule(delay, Happening::Datagram(target, identity(idx).peer, bytes));
    }
}
