//! Builds a node from its parts.

use std::{
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use mux_adapter::{KvClient, KvSettings};
use mux_buffers::BufferAccount;
use mux_config::{ConfigReplica, FreshnessGuard, FreshnessLimits};
use mux_http::ConnectionTracker;
use mux_logs::LogThrottle;
use mux_membership::GossipService;
use mux_model::NodeIncarnation;
use mux_placement::AddressPlanner;
use mux_quarantine::{IDLE_LIFETIME, SharedLedger};
use mux_query::{LedgerLimits, SessionLedger, SessionMint};
use mux_timer::TimerService;
use mux_upstream::{PoolSettings, UpstreamPool};
use slog::Logger;
use tokio::sync::Notify;

use super::{Node, StopState};
use crate::{
    conf::NodeSettings,
    dispatch::{QueryDispatcher, ServiceRegistry},
    metrics::NodeMetrics,
    peer::PeerClient,
};

const NOT_READY_RETRY: Duration = Duration::from_millis(500);
const REJECTION_LOG_PERIOD: Duration = Duration::from_secs(10);
const REJECTION_LOG_LINES: u32 = 5;

/// Parts from which a node is built.
#[derive(Debug)]
pub(crate) struct NodeParts {
    /// Settings.
    pub(crate) settings: NodeSettings,
    /// Timer service.
    pub(crate) timer: TimerService,
    /// Logger.
    pub(crate) logger: Logger,
    /// Incarnation number of this run.
    pub(crate) incarnation: NodeIncarnation,
    /// Gossip.
    pub(crate) gossip: GossipService,
    /// Number of connections that callers may have open.
    pub(crate) max_caller_connections: usize,
}

impl NodeParts {
    /// Builds the node.
    pub(crate) fn assemble(self) -> Arc<Node> {
        let Self { settings, timer, logger, incarnation, gossip, max_caller_connections } = self;
        let store = KvClient::new(
            timer.clone(),
            KvSettings {
                address: settings.platform.key_value,
                call_timeout: Duration::from_millis(settings.platform.call_limit_ms),
            },
        );
        let pool = UpstreamPool::start(PoolSettings::default(), timer.clone(), logger.clone());
        let peers = Arc::new(PeerClient::new(timer.clone()));
        let lifetime = Duration::from_millis(settings.timing.session_lifetime_ms);
        let mint = SessionMint::new(settings.node.clone(), incarnation, lifetime);
        let limits = FreshnessLimits {
            max_contact_age: settings.timing.isolation_limit(),
            max_lag: settings.timing.isolation_limit(),
            retry_after: NOT_READY_RETRY,
        };
        let planner = AddressPlanner {
            lifetime_ms: settings.timing.address_lifetime_ms,
            ..AddressPlanner::default()
        };
        Arc::new_cyclic(|node| Node {
            started: timer.now(),
            incarnation,
            dispatcher: QueryDispatcher::new(
                node.clone(),
                timer.clone(),
                SessionLedger::new(mint, LedgerLimits::default()),
                Arc::clone(&peers),
            ),
            caller_connections: ConnectionTracker::new(),
            max_caller_connections,
            body_buffers: BufferAccount::new(settings.caller_limits.body_memory_bytes),
            settings,
            timer,
            logger,
            store,
            gossip,
            peers,
            pool,
            replica: Mutex::new(ConfigReplica::new()),
            freshness: Mutex::new(FreshnessGuard::new(limits)),
            registry: ServiceRegistry::default(),
            metrics: NodeMetrics::new(),
            stop_state: StopState::default(),
            planner,
            watches_store: AtomicBool::new(true),
            stop_request: Notify::new(),
            queries_in_flight: Arc::default(),
            last_contacts: Mutex::default(),
            rejection_throttle: LogThrottle::new(REJECTION_LOG_LINES, REJECTION_LOG_PERIOD),
            quarantine: SharedLedger::new(IDLE_LIFETIME),
        })
    }
}
