//! Runs an HTTP server, which owns a runtime of its own, on a thread of its own.

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
/// The server drops its runtime when it ends, which is not allowed on a thread of another one.
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

    /// Stops the server once its requests are answered, and waits for it for at most `limit`.
    pub(crate) async fn stop(self, timer: &TimerService, limit: Duration) {
        self.handle.stop(true);
        let end = timer.now() + limit;
        while !self.thread.is_finished() && timer.now() < end {
            timer.sleep(CHECK_PERIOD).await;
        }
    }
}
