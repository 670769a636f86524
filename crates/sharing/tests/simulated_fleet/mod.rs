//! A fleet of schedules and planners that exchange messages in simulated time.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::{NodeId, TimePoint};
use mux_sharing::{BorrowCall, BorrowPlanner, GrantLimit, GrantSchedule};

const BOUND_NAME: &str = "bound";
/// Time that a message takes.
const MESSAGE_MS: u64 = 2;
/// Time limit of a call.
const CALL_TIMEOUT_MS: u64 = 150;
/// Length of the windows in which used grants are counted.
const WINDOW_MS: u64 = 2_000;
/// Lifetime of unused grants.
const UNUSED_MS: u64 = 1_000;

type Call = BorrowCall<&'static str>;

#[derive(Default)]
struct FleetNode {
    schedule: Option<GrantSchedule>,
    planner: BorrowPlanner<&'static str>,
    open_calls: Vec<Call>,
    demand_per_s: f64,
    /// Calls that are due, as a fraction.
    due_calls: f64,
    used: u32,
    dead: bool,
    frozen_until: u64,
}

/// A question to a node, or the reply with the lent grants.
struct Message {
    due: u64,
    to: usize,
    from: usize,
    call: Call,
    lent: Option<u32>,
}

pub struct Fleet {
    rate_per_s: f64,
    nodes: Vec<FleetNode>,
    /// Number of nodes by which each divides the bound.
    counted: usize,
    most_counted: usize,
    messages: Vec<Message>,
    now: u64,
    pub loss: f64,
    random: u64,
    pub asked: u32,
    /// Times of the used grants.
    used_at: Vec<u64>,
}

impl Fleet {
    pub fn start(nodes: usize, rate_per_s: f64) -> Self {
        let mut fleet = Self {
            rate_per_s,
            nodes: Vec::new(),
            counted: 0,
            most_counted: 0,
            messages: Vec::new(),
            now: 0,
            loss: 0.0,
            random: 1,
            asked: 0,
            used_at: Vec::new(),
        };
        (0..nodes).for_each(|_| fleet.join());
        fleet
    }

    pub fn join(&mut self) {
        self.nodes.push(FleetNode::default());
        self.set_counted(self.counted + 1);
        self.restart(self.nodes.len() - 1);
    }

    pub fn set_counted(&mut self, nodes: usize) {
        self.counted = nodes;
        self.most_counted = self.most_counted.max(nodes);
    }

    pub fn set_demand(&mut self, node: usize, calls_per_s: f64) {
        self.nodes[node].demand_per_s = calls_per_s;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].dead = true;
    }

    pub fn freeze(&mut self, node: usize, millis: u64) {
        self.nodes[node].frozen_until = self.now + millis;
    }

    pub fn restart(&mut self, node: usize) {
        let unused_lifetime = Duration::from_millis(UNUSED_MS);
        let limit = GrantLimit { rate_per_s: self.rate_per_s, unused_lifetime };
        let (now, share, phase) = (self.at(), self.share(), self.next_random());
        let schedule = GrantSchedule::new(now, limit, share, Duration::ZERO, phase);
        let FleetNode { demand_per_s, used, .. } = self.nodes[node];
        let schedule = Some(schedule);
        self.nodes[node] = FleetNode { schedule, demand_per_s, used, ..FleetNode::default() };
    }

    pub fn used_by(&self, node: usize) -> f64 {
        self.nodes[node].used.into()
    }

    pub fn used(&self) -> usize {
        self.used_at.len()
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            self.deliver();
            for idx in 0..self.nodes.len() {
                if self.is_running(idx) {
                    self.step(idx);
                }
            }
        }
    }

    /// Expects that no window has more used grants than the rate, the unused grants, and the time for
    /// which borrowed ones are valid allow, and one for each node.
    pub fn expect_bound_kept(&self) {
        let seconds = (WINDOW_MS as f64 + UNUSED_MS as f64 * 1.25) / 1e3;
        let allowed = self.rate_per_s * seconds + self.most_counted as f64;
        for (start, from) in self.used_at.iter().enumerate() {
            let end = self.used_at.partition_point(|it| *it < from + WINDOW_MS);
            expect_that!((end - start) as f64, le(allowed), "window from {from} ms");
        }
    }

    fn share(&self) -> f64 {
        1.0 / self.counted as f64
    }

    fn at(&self) -> TimePoint {
        TimePoint::from_millis(self.now)
    }

    fn is_running(&self, node: usize) -> bool {
        !self.nodes[node].dead && self.nodes[node].frozen_until <= self.now
    }

    fn deliver(&mut self) {
        let (now, share) = (self.at(), self.share());
        for message in std::mem::take(&mut self.messages) {
            let Message { to, from, .. } = message;
            // What is sent to a frozen process waits in its socket.
            if self.now < message.due || !self.is_running(to) {
                self.messages.push(message);
                continue;
            }
            let node = &mut self.nodes[to];
            let schedule = node.schedule.as_mut().expect("a started node");
            let Some(lent) = message.lent else {
                let lent = schedule.lend_unneeded(now, share, message.call.wanted[0].1);
                self.send(from, to, message.call, Some(lent));
                continue;
            };
            // A reply is found before the time limit is noticed.
            let Some(idx) = node.open_calls.iter().position(|it| *it == message.call) else {
                continue;
            };
            let call = node.open_calls.swap_remove(idx);
            for (_, count) in node.planner.on_reply(now, &call, &[lent]) {
                schedule.add_borrowed(now, count);
            }
        }
    }

    fn step(&mut self, idx: usize) {
        let (now, share, count) = (self.at(), self.share(), self.nodes.len());
        let offset = (self.next_random() * count as f64) as usize;
        let peers = (0..count).map(|it| (it + offset) % count).filter(|it| *it != idx);
        let peers: Vec<_> = peers.map(|it| NodeId::from(it.to_string())).collect();
        let node = &mut self.nodes[idx];
        let schedule = node.schedule.as_mut().expect("a started node");
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        for late in node.open_calls.extract_if(.., |it| timeout <= now.since(it.planned_at)) {
            node.planner.on_no_reply(now, &late);
        }
        node.due_calls += node.demand_per_s / 1e3;
        while 1.0 <= node.due_calls {
            node.due_calls -= 1.0;
            if schedule.time_to_grants(now, share, 1).is_zero() {
                schedule.use_grant(now, share);
                node.used += 1;
                self.used_at.push(self.now);
            } else {
                node.planner.on_shortage(now, &BOUND_NAME, 1);
            }
        }
        let calls = node.planner.plan_calls(now, &peers);
        node.open_calls.extend(calls.iter().cloned());
        for call in calls {
            self.asked += 1;
            self.send(call.peer.as_str().parse().expect("an index"), idx, call, None);
        }
    }

    fn send(&mut self, to: usize, from: usize, call: Call, lent: Option<u32>) {
        if self.loss <= self.next_random() {
            self.messages.push(Message { due: self.now + MESSAGE_MS, to, from, call, lent });
        }
    }

    /// Returns a number from 0 to 1.
    fn next_random(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random as f64 / u64::MAX as f64
    }
}
