//! Starts a node and runs it until its planned stop.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use mux_http::{connections_within, process_descriptors};
use mux_membership::{GossipEvent, GossipService, GossipSettings, NodeIdentity};
use mux_model::NodeIncarnation;
use mux_timer::{TimerService, unix_millis};
use slog::{Logger, info};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use crate::{
    Node, StartError, caller::CallerServer, conf::NodeSettings, http_thread::HttpThread,
    metrics::MetricsServer, node::NodeParts, operator::OperatorServer, peer::PeerServer, sync,
};

const HTTP_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Descriptors of the process if the operating system does not tell.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Connections that callers may have open unless the settings tell.
const DEFAULT_CONNECTIONS: usize = 4_096;

/// Runs a node until its planned stop ends, which SIGTERM, SIGINT or an operator's request starts.
///
/// # Errors
///
/// Returns [`StartError`] if the runtime, a listener or a signal handler cannot be started.
pub fn run(settings: NodeSettings) -> Result<(), StartError> {
    let runtime = Builder::new_multi_thread().enable_all().build().map_err(StartError::Runtime)?;
    let result = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    result
}

async fn serve(settings: NodeSettings) -> Result<(), StartError> {
    let logger = mux_logs::build_logger(&settings.logs, settings.node.as_str());
    let (node, events) = start_node(settings, logger)?;
    let listen = &node.settings().listen;
    let peer_server = PeerServer::new(Arc::clone(&node));
    peer_server
        .listen(listen.peer, node.logger().clone())
        .await
        .map_err(|it| listen_error("listen.peer", listen.peer, it))?;
    OperatorServer::new(Arc::clone(&node))
        .listen(listen.operator)
        .await
        .map_err(|it| listen_error("listen.operator", listen.operator, it))?;
    let limits = node.settings().caller_limits.clone();
    let callers = CallerServer::new(Arc::clone(&node), limits)
        .listen(listen.caller)
        .map_err(|it| listen_error("listen.caller", listen.caller, it))?;
    let metrics = MetricsServer::new(Arc::clone(&node))
        .listen(listen.metrics)
        .map_err(|it| listen_error("listen.metrics", listen.metrics, it))?;
    spawn_tasks(&node, events);
    info!(node.logger(), "node: started"; "callers" => listen.caller.to_string(),
        "operators" => listen.operator.to_string());
    let metrics = HttpThread::start(metrics).map_err(StartError::Runtime)?;
    run_until_stopped(&node).await.map_err(StartError::Runtime)?;
    // Connections still open after this limit are idle, or carry queries that have exceeded the
    // drain limit.
    callers.stop(HTTP_STOP_TIMEOUT).await;
    metrics.stop(node.timer(), HTTP_STOP_TIMEOUT).await;
    Ok(())
}

/// Returns the number of connections that callers may have open.
fn max_caller_connections(settings: &NodeSettings) -> Result<usize, StartError> {
    let descriptors = process_descriptors().unwrap_or(DEFAULT_DESCRIPTORS);
    let allowed = connections_within(descriptors);
    let wanted = settings.caller_limits.connections.and_then(|it| usize::try_from(it).ok());
    match wanted {
        Some(connections) if allowed < connections => {
            Err(StartError::TooFewDescriptors { connections, allowed, descriptors })
        }
        Some(connections) => Ok(connections),
        None => Ok(allowed.min(DEFAULT_CONNECTIONS)),
    }
}

fn start_node(
    settings: NodeSettings,
    logger: Logger,
) -> Result<(Arc<Node>, mpsc::Receiver<GossipEvent>), StartError> {
    let timer = TimerService::start(Duration::from_millis(settings.timing.pause_limit_ms));
    let incarnation = NodeIncarnation(unix_millis());
    let identity = NodeIdentity {
        node: settings.node.clone(),
        availability_zone: settings.availability_zone.clone(),
        peer: settings.listen.peer,
        caller: settings.listen.caller,
        operator: settings.listen.operator,
    };
    let gossip_settings = GossipSettings {
        probe_period: settings.timing.probe_period(),
        ..GossipSettings::new(&settings.installation)
    };
    let (gossip, events) =
        GossipService::start(gossip_settings, identity, incarnation, timer.clone(), logger.clone())
            .map_err(StartError::Gossip)?;
    let max_caller_connections = max_caller_connections(&settings)?;
    let parts = NodeParts { settings, timer, logger, incarnation, gossip, max_caller_connections };
    let node = parts.assemble();
    Ok((node, events))
}

fn spawn_tasks(node: &Arc<Node>, events: mpsc::Receiver<GossipEvent>) {
    tokio::spawn(sync::watch_members(Arc::clone(node), events));
    tokio::spawn(sync::watch_config(Arc::clone(node)));
    tokio::spawn(sync::watch_vms(Arc::clone(node)));
    tokio::spawn(sync::run_janitor(Arc::clone(node)));
    tokio::spawn(sync::poll_upstreams(Arc::clone(node)));
    tokio::spawn(sync::share_evidence(Arc::clone(node)));
    tokio::spawn(sync::watch_reach(Arc::clone(node)));
}

async fn run_until_stopped(node: &Arc<Node>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.stop_requested() => {}
    }
    sync::stop_node(Arc::clone(node)).await;
    Ok(())
}

fn listen_error(key: &'static str, address: SocketAddr, source: io::Error) -> StartError {
    StartError::Listen { key, address, source }
}
