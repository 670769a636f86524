//! Bounds the requests in flight, in all and from one IP address.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use mux_model::{FastHasher, FastMap};
use std::hash::BuildHasher;

const SHARD_COUNT: usize = 16;

/// Counts requests in flight.
#[derive(Debug)]
pub(crate) struct RequestGate {
    total: AtomicU32,
    total_limit: u32,
    per_ip_limit: u32,
    shards: [Mutex<FastMap<IpAddr, u32>>; SHARD_COUNT],
}

/// Holds one request's place until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    gate: Arc<RequestGate>,
    ip: IpAddr,
}

impl RequestGate {
    /// Creates a gate with these limits.
    pub(crate) fn new(total_limit: u32, per_ip_limit: u32) -> Self {
        Self {
            total: AtomicU32::new(0),
            total_limit,
            per_ip_limit,
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }

    /// Enters a request, or returns `None` if a limit is reached.
    pub(crate) fn enter(self: &Arc<Self>, ip: IpAddr) -> Option<RequestPermit> {
        if self.total_limit <= self.total.fetch_add(1, Ordering::Relaxed) {
            self.total.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let mut shard = self.shard(ip).lock().unwrap_or_else(PoisonError::into_inner);
        let count = shard.entry(ip).or_insert(0);
        if self.per_ip_limit <= *count {
            self.total.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        *count += 1;
        Some(RequestPermit { gate: Arc::clone(self), ip })
    }

    fn leave(&self, ip: IpAddr) {
        self.total.fetch_sub(1, Ordering::Relaxed);
        let mut shard = self.shard(ip).lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = shard.get_mut(&ip) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            shard.remove(&ip);
        }
    }

    fn shard(&self, ip: IpAddr) -> &Mutex<FastMap<IpAddr, u32>> {
        let hash = FastHasher::default().hash_one(ip);
        let idx = usize::try_from(hash >> 32).unwrap_or(0) % SHARD_COUNT;
        &self.shards[idx]
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.gate.leave(self.ip);
    }
}
