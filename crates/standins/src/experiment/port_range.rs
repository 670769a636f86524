//! Ports of the processes of an experiment.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

/// Hands out loopback addresses; none is handed out twice.
#[derive(Debug)]
pub(crate) struct PortRange {
    next: AtomicU16,
}

impl PortRange {
    pub(crate) fn new(first: u16) -> Self {
        Self { next: AtomicU16::new(first) }
    }

    /// Returns the next address.
    pub(crate) fn next(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.next.fetch_add(1, Ordering::Relaxed)))
    }
}
