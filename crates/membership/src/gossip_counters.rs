//! Counters of gossip traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Monotonic counters, starting at zero with the process.
#[derive(Debug, Default)]
pub struct GossipCounters {
    datagrams_in: AtomicU64,
    datagrams_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    send_failures: AtomicU64,
    events_dropped: AtomicU64,
}

/// Values of the counters at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CounterReading {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Payload bytes received, without IP and UDP headers.
    pub bytes_in: u64,
    /// Payload bytes sent, without IP and UDP headers.
    pub bytes_out: u64,
    /// Datagrams that the socket failed to send.
    pub send_failures: u64,
    /// Received datagrams dropped as malformed.
    pub malformed: u64,
    /// Received datagrams dropped because of another cluster or protocol version.
    pub foreign: u64,
    /// Events dropped because the event channel was full or closed.
    pub events_dropped: u64,
}

impl GossipCounters {
    /// Counts a received datagram of `len` bytes.
    pub(crate) fn count_received(&self, len: usize) {
        add(&self.datagrams_in, 1);
        add(&self.bytes_in, len);
    }

    /// Counts a sent datagram of `len` bytes.
    pub(crate) fn count_sent(&self, len: usize) {
        add(&self.datagrams_out, 1);
        add(&self.bytes_out, len);
    }

    /// Counts a datagram that the socket failed to send.
    pub(crate) fn count_send_failure(&self) {
        add(&self.send_failures, 1);
    }

    /// Counts a dropped event.
    pub(crate) fn count_event_dropped(&self) {
        add(&self.events_dropped, 1);
    }

    /// Returns the current values; `malformed` and `foreign`, which the machine counts, are zero.
    pub(crate) fn read(&self) -> CounterReading {
        CounterReading {
            datagrams_in: self.datagrams_in.load(Ordering::Relaxed),
            datagrams_out: self.datagrams_out.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            send_failures: self.send_failures.load(Ordering::Relaxed),
            events_dropped: self.events_dropped.load(Ordering::Relaxed),
            ..CounterReading::default()
        }
    }
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
