//! The shared state of a node, with a separate lock for each part.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use mux_buffers::BufferAccount;
use mux_config::{
    ReachabilityReport, StoreReachability,
    traffic::{ActiveRoutes, RouteTable},
};
use mux_http::{ConnectionTracker, ListenerContext};
use mux_logs::LogThrottle;
use mux_model::{ServiceName, TimePoint};
use mux_placement::NodeRegistry;
use mux_quarantine::CrashLedger;
use mux_routing::balancer::{ServiceBalancer, UpstreamRegistry};
use mux_timer::TimerService;
use mux_upstream::NodeReach;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::{
    ClusterStoreError, CopyCurrency, EdgeSettings, RuntimeLimits, SettingsChange, StoreEra,
    StoreMirror, StoreRevision,
    balancer_table::{BalancerTable, BalancerUpdate},
    edge_metrics::{EdgeMetrics, StoreCallLabel},
    planned_stop::PlannedStop,
    quarantine_state::RequestQuarantine,
    relay::HelperLinks,
    route_states::RouteStates,
    service_limits::own_place,
    sharing::{GrantSharing, StandingInputs},
    upstream::{ConnectionPools, ReplyBuffers},
    workspace_quotas::WorkspaceQuotas,
};

/// Idle time-out of callers' connections until the operators' configuration has been read.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest headers of a request until the operators' configuration has been read, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1_024;
/// Maximum number of log lines about single requests in one [`REQUEST_LOG_PERIOD`].
const REQUEST_LOG_LINES: u32 = 200;
/// Period to which [`REQUEST_LOG_LINES`] applies.
const REQUEST_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of log lines about malformed entries in one [`MALFORMED_LOG_PERIOD`].
const MALFORMED_LOG_LINES: u32 = 20;
/// Period to which [`MALFORMED_LOG_LINES`] applies.
const MALFORMED_LOG_PERIOD: Duration = Duration::from_secs(10);

/// Whether a node serves normally or is stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// The node serves requests.
    Serving,
    /// The node still serves requests that it can complete, but tells callers to close their connections.
    Stopping(PlannedStop),
}

/// The shared state of a node.
#[derive(Debug)]
pub(crate) struct EdgeState {
    /// The settings of the start of the process; the limits in force are in `limits`.
    pub(crate) settings: EdgeSettings,
    limits: RwLock<RuntimeLimits>,
    pub(crate) timer: TimerService,
    pub(crate) logger: Logger,
    pub(crate) metrics: EdgeMetrics,
    pub(crate) connection_pools: ConnectionPools,
    /// Memory for the bodies of requests.
    pub(crate) body_buffers: BufferAccount,
    pub(crate) reply_buffers: ReplyBuffers,
    pub(crate) stop_phase: watch::Sender<StopPhase>,
    pub(crate) connection_tracker: ConnectionTracker,
    pub(crate) request_log: LogThrottle,
    pub(crate) malformed_entry_log: LogThrottle,
    /// Makes the announcement task write this node's entry to the store again.
    pub(crate) announce_wakeup: Notify,
    /// Makes the announcement task write this node's changed record under its lease.
    pub(crate) record_changed: Notify,
    is_announced: AtomicBool,
    /// Interrupts a pending watch of the store, so that a new one is sent.
    pub(crate) watch_restart: Notify,
    /// Position of the copy of the store that other nodes read.
    pub(crate) mirror_revision: watch::Sender<Option<StoreRevision>>,
    /// The latest era of the store that this node knows; `None` before the first reply.
    pub(crate) store_era: watch::Sender<Option<StoreEra>>,
    store_mirror: Mutex<StoreMirror>,
    active_routes: RwLock<ActiveRoutes>,
    upstreams: Mutex<UpstreamRegistry>,
    nodes: Mutex<NodeRegistry>,
    pub(crate) sharing: GrantSharing,
    pub(crate) quarantine: RequestQuarantine,
    pub(crate) workspace_quotas: WorkspaceQuotas,
    pub(crate) reach: NodeReach,
    pub(crate) helpers: HelperLinks,
    /// Number of requests of other nodes that this node serves now.
    pub(crate) helped_in_flight: AtomicUsize,
    store_reachability: Mutex<StoreReachability>,
    /// Reachability of the store as reported by the node whose copy this node reads; `None` while
    /// this node reads the store itself.
    relayed_reachability: Mutex<Option<StoreReachability>>,
    copy_currency: Mutex<CopyCurrency>,
    pub(crate) balancers: BalancerTable,
    pub(crate) routes: RouteStates,
}

