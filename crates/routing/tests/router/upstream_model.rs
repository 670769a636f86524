//! Simulated upstream with slots and a queue.

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, rngs::SmallRng};

/// Behaviour of a simulated upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamSetup {
    pub slots: usize,
    /// Maximum number of calls that wait for a slot; further ones are shed.
    pub queue_limit: usize,
    /// Mean service time; half of it is fixed, half exponentially distributed.
    pub service_us: f64,
    /// Share of calls that take `straggler_factor` times as long.
    pub straggler_share: f64,
    pub straggler_factor: f64,
    /// Time before which all calls are shed, as by an upstream that is short of memory.
    pub sheds_until_us: u64,
}

/// A simulated upstream; calls are identified by their index.
#[derive(Debug)]
pub struct UpstreamModel {
    setup: UpstreamSetup,
    serving: BTreeSet<usize>,
    queue: VecDeque<usize>,
}

impl UpstreamModel {
    pub fn new(setup: UpstreamSetup) -> Self {
        Self { setup, serving: BTreeSet::new(), queue: VecDeque::new() }
    }

    /// Starts, queues or sheds `call`.
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

    /// Ends `call`, finished or cancelled; returns the call that starts in its slot and its service
    /// time in microseconds.
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
        let is_slow = rng.random::<f64>() < setup.straggler_share;
        let factor = if is_slow { setup.straggler_factor } else { 1.0 };
        let exponential = -(1.0 - rng.random::<f64>()).ln();
        (setup.service_us * factor * (0.5 + 0.5 * exponential)) as u64
    }
}

/// Result of a call's arrival at an upstream.
pub enum Arrival {
    /// The call started; its service time in microseconds.
    Started(u64),
    Queued,
    Shed,
}
