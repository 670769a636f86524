//! Counts the open connections of a process and starts their graceful shutdown.

use tokio::sync::watch;

/// Counts open connections and signals them to shut down.
#[derive(Debug)]
pub struct ConnectionTracker {
    shutdown_started: watch::Sender<bool>,
}

/// Counts one open connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    shutdown_started: watch::Receiver<bool>,
}

impl ConnectionTracker {
    /// Creates a tracker without connections.
    pub fn new() -> Self {
        Self { shutdown_started: watch::Sender::new(false) }
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

    /// Counts a connection or a listener until the returned guard is dropped.
    pub(crate) fn track(&self) -> ConnectionGuard {
        ConnectionGuard { shutdown_started: self.shutdown_started.subscribe() }
    }
}

impl Default for ConnectionTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionGuard {
    /// Waits until [`ConnectionTracker::start_shutdown`] is called.
    pub(crate) async fn wait_for_shutdown(&mut self) {
        // No error occurs: the connection holds the `ListenerContext`, which owns the tracker.
        let _ = self.shutdown_started.wait_for(|it| *it).await;
    }
}
