//! Decides which connections give way when there are too many.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use mux_model::{FastMap, TimePoint};
use tokio::sync::Notify;

/// Time from the head of a request for which its connection is not closed while the body arrives.
const BODY_PROTECTED_TIME: Duration = Duration::from_secs(1);
/// One of this many connections gives way at once, so that a crowd of new ones does not need a search
/// each.
const DISPLACED_DIVISOR: usize = 64;

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// It is idle, within the head of a request, or its caller is reading a response.
    Waiting,
    /// The body of a request arrives.
    Receiving,
    /// A request is under way.
    Running,
    /// It is being closed to make room.
    Closing,
}

/// The state of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    /// The phase in the lowest two bits, and above them its start in microseconds of the timer, so that
    /// both change at the same moment.
    state: AtomicU64,
    closing: Notify,
}

/// Key of a connection.
pub(crate) type ConnectionKey = u64;

/// The open connections of a process.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    /// All connections, those included that are being closed: their descriptors are still in use.
    connections: FastMap<ConnectionKey, Arc<ConnectionEntry>>,
    /// Number of those that are being closed.
    closing: usize,
    next_key: ConnectionKey,
    displaced: u64,
    refused: u64,
}

/// Result of asking for room for a new connection.
#[derive(Debug)]
pub(crate) enum Admission {
    /// There is room.
    Admitted(ConnectionKey, Arc<ConnectionEntry>),
    /// There will be room when the next connection has been closed.
    Pending,
    /// Requests are under way on all connections.
    Refused,
}

/// Numbers of connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open connections.
    pub open: usize,
    /// Connections closed so far to make room for others.
    pub displaced: u64,
    /// New connections refused so far.
    pub refused: u64,
}

impl ConnectionPhase {
    const ALL: [Self; 4] = [Self::Waiting, Self::Receiving, Self::Running, Self::Closing];

    fn pack(self, since: TimePoint) -> u64 {
        (since.as_micros() << 2) | self as u64
    }

    fn unpack(state: u64) -> (Self, TimePoint) {
        // Two bits have four values.
        (Self::ALL[(state & 3) as usize], TimePoint::from_micros(state >> 2))
    }
}

impl ConnectionEntry {
    fn new(now: TimePoint) -> Self {
        let state = AtomicU64::new(ConnectionPhase::Waiting.pack(now));
        Self { state, closing: Notify::new() }
    }

    /// Changes the phase; returns `false` if the connection is being closed.
    pub(crate) fn set_phase(&self, now: TimePoint, phase: ConnectionPhase) -> bool {
        let change = |state| {
            let (current, _) = ConnectionPhase::unpack(state);
            (current != ConnectionPhase::Closing).then(|| phase.pack(now))
        };
        self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, change).is_ok()
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn wait_until_closing(&self) {
        self.closing.notified().await;
    }

    fn state(&self) -> u64 {
        self.state.load(Ordering::Acquire)
    }

    /// Begins to close the connection unless its state is no longer `state`.
    fn try_close(&self, state: u64) -> bool {
        let (_, since) = ConnectionPhase::unpack(state);
        let closing = ConnectionPhase::Closing.pack(since);
        let changed =
            self.state.compare_exchange(state, closing, Ordering::AcqRel, Ordering::Acquire);
        if changed.is_ok() {
            self.closing.notify_one();
        }
        changed.is_ok()
    }
}

impl ConnectionTable {
    /// Adds a connection. If there are `limit` or more, others that have waited for the longest time are
    /// closed, or else such whose request has begun a while ago and is not complete.
    pub(crate) fn admit(&mut self, now: TimePoint, limit: usize) -> Admission {
        if self.connections.len() < limit {
            let key = self.next_key;
            self.next_key += 1;
            let entry = Arc::new(ConnectionEntry::new(now));
            self.connections.insert(key, Arc::clone(&entry));
            return Admission::Admitted(key, entry);
        }
        if limit <= self.connections.len() - self.closing {
            self.displace(now, limit);
        }
        if 0 < self.closing {
            return Admission::Pending;
        }
        self.refused += 1;
        Admission::Refused
    }

    /// Begins to close some connections so that fewer than `limit` are left; returns how many.
    pub(crate) fn displace(&mut self, now: TimePoint, limit: usize) -> usize {
        let surplus = (self.connections.len() - self.closing + 1).saturating_sub(limit);
        let wanted = surplus.max(limit / DISPLACED_DIVISOR).max(1);
        let displaced =
            match self.close_longest(wanted, |phase, _| phase == ConnectionPhase::Waiting) {
                0 => self.close_longest(wanted, |phase, since| {
                    phase == ConnectionPhase::Receiving && BODY_PROTECTED_TIME <= now.since(since)
                }),
                displaced => displaced,
            };
        self.displaced += displaced as u64;
        displaced
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, key: ConnectionKey) {
        let is_closing = |it: Arc<ConnectionEntry>| {
            let (phase, _) = ConnectionPhase::unpack(it.state());
            phase == ConnectionPhase::Closing
        };
        if self.connections.remove(&key).is_some_and(is_closing) {
            self.closing -= 1;
        }
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        let open = self.connections.len();
        ConnectionCounts { open, displaced: self.displaced, refused: self.refused }
    }

    /// Closes up to `count` of the connections that `may_yield` accepts, those first that have been in
    /// their phase for the longest time.
    fn close_longest(
        &mut self,
        count: usize,
        may_yield: impl Fn(ConnectionPhase, TimePoint) -> bool,
    ) -> usize {
        let mut candidates: Vec<_> = self
            .connections
            .iter()
            .map(|(key, entry)| (entry.state(), *key))
            .filter(|(state, _)| {
                let (phase, since) = ConnectionPhase::unpack(*state);
                may_yield(phase, since)
            })
            .collect();
        if count < candidates.len() {
            candidates.select_nth_unstable(count - 1);
            candidates.truncate(count);
        }
        let mut closed = 0;
        for (state, key) in candidates {
            if self.connections.get(&key).is_some_and(|it| it.try_close(state)) {
                closed += 1;
            }
        }
        self.closing += closed;
        closed
    }
}