impl EdgeState {
    pub(crate) fn new(settings: EdgeSettings, timer: TimerService, logger: Logger) -> Self {
        let nodes = NodeRegistry::new(settings.node.clone());
        let zone = settings.node.availability_zone.clone();
        let balancers = BalancerTable::new(zone, timer.now());
        let body_buffers = BufferAccount::new(settings.limits.process.body_bytes());
        let reply_buffers = ReplyBuffers::default();
        reply_buffers.set_limit(settings.limits.process.reply_bytes());
        let mut upstreams = UpstreamRegistry::default();
        upstreams.set_obeys_evacuations(settings.limits.evacuation.is_some());
        Self {
            limits: RwLock::new(settings.limits),
            settings,
            timer,
            logger,
            metrics: EdgeMetrics::new(),
            connection_pools: ConnectionPools::new(),
            body_buffers,
            reply_buffers,
            stop_phase: watch::Sender::new(StopPhase::Serving),
            connection_tracker: ConnectionTracker::new(),
            request_log: LogThrottle::new(REQUEST_LOG_LINES, REQUEST_LOG_PERIOD),
            malformed_entry_log: LogThrottle::new(MALFORMED_LOG_LINES, MALFORMED_LOG_PERIOD),
            announce_wakeup: Notify::new(),
            record_changed: Notify::new(),
            is_announced: AtomicBool::new(false),
            watch_restart: Notify::new(),
            mirror_revision: watch::Sender::new(None),
            store_era: watch::Sender::new(None),
            store_mirror: Mutex::default(),
            active_routes: RwLock::default(),
            upstreams: Mutex::new(upstreams),
            nodes: Mutex::new(nodes),
            sharing: GrantSharing::new(),
            quarantine: RequestQuarantine::new(),
            workspace_quotas: WorkspaceQuotas::default(),
            reach: NodeReach::new(),
            helpers: HelperLinks::default(),
            helped_in_flight: AtomicUsize::new(0),
            store_reachability: Mutex::default(),
            relayed_reachability: Mutex::default(),
            copy_currency: Mutex::default(),
            balancers,
            routes: RouteStates::default(),
        }
    }

    /// Returns the limits in force.
    pub(crate) fn limits(&self) -> RuntimeLimits {
        *self.limits.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the limits of a changed settings file into force, and logs which settings changed.
    pub(crate) fn apply_settings(&self, changed: &EdgeSettings) {
        let current = EdgeSettings { limits: self.limits(), ..self.settings.clone() };
        let change = SettingsChange::between(&current, changed);
        *self.limits.write().unwrap_or_else(PoisonError::into_inner) = changed.limits;
        self.body_buffers.set_limit(changed.limits.process.body_bytes());
        self.reply_buffers.set_limit(changed.limits.process.reply_bytes());
        self.balancers.for_each(|it| {
            it.set_retry_limits(changed.limits.retry);
            it.set_drain_limit(changed.limits.drain_limit);
        });
        self.upstreams().set_obeys_evacuations(changed.limits.evacuation.is_some());
        self.refresh_balancers(self.timer.now());
        info!(self.logger, "node: settings read again"; "applied" => change.applied.join(", "),
            "from_next_start" => change.deferred.join(", "));
    }

    /// Returns whether requests can be served: the node is not stopping, and the configuration and
    /// upstreams have been read.
    pub(crate) fn is_ready(&self) -> bool {
        self.stop_phase() == StopPhase::Serving
            && self.route_table().is_some()
            && !lock(&self.upstreams).is_empty()
    }

    pub(crate) fn stop_phase(&self) -> StopPhase {
        *self.stop_phase.borrow()
    }

    /// Returns the active routes; `None` before the configuration has been read.
    pub(crate) fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.active_routes.read().unwrap_or_else(PoisonError::into_inner).table().cloned()
    }

    /// Calls `update` with exclusive access to the active routes.
    pub(crate) fn update_active_routes<T>(&self, update: impl FnOnce(&mut ActiveRoutes) -> T) -> T {
        update(&mut self.active_routes.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether this node has an entry in the store.
    pub(crate) fn is_announced(&self) -> bool {
        self.is_announced.load(Ordering::Relaxed)
    }

    /// Records whether this node has an entry in the store.
    pub(crate) fn set_announced(&self, is_announced: bool) {
        self.is_announced.store(is_announced, Ordering::Relaxed);
    }

    /// Calls `update` for each balancer.
    pub(crate) fn for_each_balancer(&self, update: impl FnMut(&Arc<ServiceBalancer>)) {
        self.balancers.for_each(update);
    }

    pub(crate) fn upstreams(&self) -> MutexGuard<'_, UpstreamRegistry> {
        lock(&self.upstreams)
    }

    pub(crate) fn nodes(&self) -> MutexGuard<'_, NodeRegistry> {
        lock(&self.nodes)
    }

