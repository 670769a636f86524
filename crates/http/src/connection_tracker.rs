//! Counts the open connections of a process and starts their graceful shutdown.

use tokio::sync::watch;

/// Counts open connections and signals them to shut down.
#[derive(Debug)]
pub struct ConnectionTracker {
    closing: watch::Sender<bool>,
}

/// Counts one open connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    closing: watch::Receiver<bool>,
}

impl ConnectionTracker {
    /// Creates a tracker without connections.
    pub fn new() -> Self {
        Self { closing: watch::Sender::new(false) }
    }

    /// Starts the graceful shutdown of all connections; each first completes its current request,
    /// if any.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.closing.receiver_count()
    }

    pub(crate) fn track(&self) -> ConnectionGuard {
        ConnectionGuard { closing: self.closing.subscribe() }
    }
}

impl Default for ConnectionTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionGuard {
    /// Waits until the tracker is closed.
    pub(crate) async fn closing(&mut self) {
        // No error occurs: the connection keeps the context alive, which owns the tracker.
        let _ = self.closing.wait_for(|it| *it).await;
    }
}
