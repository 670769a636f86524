//! A listener with limits that a test sets.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]
#![allow(clippy::unwrap_used, reason = "fixtures are part of the tests")]

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use mux_http::{ConnectionTracker, HttpListener, ListenerContext};
use mux_timer::TimerService;
use slog::{Discard, Logger, o};

/// Time that is far longer than any condition takes on a slow machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// State of a listener.
pub struct TestContext {
    pub timer: TimerService,
    pub connections: ConnectionTracker,
    /// Requests whose heads were received.
    pub begun: AtomicUsize,
    /// Requests whose bodies were received.
    pub received: AtomicUsize,
    logger: Logger,
    idle_timeout: Duration,
    max_connections: usize,
}

impl ListenerContext for TestContext {
    fn timer(&self) -> &TimerService {
        &self.timer
    }

    fn logger(&self) -> &Logger {
        &self.logger
    }

    fn header_timeout(&self) -> Duration {
        self.idle_timeout
    }

    fn max_header_bytes(&self) -> usize {
        16 * 1_024
    }

    fn max_connections(&self) -> usize {
        self.max_connections
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connections
    }
}

impl TestContext {
    /// Starts a listener with these limits, and returns its address.
    pub fn listen<F, R>(
        idle_timeout: Duration,
        max_connections: usize,
        handler: F,
    ) -> (Arc<Self>, SocketAddr)
    where
        F: Fn(Arc<Self>, SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let context = Arc::new(Self {
            timer: TimerService::start(Duration::from_secs(5)),
            connections: ConnectionTracker::new(),
            begun: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            logger: Logger::root(Discard, o!()),
            idle_timeout,
            max_connections,
        });
        let listener = HttpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_address().unwrap();
        tokio::spawn(listener.serve(Arc::clone(&context), handler));
        (context, address)
    }

    /// Waits until `check` returns true.
    ///
    /// # Panics
    ///
    /// Panics after 60 s.
    pub async fn wait_until(&self, check: impl Fn(&Self) -> bool) {
        let poll = async {
            while !check(self) {
                self.timer.sleep(POLL_PERIOD).await;
            }
        };
        self.timer.timeout(WAIT_LIMIT, poll).await.unwrap();
    }
}
