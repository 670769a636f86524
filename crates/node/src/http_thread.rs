//! Runs an HTTP server, which has its own runtime, on a separate thread.

use std::{
    io,
    thread::{self, JoinHandle},
    time::Duration,
};

use mux_timer::TimerService;
use xitca_server::{ServerFuture, ServerHandle};

const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// A thread that waits for an HTTP server.
///
/// The server drops its runtime when it ends, which panics on a thread of another runtime.
pub(crate) struct HttpThread {
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

impl HttpThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the server did not start.
    pub(crate) fn start(mut server: ServerFuture) -> io::Result<Self> {
        let handle = server.handle()?;
        let thread = thread::spawn(move || server.wait());
        Ok(Self { handle, thread })
    }

    /// Stops the server after its requests in flight, and waits at most `limit` for it to end.
    pub(crate) async fn stop(self, timer: &TimerService, limit: Duration) {
        self.handle.stop(true);
        let end = timer.now() + limit;
        while !self.thread.is_finished() && timer.now() < end {
            timer.sleep(CHECK_PERIOD).await;
        }
    }
}
