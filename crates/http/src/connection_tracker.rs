//! Counts and limits the open connections of a process, and starts their graceful shutdown.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_logs::LogThrottle;
use mux_model::TimePoint;
use mux_timer::TimerService;
use slog::{Logger, warn};
use tokio::sync::{Notify, watch};

use crate::connection_table::{
    Admission, ConnectionCounts, ConnectionEntry, ConnectionKey, ConnectionPhase, ConnectionTable,
};

/// Maximum number of log lines about the limit in one [`LIMIT_LOG_PERIOD`].
const LIMIT_LOG_LINES: u32 = 1;
/// Period to which [`LIMIT_LOG_LINES`] applies.
const LIMIT_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Counts open connections and signals them to shut down.
#[derive(Debug)]
pub struct ConnectionTracker {
    shutdown_started: watch::Sender<bool>,
    table: Arc<Mutex<ConnectionTable>>,
    /// Notified when a connection has ended.
    ended: Arc<Notify>,
    limit_log: LogThrottle,
}

/// Counts one listener until dropped.
#[derive(Debug)]
pub(crate) struct ListenerGuard {
    shutdown_started: watch::Receiver<bool>,
}

/// Counts one open connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    shutdown: ListenerGuard,
    table: Arc<Mutex<ConnectionTable>>,
    ended: Arc<Notify>,
    key: ConnectionKey,
    entry: Arc<ConnectionEntry>,
}

/// The progress of a request, which decides whether its connection may be closed to make room.
#[derive(Debug, Clone)]
pub(crate) struct RequestProgress {
    entry: Arc<ConnectionEntry>,
}

impl ConnectionTracker {
    /// Creates a tracker without connections.
    pub fn new() -> Self {
        Self {
            shutdown_started: watch::Sender::new(false),
            table: Arc::default(),
            ended: Arc::default(),
            limit_log: LogThrottle::new(LIMIT_LOG_LINES, LIMIT_LOG_PERIOD),
        }
    }

    /// Starts the graceful shutdown of all listeners and connections. Each connection first completes
    /// its current request, or the first one if it had none yet.
    pub fn start_shutdown(&self) {
        self.shutdown_started.send_replace(true);
    }

    /// Returns the number of open connections and listeners.
    pub fn open_count(&self) -> usize {
        self.shutdown_started.receiver_count()
    }

    /// Returns the numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        lock(&self.table).counts()
    }

    /// Counts a listener until the returned guard is dropped.
    pub(crate) fn track_listener(&self) -> ListenerGuard {
        ListenerGuard { shutdown_started: self.shutdown_started.subscribe() }
    }

    /// Counts a connection until the returned guard is dropped. If there are `limit` or more, others are
    /// closed, for the end of which it waits; returns `None` if none of them can be.
    pub(crate) async fn admit(
        &self,
        logger: &Logger,
        timer: &TimerService,
        limit: usize,
    ) -> Option<ConnectionGuard> {
        loop {
            let ended = self.ended.notified();
            match self.try_admit(logger, timer.now(), limit) {
                Admission::Admitted(key, entry) => {
                    let (table, ended) = (Arc::clone(&self.table), Arc::clone(&self.ended));
                    let shutdown = self.track_listener();
                    return Some(ConnectionGuard { shutdown, table, ended, key, entry });
                }
                Admission::Pending => ended.await,
                Admission::Refused => return None,
            }
        }
    }

    fn try_admit(&self, logger: &Logger, now: TimePoint, limit: usize) -> Admission {
        let (admission, counts) = {
            let mut table = lock(&self.table);
            let before = table.counts();
            let admission = table.admit(now, limit);
            let counts = table.counts();
            let is_changed =
                (before.displaced, before.refused) != (counts.displaced, counts.refused);
            (admission, is_changed.then_some(counts))
        };
        if let Some(counts) = counts {
            self.log_limit(logger, now, limit, counts);
        }
        admission
    }

    /// Closes some connections, as the process has no descriptors left.
    pub(crate) fn displace(&self, logger: &Logger, now: TimePoint) {
        let (limit, counts) = {
            let mut table = lock(&self.table);
            let limit = table.counts().open;
            table.displace(now, limit);
            (limit, table.counts())
        };
        self.log_limit(logger, now, limit, counts);
    }

    fn log_limit(&self, logger: &Logger, now: TimePoint, limit: usize, counts: ConnectionCounts) {
        if let Some(suppressed) = self.limit_log.allow(now) {
            warn!(logger, "listener: connection limit reached"; "limit" => limit,
                "open" => counts.open, "displaced" => counts.displaced,
                "refused" => counts.refused, "suppressed" => suppressed);
        }
    }
}

impl Default for ConnectionTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl ListenerGuard {
    /// Waits until [`ConnectionTracker::start_shutdown`] is called.
    pub(crate) async fn wait_for_shutdown(&mut self) {
        // No error occurs: the connection holds the `ListenerContext`, which owns the tracker.
        let _ = self.shutdown_started.wait_for(|it| *it).await;
    }
}

impl ConnectionGuard {
    /// Waits until [`ConnectionTracker::start_shutdown`] is called.
    pub(crate) async fn wait_for_shutdown(&mut self) {
        self.shutdown.wait_for_shutdown().await;
    }

    /// Returns the state of the connection.
    pub(crate) fn entry(&self) -> Arc<ConnectionEntry> {
        Arc::clone(&self.entry)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.table).remove(self.key);
        self.ended.notify_waiters();
    }
}

impl RequestProgress {
    pub(crate) fn new(entry: Arc<ConnectionEntry>) -> Self {
        Self { entry }
    }

    /// Records that the body is complete; returns `false` if the connection is being closed.
    #[must_use]
    pub(crate) fn end_body(&self, now: TimePoint) -> bool {
        self.entry.set_phase(now, ConnectionPhase::Running)
    }
}

fn lock(table: &Mutex<ConnectionTable>) -> MutexGuard<'_, ConnectionTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
