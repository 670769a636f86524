//! Allocation of ports to the processes of an experiment.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

/// Allocates loopback addresses with ascending ports, each once.
#[derive(Debug)]
pub(crate) struct PortAllocator {
    next: AtomicU16,
}

impl PortAllocator {
    pub(crate) fn new(first: u16) -> Self {
        Self { next: AtomicU16::new(first) }
    }

    /// Allocates the next address.
    pub(crate) fn next(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.next.fetch_add(1, Ordering::Relaxed)))
    }
}