    /// Returns the copy of the store that other nodes read.
    pub(crate) fn store_mirror(&self) -> MutexGuard<'_, StoreMirror> {
        lock(&self.store_mirror)
    }

    /// Returns the current reachability of the store for the source that this node reads from.
    pub(crate) fn store_reachability(&self) -> StoreReachability {
        let relayed = *lock(&self.relayed_reachability);
        relayed.unwrap_or_else(|| *lock(&self.store_reachability))
    }

    /// Sets the reachability of the store as reported by another node; `None` if this node reads
    /// the store itself.
    pub(crate) fn set_relayed_reachability(&self, reachability: Option<StoreReachability>) {
        *lock(&self.relayed_reachability) = reachability;
    }

    /// Returns up to which time this node's own copy of the store is known to hold all changes.
    pub(crate) fn copy_currency(&self) -> MutexGuard<'_, CopyCurrency> {
        lock(&self.copy_currency)
    }

    /// Returns what readers of this node's copy have to know of the store: the age of the copy at its
    /// source, in place of the time since the store replied to any call.
    pub(crate) fn copy_report(&self, now: TimePoint) -> ReachabilityReport {
        let relayed = *lock(&self.relayed_reachability);
        if let Some(relayed) = relayed {
            return relayed.report(now);
        }
        let report = lock(&self.store_reachability).report(now);
        ReachabilityReport { since_reply: self.copy_currency().age(now), ..report }
    }

    /// Records that this node no longer reads the copy of another one, and keeps what that node had heard
    /// of the store.
    pub(crate) fn leave_relayed_reachability(&self) {
        let relayed = lock(&self.relayed_reachability).take();
        if let Some(relayed) = relayed {
            lock(&self.store_reachability).adopt(&relayed);
        }
    }

    /// Records a reply of the store.
    pub(crate) fn on_store_reply(&self) {
        let relayed = *lock(&self.relayed_reachability);
        let has_recovered = {
            let mut reachability = lock(&self.store_reachability);
            if let Some(relayed) = relayed {
                reachability.adopt(&relayed);
            }
            reachability.on_reply(self.timer.now())
        };
        if has_recovered {
            info!(self.logger, "store: reachable");
            // A watch that was pending during the outage may have lost its connection and missed
            // changes.
            self.watch_restart.notify_one();
        }
    }

    /// Records the era of the store that a reply or a peer's copy has shown. If the store was restored
    /// from an older copy, all entries are read again, and this node writes its own ones again.
    ///
    /// To be called before entries of the era are applied: until writers have written them again,
    /// missing entries may belong to live writers.
    pub(crate) fn on_store_era(&self, era: StoreEra) {
        let mut previous = None;
        let is_later = self.store_era.send_if_modified(|latest| {
            previous = *latest;
            let is_later = *latest < Some(era);
            if is_later {
                *latest = Some(era);
            }
            is_later
        });
        if !is_later {
            return;
        }
        self.metrics.store_era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
        let Some(previous) = previous else {
            return;
        };
        let now = self.timer.now();
        self.metrics.store_restores.inc();
        warn!(self.logger, "store: restored from an older copy; listing again";
            "era" => era.0, "previous_era" => previous.0,
            "config_version" => self.route_table().map_or(0, |it| it.version().0));
        lock(&self.store_reachability).on_restored(now);
        if let Some(relayed) = lock(&self.relayed_reachability).as_mut() {
            relayed.on_restored(now);
        }
        self.upstreams().on_store_restored();
        self.quarantine.ledger.update(CrashLedger::on_store_restored);
        self.watch_restart.notify_one();
        self.announce_wakeup.notify_one();
    }

    /// Records the result of a call to the store, and returns it.
    pub(crate) fn record_store_call<T>(
        &self,
        call: &'static str,
        result: Result<T, ClusterStoreError>,
    ) -> Result<T, ClusterStoreError> {
        self.metrics.store_calls.get_or_create(&StoreCallLabel { call }).inc();
        match &result {
            // These are replies too.
            Ok(_)
            | Err(
                ClusterStoreError::LeaseExpired
                | ClusterStoreError::HistoryCompacted
                | ClusterStoreError::StoreRestored,
            ) => self.on_store_reply(),
            Err(error) => self.on_store_failure(call, error),
        }
        result
    }

    /// Records a failed call to the store.
    pub(crate) fn on_store_failure(&self, call: &'static str, error: &ClusterStoreError) {
        self.metrics.store_failures.get_or_create(&StoreCallLabel { call }).inc();
        if lock(&self.store_reachability).on_failure(self.timer.now()) {
            warn!(self.logger, "store: unreachable"; "call" => call, "cause" => error.to_string());
        }
    }

    /// Returns the balancer of a service, creating it if necessary.
    pub(crate) fn balancer(&self, service: &ServiceName) -> Arc<ServiceBalancer> {
        self.balancers.get_or_create(service, || (self.limits(), self.sharing.shares()))
    }

    /// Sets the services for which the previous process of this node had spent a large part of its
    /// share of the retry budget; only the first call has an effect.
    pub(crate) fn set_inherited_spent_services(&self, services: Vec<ServiceName>) {
        let count = services.len();
        let is_first = self.balancers.set_inherited_spent_services(services);
        if is_first && 0 < count {
            info!(self.logger,
                "budget: the previous process had spent a large part of its retry budget shares";
                "services" => count);
        }
    }

    /// Returns all metrics in the text exposition format.
    pub(crate) fn render_metrics(&self) -> String {
        let mut reports = Vec::new();
        let mut rate_limited = 0;
        let mut cold = Vec::new();
        let now = self.timer.now();
        self.balancers.for_each(|it| {
            reports.push(it.report());
            rate_limited += it.rate_limited_upstreams();
            cold.extend(it.warm_up_reports(now));
        });
        self.metrics.balancers.set(reports.into_iter());
        self.metrics.warm_ups.set(&cold);
        let (suspects, quarantined) = self.quarantine.ledger.update(|it| it.counts());
        self.metrics.suspect_requests.set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.metrics.quarantined_requests.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        self.metrics.body_buffers.set(self.body_buffers.usage());
        self.metrics.connections.set(self.connection_tracker.counts(), self.max_connections());
        let buffered_bytes = i64::try_from(self.reply_buffers.used_bytes()).unwrap_or(i64::MAX);
        self.metrics.reply_buffer_bytes.set(buffered_bytes);
        self.metrics.rate_limited_upstreams.set(i64::try_from(rate_limited).unwrap_or(i64::MAX));
        self.metrics.render()
    }

    /// Updates this node's shares of the bounds that hold over all nodes; to be called periodically, and
    /// when the known nodes have changed.
    pub(crate) fn refresh_shares(&self, now: TimePoint) {
        let inputs = StandingInputs {
            store_reply_age: self.store_reachability().time_since_reply(now),
            max_address_lifetime: self.limits().max_address_lifetime,
        };
        let Some((shares, nodes)) = self.sharing.refresh(now, &self.nodes(), inputs) else {
            return;
        };
        self.balancers.for_each(|it| it.set_rate_shares(&shares));
        let own_zone_share = shares.share(&self.settings.node.availability_zone);
        self.metrics.rate_share.set(own_zone_share);
        info!(self.logger, "node: share of upstreams' rate limits changed";
            "own_zone_percent" => (own_zone_share * 100.0).round() as u64,
            "nodes" => nodes, "standing" => format!("{:?}", shares.standing()));
    }

    /// Updates all balancers and gauges with the registered upstreams, connection limits and number
    /// of nodes, and closes the connection pools of instances that are no longer eligible for requests.
    pub(crate) fn refresh_balancers(&self, now: TimePoint) {
        self.refresh_shares(now);
        let (nodes, place) = {
            let registry = self.nodes();
            self.metrics.nodes.set(i64::from(registry.node_count()));
            (registry.advertised_count(), own_place(&registry))
        };
        let registry = self.upstreams();
        let services = registry.by_service();
        let closed_zones = registry.closed_zones();
        for service in services.keys() {
            self.balancer(service);
        }
        let update = BalancerUpdate {
            services: &services,
            closed_zones: &closed_zones,
            nodes,
            place,
            warm_up: self.limits().warm_up,
        };
        self.balancers.update(now, &update);
        self.metrics.evacuations.set(now, &registry);
        self.metrics.upstreams.set(i64::try_from(registry.len()).unwrap_or(i64::MAX));
        let eligible = services.values().flatten().map(|it| &it.instance);
        self.connection_pools.keep_only(eligible);
    }
}

impl ListenerContext for EdgeState {
    fn timer(&self) -> &TimerService {
        &self.timer
    }

    fn logger(&self) -> &Logger {
        &self.logger
    }

    fn header_timeout(&self) -> Duration {
        // It includes the idle time before a request, so it is the idle time-out of the limits.
        self.route_table().map_or(DEFAULT_IDLE_TIMEOUT, |it| it.request_limits().idle_timeout)
    }

    fn max_header_bytes(&self) -> usize {
        self.route_table().map_or(DEFAULT_HEADER_BYTES, |it| it.request_limits().header_bytes)
    }

    fn max_connections(&self) -> usize {
        let buffer_bytes = mux_http::buffer_bytes(self.max_header_bytes());
        self.limits().process.connections(buffer_bytes)
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connection_tracker
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
