//! Starts a node and runs it until its planned stop is complete.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use mux_http::HttpListener;
use mux_logs::build_logger;
use mux_timer::TimerService;
use slog::{info, warn};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    ClusterStore, EdgeError, EdgeSettings, WireProtocol,
    caller::{serve_directory, serve_metrics, serve_readiness, serve_request},
    edge_state::{EdgeState, StopPhase},
    planned_stop::PlannedStop,
    reach::watch_reach,
    relay::RelayServer,
    sharing::{maintain_borrowing, maintain_shares},
    sync,
    upstream::release_lost_reservations,
};

/// Duration of a pause of the process above which its copy of the store may be outdated.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Period of the checks whether the connections of a stopping node are closed.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Runs a node until it has shut down after SIGTERM or SIGINT. `reload` reads the settings again
/// after SIGHUP.
///
/// # Errors
///
/// Returns [`EdgeError`] if a listener, the runtime or a signal handler cannot be set up.
pub fn run<W: WireProtocol, S: ClusterStore>(
    settings: EdgeSettings,
    make_store: impl FnOnce(&TimerService) -> S,
    reload: impl Fn() -> Result<EdgeSettings, String>,
) -> Result<(), EdgeError> {
    let runtime = build_runtime()?;
    let result = runtime.block_on(serve::<W, S>(settings, make_store, reload));
    runtime.shutdown_background();
    result
}

/// Builds the runtime; on one core it has a single thread, because a second one would only add
/// context switches.
fn build_runtime() -> Result<Runtime, EdgeError> {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let mut builder = match cores {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build().map_err(EdgeError::Runtime)
}

/// Runs a node on the current runtime until it has shut down after SIGTERM or SIGINT. `reload`
/// reads the settings again after SIGHUP.
///
/// # Errors
///
/// Returns [`EdgeError`] if a listener or a signal handler cannot be set up.
pub async fn serve<W: WireProtocol, S: ClusterStore>(
    settings: EdgeSettings,
    make_store: impl FnOnce(&TimerService) -> S,
    reload: impl Fn() -> Result<EdgeSettings, String>,
) -> Result<(), EdgeError> {
    let logger = build_logger(&settings.logs, settings.node.node.as_str());
    let listen = settings.listen;
    let timer = TimerService::start(PAUSE_THRESHOLD);
    let store = make_store(&timer);
    let edge = Arc::new(EdgeState::new(settings, timer, logger));
    let callers = bind("callers", listen.callers)?;
    let readiness = bind("readiness", listen.readiness)?;
    let directory = bind("directory", listen.directory)?;
    let metrics = listen.metrics.map(|it| bind("metrics", it)).transpose()?;
    let signals = HandledSignals::new()?;
    info!(edge.logger, "node: started"; "callers" => listen.callers.to_string(),
        "directory" => listen.directory.to_string());
    tokio::spawn(callers.serve(Arc::clone(&edge), serve_request::<W>));
    tokio::spawn(readiness.serve(Arc::clone(&edge), serve_readiness::<W>));
    tokio::spawn(directory.serve(Arc::clone(&edge), serve_directory::<W>));
    if let Some(metrics) = metrics {
        tokio::spawn(metrics.serve(Arc::clone(&edge), serve_metrics));
    }
    if let Some(address) = listen.relay {
        let result = RelayServer::<W>::new(Arc::clone(&edge)).listen(address).await;
        result.map_err(|source| EdgeError::Listen { purpose: "relay", address, source })?;
    }
    tokio::spawn(sync::follow_store_era(Arc::clone(&edge), store.clone()));
    tokio::spawn(sync::read_store(Arc::clone(&edge), store.clone()));
    tokio::spawn(sync::drop_missing_entries(Arc::clone(&edge)));
    tokio::spawn(maintain_shares(Arc::clone(&edge)));
    tokio::spawn(maintain_borrowing(Arc::clone(&edge)));
    tokio::spawn(sync::log_warm_ups(Arc::clone(&edge)));
    tokio::spawn(sync::maintain_spent_budget_markers(Arc::clone(&edge), store.clone()));
    tokio::spawn(watch_reach(Arc::clone(&edge)));
    tokio::spawn(release_lost_reservations(Arc::clone(&edge)));
    tokio::spawn(sync::share_evidence(Arc::clone(&edge), store.clone()));
    tokio::spawn(sync::pass_on_evidence(Arc::clone(&edge)));
    tokio::spawn(sync::maintain_announcement(Arc::clone(&edge), store));
    signals.wait(&edge, reload).await;
    stop(&edge).await;
    Ok(())
}

fn bind(purpose: &'static str, address: SocketAddr) -> Result<HttpListener, EdgeError> {
    HttpListener::bind(address).map_err(|source| EdgeError::Listen { purpose, address, source })
}

/// The signals that a node handles.
struct HandledSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl HandledSignals {
    fn new() -> Result<Self, EdgeError> {
        let open = |kind| signal(kind).map_err(EdgeError::Runtime);
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, and applies the settings that `reload` returns after SIGHUP.
    async fn wait(mut self, edge: &EdgeState, reload: impl Fn() -> Result<EdgeSettings, String>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => match reload() {
                    Ok(changed) => edge.apply_settings(&changed),
                    Err(error) => {
                        warn!(edge.logger, "node: changed settings rejected, the former stay in force";
                            "cause" => error);
                    }
                },
            }
        }
    }
}

/// Removes the node from address answers, keeps serving requests that it can complete during the stop
/// grace period, and returns when there are none left or the grace period is nearly over.
async fn stop(edge: &Arc<EdgeState>) {
    let grace_period = edge.limits().stop_grace_period;
    info!(edge.logger, "node: stopping"; "limit_ms" => grace_period.as_millis() as u64);
    let stop = PlannedStop::new(edge.timer.now(), grace_period);
    edge.nodes().begin_stop();
    edge.stop_phase.send_replace(StopPhase::Stopping(stop));
    edge.timer.sleep_until(stop.idle_close_at).await;
    edge.connection_tracker.start_shutdown();
    while has_work(edge) && edge.timer.now() < stop.exit_at {
        edge.timer.sleep(STOP_CHECK_PERIOD).await;
    }
    info!(edge.logger, "node: stopped"; "open_connections" => edge.connection_tracker.open_count(),
        "helped_requests" => edge.helped_in_flight.load(Ordering::Relaxed));
}

/// Returns whether callers are connected, or other nodes wait for answers of this one.
fn has_work(edge: &EdgeState) -> bool {
    0 < edge.connection_tracker.open_count() || 0 < edge.helped_in_flight.load(Ordering::Relaxed)
}
