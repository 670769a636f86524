//! The state of a node and the operations that its listeners use.

mod addresses;
mod admission;
mod config;
mod draining;
mod node_parts;
mod quarantine;
mod status;
mod stop_state;
mod telemetry;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use mux_adapter::KvClient;
use mux_buffers::BufferAccount;
use mux_config::{ConfigReplica, FreshnessGuard};
use mux_http::ConnectionTracker;
use mux_logs::LogThrottle;
use mux_membership::GossipService;
use mux_model::{AvailabilityZone, NodeId, TimePoint};
use mux_placement::AddressPlanner;
use mux_quarantine::SharedLedger;
use mux_timer::TimerService;
use mux_upstream::UpstreamPool;
use slog::Logger;
use tokio::sync::Notify;

use crate::{
    conf::NodeSettings,
    dispatch::{QueryDispatcher, ServiceRegistry},
    metrics::NodeMetrics,
    peer::PeerClient,
};

pub(crate) use addresses::CUT_LOAD;
pub(crate) use node_parts::NodeParts;
pub(crate) use stop_state::{StopPhase, StopState};

/// A node: its settings, state and connections.
pub(crate) struct Node {
    settings: NodeSettings,
    timer: TimerService,
    logger: Logger,
    started: TimePoint,
    incarnation: mux_model::NodeIncarnation,
    store: KvClient,
    gossip: GossipService,
    peers: Arc<PeerClient>,
    pool: UpstreamPool,
    replica: Mutex<ConfigReplica>,
    freshness: Mutex<FreshnessGuard>,
    registry: ServiceRegistry,
    dispatcher: QueryDispatcher,
    metrics: NodeMetrics,
    stop_state: StopState,
    planner: AddressPlanner,
    watches_store: AtomicBool,
    stop_request: Notify,
    queries_in_flight: Arc<AtomicU32>,
    last_contacts: Mutex<LastContacts>,
    rejection_throttle: LogThrottle,
    quarantine: SharedLedger,
    body_buffers: BufferAccount,
    caller_connections: ConnectionTracker,
    max_caller_connections: usize,
}

/// Times of the last replies from the store and from a peer.
#[derive(Debug, Clone, Copy, Default)]
struct LastContacts {
    store: Option<TimePoint>,
    peer: Option<TimePoint>,
}

/// Counts a query as in flight until this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    queries_in_flight: Arc<AtomicU32>,
}

impl Node {
    /// Returns the name.
    pub(crate) fn name(&self) -> &NodeId {
        &self.settings.node
    }

    /// Returns the availability zone.
    pub(crate) fn availability_zone(&self) -> &AvailabilityZone {
        &self.settings.availability_zone
    }

    /// Returns the longest lifetime of an address answer.
    pub(crate) fn max_address_lifetime(&self) -> Duration {
        Duration::from_millis(self.planner.max_lifetime_ms())
    }

    /// Returns the settings.
    pub(crate) fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the tracker of callers' connections.
    pub(crate) fn caller_connections(&self) -> &ConnectionTracker {
        &self.caller_connections
    }

    /// Returns the number of connections that callers may have open.
    pub(crate) fn max_caller_connections(&self) -> usize {
        self.max_caller_connections
    }

    /// Returns the memory for the bodies of requests.
    pub(crate) fn body_buffers(&self) -> &BufferAccount {
        &self.body_buffers
    }

    /// Returns the timer service.
    pub(crate) fn timer(&self) -> &TimerService {
        &self.timer
    }

    /// Returns the logger.
    pub(crate) fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the client of the key-value service.
    pub(crate) fn store(&self) -> &KvClient {
        &self.store
    }

    /// Returns the gossip service.
    pub(crate) fn gossip(&self) -> &GossipService {
        &self.gossip
    }

    /// Returns the connections to other nodes.
    pub(crate) fn peers(&self) -> &PeerClient {
        &self.peers
    }

    /// Returns the connections to upstreams.
    pub(crate) fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns whether this node is cut from all upstreams.
    pub(crate) fn is_cut(&self) -> bool {
        self.pool.reach().is_cut()
    }

    /// Waits for the result of a probe of upstreams if one is due; returns whether this node is cut from
    /// all of them.
    pub(crate) async fn settle_reach(&self, limit: Duration) -> bool {
        let known = self.pool.report().upstreams.len();
        self.pool.reach().settle(&self.timer, known, limit).await
    }

    /// Returns the services in force.
    pub(crate) fn registry(&self) -> &ServiceRegistry {
        &self.registry
    }

    /// Returns the dispatcher of queries.
    pub(crate) fn dispatcher(&self) -> &QueryDispatcher {
        &self.dispatcher
    }

    /// Returns the state of the planned stop.
    pub(crate) fn stop_state(&self) -> &StopState {
        &self.stop_state
    }

    /// Requests the planned stop.
    pub(crate) fn request_stop(&self) {
        self.stop_request.notify_one();
    }

    /// Waits until an operator requests the planned stop.
    pub(crate) async fn stop_requested(&self) {
        self.stop_request.notified().await;
    }

    /// Returns whether this node watches the key-value service on behalf of the other nodes.
    pub(crate) fn watches_store(&self) -> bool {
        self.watches_store.load(Ordering::Acquire)
    }

    /// Returns the number of queries in flight.
    pub(crate) fn queries_in_flight(&self) -> u32 {
        self.queries_in_flight.load(Ordering::Acquire)
    }

    /// Counts a query as in flight until the returned guard is dropped.
    pub(crate) fn track_query(&self) -> InFlightGuard {
        self.queries_in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { queries_in_flight: Arc::clone(&self.queries_in_flight) }
    }

    /// Returns the peer address of a member that is not dead.
    pub(crate) fn peer_address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.gossip.members().get(node).map(|it| it.identity.peer)
    }

    fn lock_freshness(&self) -> MutexGuard<'_, FreshnessGuard> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_replica(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn last_contacts(&self) -> LastContacts {
        *self.last_contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.queries_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
