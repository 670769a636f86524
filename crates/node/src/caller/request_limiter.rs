//! Limits the requests in flight, in total and from one IP address.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use mux_model::{FastHasher, FastMap};
use std::hash::BuildHasher;

const STRIPE_COUNT: usize = 16;

/// Counts and limits the requests in flight.
///
/// The counts of IP addresses are kept in stripes, each under its own lock.
#[derive(Debug)]
pub(crate) struct RequestLimiter {
    total: AtomicU32,
    total_limit: u32,
    per_ip_limit: u32,
    stripes: [Mutex<FastMap<IpAddr, u32>>; STRIPE_COUNT],
}

/// Counts a request as in flight until this is dropped.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    limiter: Arc<RequestLimiter>,
    ip: IpAddr,
}

impl RequestLimiter {
    /// Creates a limiter with these limits.
    pub(crate) fn new(total_limit: u32, per_ip_limit: u32) -> Self {
        Self {
            total: AtomicU32::new(0),
            total_limit,
            per_ip_limit,
            stripes: std::array::from_fn(|_| Mutex::default()),
        }
    }

    /// Admits a request from `ip`, or returns `None` if a limit is reached.
    pub(crate) fn try_acquire(self: &Arc<Self>, ip: IpAddr) -> Option<RequestPermit> {
        if self.total_limit <= self.total.fetch_add(1, Ordering::Relaxed) {
            self.total.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let mut stripe = self.stripe(ip).lock().unwrap_or_else(PoisonError::into_inner);
        let count = stripe.entry(ip).or_insert(0);
        if self.per_ip_limit <= *count {
            self.total.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        *count += 1;
        Some(RequestPermit { limiter: Arc::clone(self), ip })
    }

    fn release(&self, ip: IpAddr) {
        self.total.fetch_sub(1, Ordering::Relaxed);
        let mut stripe = self.stripe(ip).lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = stripe.get_mut(&ip) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            stripe.remove(&ip);
        }
    }

    fn stripe(&self, ip: IpAddr) -> &Mutex<FastMap<IpAddr, u32>> {
        let hash = FastHasher::default().hash_one(ip);
        let idx = usize::try_from(hash >> 32).unwrap_or(0) % STRIPE_COUNT;
        &self.stripes[idx]
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.limiter.release(self.ip);
    }
}
