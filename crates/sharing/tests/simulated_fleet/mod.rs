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

#[derive(Debug, Clone, Copy)]
pub struct FleetBound {
    pub rate_per_s: f64,
    pub unused_ms: u64,
}

struct FleetNode {
    schedule: GrantSchedule,
    planner: BorrowPlanner<&'static str>,
    open_calls: Vec<BorrowCall<&'static str>>,
    demand_per_s: f64,
    /// Calls that are due, as a fraction.
    due_calls: f64,
    used: u32,
    is_alive: bool,
    is_counted: bool,
    frozen_until: u64,
}

enum Message {
    Ask { to: usize, from: usize, call: BorrowCall<&'static str> },
    Reply { to: usize, call: BorrowCall<&'static str>, lent: u32 },
}

pub struct Fleet {
    bound: FleetBound,
    nodes: Vec<FleetNode>,
    messages: Vec<(u64, Message)>,
    now: u64,
    loss: f64,
    random: u64,
    asked: u32,
    /// Times of the used grants.
    used_at: Vec<u64>,
    most_nodes: usize,
}

impl Fleet {
    pub fn start(nodes: usize, bound: FleetBound) -> Self {
        let mut fleet = Self {
            bound,
            nodes: Vec::new(),
            messages: Vec::new(),
            now: 0,
            loss: 0.0,
            random: 1,
            asked: 0,
            used_at: Vec::new(),
            most_nodes: 0,
        };
        (0..nodes).for_each(|_| fleet.join());
        fleet
    }

    pub fn join(&mut self) {
        let share = 1.0 / (self.nodes.len() + 1) as f64;
        let schedule = self.new_schedule(share);
        self.nodes.push(FleetNode {
            schedule,
            planner: BorrowPlanner::default(),
            open_calls: Vec::new(),
            demand_per_s: 0.0,
            due_calls: 0.0,
            used: 0,
            is_alive: true,
            is_counted: true,
            frozen_until: 0,
        });
        self.most_nodes = self.most_nodes.max(self.nodes.len());
    }

    pub fn set_demand(&mut self, node: usize, calls_per_s: f64) {
        self.nodes[node].demand_per_s = calls_per_s;
    }

    pub fn lose_messages(&mut self, loss: f64) {
        self.loss = loss;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
    }

    /// Lets the other nodes divide the bound among themselves.
    pub fn forget_dead(&mut self) {
        self.nodes.iter_mut().for_each(|it| it.is_counted = it.is_alive);
    }

    pub fn freeze(&mut self, node: usize, millis: u64) {
        self.nodes[node].frozen_until = self.now + millis;
    }

    pub fn restart_all(&mut self) {
        let share = self.share();
        self.messages.clear();
        for idx in 0..self.nodes.len() {
            let schedule = self.new_schedule(share);
            let node = &mut self.nodes[idx];
            node.schedule = schedule;
            node.planner = BorrowPlanner::default();
            node.open_calls.clear();
        }
    }

    pub fn used_by(&self, node: usize) -> u32 {
        self.nodes[node].used
    }

    pub fn used(&self) -> u32 {
        self.nodes.iter().map(|it| it.used).sum()
    }

    pub fn asked(&self) -> u32 {
        self.asked
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
        let seconds = (WINDOW_MS as f64 + self.bound.unused_ms as f64 * 1.25) / 1e3;
        let allowed = self.bound.rate_per_s * seconds + self.most_nodes as f64;
        let mut end = 0;
        for (start, from) in self.used_at.iter().enumerate() {
            while end < self.used_at.len() && self.used_at[end] < from + WINDOW_MS {
                end += 1;
            }
            expect_that!((end - start) as f64, le(allowed), "window from {from} ms");
        }
    }

    fn new_schedule(&mut self, share: f64) -> GrantSchedule {
        let limit = GrantLimit {
            rate_per_s: self.bound.rate_per_s,
            unused_lifetime: Duration::from_millis(self.bound.unused_ms),
        };
        let phase = self.next_random();
        GrantSchedule::new(self.at(), limit, share, Duration::ZERO, phase)
    }

    fn share(&self) -> f64 {
        1.0 / self.nodes.iter().filter(|it| it.is_counted).count() as f64
    }

    fn at(&self) -> TimePoint {
        TimePoint::from_millis(self.now)
    }

    fn is_running(&self, node: usize) -> bool {
        self.nodes[node].is_alive && self.nodes[node].frozen_until <= self.now
    }

    fn deliver(&mut self) {
        let (now, share) = (self.at(), self.share());
        let is_due = |(due, _): &(u64, Message)| *due <= self.now;
        let (due, waiting) = std::mem::take(&mut self.messages).into_iter().partition(is_due);
        self.messages = waiting;
        for (due, message) in due {
            match message {
                Message::Ask { to, .. } | Message::Reply { to, .. } if !self.is_running(to) => {
                    // It waits in the socket of a frozen process.
                    if self.nodes[to].is_alive {
                        self.messages.push((due, message));
                    }
                }
                Message::Ask { to, from, call } => {
                    let wanted = call.wanted[0].1;
                    let lent = self.nodes[to].schedule.lend_unneeded(now, share, wanted);
                    self.send(Message::Reply { to: from, call, lent });
                }
                Message::Reply { to, call, lent } => {
                    let node = &mut self.nodes[to];
                    // The reply is found before the time limit is noticed.
                    if !node.open_calls.contains(&call) {
                        continue;
                    }
                    node.open_calls.retain(|it| *it != call);
                    for (_, count) in node.planner.on_reply(now, &call, &[lent]) {
                        node.schedule.add_borrowed(now, count);
                    }
                }
            }
        }
    }

    fn step(&mut self, idx: usize) {
        let (now, share) = (self.at(), self.share());
        let count = self.nodes.len();
        let offset = (self.next_random() * count as f64) as usize;
        let peers = (0..count).map(|it| (it + offset) % count);
        let peers: Vec<_> = peers
            .filter(|it| *it != idx && self.nodes[*it].is_counted)
            .map(|it| NodeId::from(it.to_string()))
            .collect();
        let node = &mut self.nodes[idx];
        let is_late = |it: &mut BorrowCall<_>| {
            CALL_TIMEOUT_MS * 1_000 <= now.since(it.planned_at).as_micros() as u64
        };
        let late: Vec<_> = node.open_calls.extract_if(.., is_late).collect();
        late.iter().for_each(|it| node.planner.on_no_reply(now, it));
        node.due_calls += node.demand_per_s / 1e3;
        while 1.0 <= node.due_calls {
            node.due_calls -= 1.0;
            if node.schedule.time_to_grants(now, share, 1).is_zero() {
                node.schedule.use_grant(now, share);
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
            let to = call.peer.as_str().parse().expect("an index");
            self.send(Message::Ask { to, from: idx, call });
        }
    }

    fn send(&mut self, message: Message) {
        if self.next_random() < self.loss {
            return;
        }
        self.messages.push((self.now + MESSAGE_MS, message));
    }

    /// Returns a number from 0 to 1.
    fn next_random(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random as f64 / u64::MAX as f64
    }
}
