//! The open connections of a process and the call to end them.

use tokio::sync::watch;

/// Counts open connections and tells them when to end.
#[derive(Debug)]
pub struct ConnectionTracker {
    closing: watch::Sender<bool>,
}

/// One open connection, which counts until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenTicket {
    closing: watch::Receiver<bool>,
}

impl ConnectionTracker {
    /// Creates a gate without connections.
    pub fn new() -> Self {
        Self { closing: watch::Sender::new(false) }
    }

    /// Ends each connection after the request that it has, if any.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.closing.receiver_count()
    }

    pub(crate) fn enter(&self) -> OpenTicket {
        OpenTicket { closing: self.closing.subscribe() }
    }
}

impl Default for ConnectionTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl OpenTicket {
    /// Waits until the connection is to end.
    pub(crate) async fn closing(&mut self) {
        // The gate lives as long as the host, which the connection holds.
        let _ = self.closing.wait_for(|it| *it).await;
    }
}
