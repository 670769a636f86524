//! Starts a node and runs it until its planned stop.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use mux_http::HttpListener;
use mux_logs::build_logger;
use mux_timer::TimerService;
use slog::info;
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    ClusterStore, EdgeError, EdgeSettings, WireProtocol,
    caller::{serve_directory, serve_front, serve_metrics, serve_readiness},
    edge::{Edge, StopPhase},
    sync,
};

/// Gap in the process's own time above which what it knows may be old.
const PAUSE_LIMIT: Duration = Duration::from_millis(500);
/// Part of the time to stop after which connections without a request are closed, in percent.
/// Callers keep an address answer for three of its lifetimes at most, which is less.
const CLOSE_PERCENT: u32 = 60;
/// Time before the process is killed at which it ends by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Period in which a stopping node looks whether its requests have ended.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Runs a node until SIGTERM or SIGINT has stopped it as planned.
///
/// # Errors
///
/// Returns [`EdgeError`] if a listener or the runtime cannot be started.
pub fn run<W: WireProtocol, S: ClusterStore>(
    settings: EdgeSettings,
    make_store: impl FnOnce(&TimerService) -> S,
) -> Result<(), EdgeError> {
    let runtime = build_runtime()?;
    let result = runtime.block_on(serve::<W, S>(settings, make_store));
    runtime.shutdown_background();
    result
}

/// On one core, a second thread would only add hand-overs.
fn build_runtime() -> Result<Runtime, EdgeError> {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let mut builder = match cores {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build().map_err(EdgeError::Runtime)
}

/// Runs a node on the current runtime until SIGTERM or SIGINT has stopped it as planned.
///
/// # Errors
///
/// Returns [`EdgeError`] if a listener or a signal handler cannot be set up.
pub async fn serve<W: WireProtocol, S: ClusterStore>(
    settings: EdgeSettings,
    make_store: impl FnOnce(&TimerService) -> S,
) -> Result<(), EdgeError> {
    let logger = build_logger(&settings.logs, settings.node.node.as_str());
    let listen = settings.listen;
    let timer = TimerService::start(PAUSE_LIMIT);
    let store = make_store(&timer);
    let edge = Arc::new(Edge::new(settings, timer, logger));
    let callers = bind("callers", listen.callers)?;
    let readiness = bind("readiness", listen.readiness)?;
    let directory = bind("directory", listen.directory)?;
    let metrics = listen.metrics.map(|it| bind("metrics", it)).transpose()?;
    let signals = StopSignals::new()?;
    info!(edge.logger, "node: started"; "callers" => listen.callers.to_string(),
        "directory" => listen.directory.to_string());
    tokio::spawn(callers.serve(Arc::clone(&edge), serve_front::<W>));
    tokio::spawn(readiness.serve(Arc::clone(&edge), serve_readiness::<W>));
    tokio::spawn(directory.serve(Arc::clone(&edge), serve_directory::<W>));
    if let Some(metrics) = metrics {
        tokio::spawn(metrics.serve(Arc::clone(&edge), serve_metrics));
    }
    tokio::spawn(sync::watch_store(Arc::clone(&edge), store.clone()));
    tokio::spawn(sync::settle_missing(Arc::clone(&edge)));
    tokio::spawn(sync::mark_spent(Arc::clone(&edge), store.clone()));
    tokio::spawn(sync::keep_announced(Arc::clone(&edge), store));
    signals.wait(&edge).await;
    stop(&edge).await;
    Ok(())
}

fn bind(purpose: &'static str, address: SocketAddr) -> Result<HttpListener, EdgeError> {
    HttpListener::bind(address).map_err(|source| EdgeError::Listen { purpose, address, source })
}

/// The signals that a node reacts to.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, EdgeError> {
        let open = |kind| signal(kind).map_err(EdgeError::Runtime);
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            reload: open(SignalKind::hangup())?,
        })
    }

    /// Waits for the request to stop.
    async fn wait(mut self, edge: &Edge) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    info!(edge.logger, "node: settings changed; they hold from the next start");
                }
            }
        }
    }
}

/// Leaves the address answers at once, serves whoever still comes, and ends with the last request.
async fn stop(edge: &Arc<Edge>) {
    let limit = edge.settings.stop_limit;
    info!(edge.logger, "node: stopping"; "limit_ms" => limit.as_millis() as u64);
    edge.nodes().begin_stop();
    edge.stop.send_replace(StopPhase::Leaving);
    edge.timer.sleep(limit * CLOSE_PERCENT / 100).await;
    edge.connection_tracker.close();
    let end = edge.timer.now() + limit * (100 - CLOSE_PERCENT) / 100;
    while 0 < edge.connection_tracker.open_count() && edge.timer.now() + EXIT_RESERVE < end {
        edge.timer.sleep(STOP_CHECK_PERIOD).await;
    }
    info!(edge.logger, "node: stopped"; "open_connections" => edge.connection_tracker.open_count());
}
