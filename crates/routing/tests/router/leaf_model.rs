//! A model of the upstreams of one service.

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, rngs::SmallRng};

/// How one upstream behaves.
#[derive(Debug, Clone, Copy)]
pub struct LeafSetup {
    pub slots: usize,
    /// Calls that wait for a slot; others are shed.
    pub queue_limit: usize,
    /// Mean service time; half of it is fixed, half exponential.
    pub service_us: f64,
    /// Share of calls that take `straggle_factor` times as long.
    pub straggle_share: f64,
    pub straggle_factor: f64,
    /// Calls are shed before this time, as if by an upstream that is short of memory.
    pub sheds_until_us: u64,
}

#[derive(Debug)]
pub struct LeafModel {
    setup: LeafSetup,
    serving: BTreeSet<usize>,
    queue: VecDeque<usize>,
}

impl LeafModel {
    pub fn new(setup: LeafSetup) -> Self {
        Self { setup, serving: BTreeSet::new(), queue: VecDeque::new() }
    }

    /// Returns the service time if the call starts now, or whether it waits.
    pub fn arrive(&mut self, now: u64, call: usize, rng: &mut SmallRng) -> Arrival {
        if now < self.setup.sheds_until_us {
            return Arrival::Shed;
        }
        if self.serving.len() < self.setup.slots {
            self.serving.insert(call);
            return Arrival::Started(self.service_time(rng));
        }
        if self.setup.queue_limit <= self.queue.len() {
            return Arrival::Shed;
        }
        self.queue.push_back(call);
        Arrival::Queued
    }

    /// Ends `call`, done or cancelled; returns the call that starts in its slot.
    pub fn end(&mut self, call: usize, rng: &mut SmallRng) -> Option<(usize, u64)> {
        self.queue.retain(|it| *it != call);
        if !self.serving.remove(&call) {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.serving.insert(next);
        Some((next, self.service_time(rng)))
    }

    fn service_time(&self, rng: &mut SmallRng) -> u64 {
        let setup = &self.setup;
        let is_slow = rng.random::<f64>() < setup.straggle_share;
        let factor = if is_slow { setup.straggle_factor } else { 1.0 };
        let exponential = -(1.0 - rng.random::<f64>()).ln();
        (setup.service_us * factor * (0.5 + 0.5 * exponential)) as u64
    }
}

pub enum Arrival {
    Started(u64),
    Queued,
    Shed,
}
