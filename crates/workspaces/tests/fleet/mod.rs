//! Nodes that share quotas and lend each other grants by calls of methods, without a network.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::time::Duration;

use mux_model::{FastMap, TimePoint, WorkspaceName};
use mux_workspaces::{QuotaBounds, QuotaTable, QuotaVerdict, WorkspaceRule};

pub const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };

pub fn rule(name: &str, rate_per_s: f64, burst: f64) -> WorkspaceRule {
    WorkspaceRule {
        name: WorkspaceName::from(name),
        keys: Vec::new(),
        rank: None,
        rate_per_s,
        burst,
    }
}

/// Returns the most requests of a workspace with this quota that may run in any window.
pub fn most_allowed(rule: &WorkspaceRule) -> usize {
    let quota = rule.rate_per_s * BOUNDS.window.as_secs_f64() + rule.burst;
    (quota * (1.0 + BOUNDS.overage) + BOUNDS.slack) as usize
}

/// Numbers that differ by seed, and are the same in each run.
pub struct Randoms(u64);

impl Randoms {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to 1.
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, count: usize) -> usize {
        ((self.next() * count as f64) as usize).min(count - 1)
    }
}

pub struct Fleet {
    pub now: TimePoint,
    pub randoms: Randoms,
    rules: Vec<WorkspaceRule>,
    tables: Vec<QuotaTable>,
    /// Nodes whose messages are lost.
    cut: Vec<bool>,
    /// Number of peers that a node asks in one round.
    peers_asked: usize,
    pub refused: FastMap<WorkspaceName, usize>,
    ran: FastMap<WorkspaceName, Vec<TimePoint>>,
}

impl Fleet {
    pub fn new(nodes: usize, rules: &[WorkspaceRule]) -> Self {
        let mut fleet = Self {
            now: TimePoint::from_millis(1_000),
            randoms: Randoms::new(nodes as u64),
            rules: rules.to_vec(),
            tables: Vec::new(),
            cut: vec![false; nodes],
            peers_asked: nodes,
            refused: FastMap::default(),
            ran: FastMap::default(),
        };
        fleet.restart();
        fleet
    }

    /// Starts all processes anew.
    pub fn restart(&mut self) {
        let share = 1.0 / self.cut.len() as f64;
        let now = self.now;
        let rules = &self.rules;
        let randoms = &mut self.randoms;
        let start = |_: &bool| {
            let seed = randoms.next().to_bits();
            let mut table = QuotaTable::new(Some(BOUNDS), share, seed);
            table.set_workspaces(now, rules);
            table
        };
        self.tables = self.cut.iter().map(start).collect();
    }

    pub fn set_rules(&mut self, rules: &[WorkspaceRule]) {
        self.rules = rules.to_vec();
        for table in &mut self.tables {
            table.set_workspaces(self.now, rules);
        }
    }

    pub fn set_shares(&mut self, share: f64) {
        for table in &mut self.tables {
            table.set_share(self.now, Some(BOUNDS), share);
        }
    }

    pub fn cut(&mut self, node: usize) {
        self.cut[node] = true;
    }

    pub fn advance(&mut self, seconds: f64) {
        self.now = self.now + Duration::from_secs_f64(seconds);
    }

    /// Sends a request to a node.
    pub fn send(&mut self, node: usize, name: &WorkspaceName) -> bool {
        let now = self.now;
        let is_admitted = match self.tables[node].admit(now, name) {
            QuotaVerdict::Admitted => {
                self.ask_peers(node, name);
                true
            }
            QuotaVerdict::OverQuota { .. } => false,
            QuotaVerdict::MustBorrow => {
                self.tables[node].add_waiting(name);
                self.ask_peers(node, name);
                self.tables[node].remove_waiting(name);
                self.tables[node].admit_waiting(now, name) == QuotaVerdict::Admitted
            }
        };
        match is_admitted {
            true => self.ran.entry(name.clone()).or_default().push(now),
            false => *self.refused.entry(name.clone()).or_default() += 1,
        }
        is_admitted
    }

    /// Sends requests at this rate for a time, each to the node that `choose` returns.
    pub fn press(
        &mut self,
        name: &WorkspaceName,
        rate_per_s: f64,
        seconds: f64,
        choose: impl Fn(&mut Randoms) -> usize,
    ) {
        for _ in 0..(rate_per_s * seconds) as usize {
            let node = choose(&mut self.randoms);
            self.send(node, name);
            self.advance(1.0 / rate_per_s);
        }
    }

    fn ask_peers(&mut self, node: usize, name: &WorkspaceName) {
        let now = self.now;
        let Some(wanted) = self.tables[node].begin_asking(now, name) else {
            return;
        };
        let mut borrowed = 0;
        let nodes = self.tables.len();
        let first = self.randoms.below(nodes);
        let is_reached = |it: &usize| *it != node && !self.cut[*it] && !self.cut[node];
        let peers: Vec<_> = (0..nodes).map(|it| (first + it) % nodes).filter(is_reached).collect();
        for peer in peers.into_iter().take(self.peers_asked) {
            let lent = self.tables[peer].lend(now, name, wanted - borrowed);
            self.tables[node].add_borrowed(now, name, lent);
            borrowed += lent;
        }
        self.tables[node].end_asking(name, borrowed);
    }

    pub fn refusals(&self, name: &WorkspaceName) -> usize {
        self.refused.get(name).copied().unwrap_or_default()
    }

    pub fn served(&self, name: &WorkspaceName) -> usize {
        self.ran.get(name).map_or(0, Vec::len)
    }

    /// Returns the most requests that ran within a window which begins at `from` or later.
    pub fn most_in_window(&self, name: &WorkspaceName, from: TimePoint) -> usize {
        let ran = self.ran.get(name).map_or(&[][..], Vec::as_slice);
        let first = ran.partition_point(|it| *it < from);
        let ran = &ran[first..];
        let count = |(idx, start): (usize, &TimePoint)| {
            ran.partition_point(|it| it.since(*start) < BOUNDS.window) - idx
        };
        ran.iter().enumerate().map(count).max().unwrap_or_default()
    }
}
