//! The state of a node, in parts that each have a lock of their own.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock},
    time::Duration,
};

use mux_config::{
    StoreReachability,
    traffic::{ActiveRoutes, RouteRule, RouteTable, WeightedRoundRobin, WeightedService},
};
use mux_http::{ConnectionTracker, ListenerContext};
use mux_logs::LogThrottle;
use mux_model::{FastMap, FastSet, InstanceId, ServiceName, TimePoint};
use mux_placement::NodeRegistry;
use mux_routing::balancer::{LatencyEstimator, RetryBudget, ServiceBalancer, UpstreamRegistry};
use mux_timer::TimerService;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::{
    EdgeSettings, StoreFault,
    edge_metrics::{EdgeMetrics, StoreCallLabel},
    upstream::LinkTable,
};

/// Time for which an idle connection is kept before the operators' bound is known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);
/// Lines about single requests that are logged in one period, at most.
const REQUEST_LOG_LINES: u32 = 200;
/// The period of [`REQUEST_LOG_LINES`].
const REQUEST_LOG_PERIOD: Duration = Duration::from_secs(1);

/// How far a node is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// It serves.
    Serving,
    /// It serves, but asks callers to leave.
    Leaving,
}

/// One node.
#[derive(Debug)]
pub(crate) struct Edge {
    pub(crate) settings: EdgeSettings,
    pub(crate) timer: TimerService,
    pub(crate) logger: Logger,
    pub(crate) metrics: EdgeMetrics,
    pub(crate) links: LinkTable,
    pub(crate) stop: watch::Sender<StopPhase>,
    pub(crate) connection_tracker: ConnectionTracker,
    pub(crate) request_log: LogThrottle,
    /// Wakes the task that keeps this node's entry in the store.
    pub(crate) announce: Notify,
    /// Ends a watch that waits, so that the store is asked anew.
    pub(crate) watch_again: Notify,
    config: RwLock<ActiveRoutes>,
    upstreams: Mutex<UpstreamRegistry>,
    nodes: Mutex<NodeRegistry>,
    contact: Mutex<StoreReachability>,
    balancers: RwLock<FastMap<ServiceName, Arc<ServiceBalancer>>>,
    limits: RwLock<FastMap<ServiceName, u32>>,
    latency_estimators: RwLock<FastMap<String, Arc<Mutex<LatencyEstimator>>>>,
    splits: Mutex<FastMap<String, WeightedRoundRobin>>,
    started: TimePoint,
    /// Services for which the process before this one had spent much of the retry budget; set by
    /// the first listing.
    inherited_spent: OnceLock<FastSet<ServiceName>>,
}

impl Edge {
    pub(crate) fn new(settings: EdgeSettings, timer: TimerService, logger: Logger) -> Self {
        let nodes = NodeRegistry::new(settings.node.clone());
        let started = timer.now();
        Self {
            settings,
            timer,
            logger,
            metrics: EdgeMetrics::new(),
            links: LinkTable::new(),
            stop: watch::Sender::new(StopPhase::Serving),
            connection_tracker: ConnectionTracker::new(),
            request_log: LogThrottle::new(REQUEST_LOG_LINES, REQUEST_LOG_PERIOD),
            announce: Notify::new(),
            watch_again: Notify::new(),
            config: RwLock::default(),
            upstreams: Mutex::default(),
            nodes: Mutex::new(nodes),
            contact: Mutex::default(),
            balancers: RwLock::default(),
            limits: RwLock::default(),
            latency_estimators: RwLock::default(),
            splits: Mutex::default(),
            started,
            inherited_spent: OnceLock::new(),
        }
    }

    /// Returns whether requests can be served: the configuration and upstreams were read.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == StopPhase::Serving
            && self.table().is_some()
            && !lock(&self.upstreams).is_empty()
    }

    pub(crate) fn phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Returns the routes in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).table().cloned()
    }

    /// Gives access to the configuration for a change.
    pub(crate) fn change_config<T>(&self, act: impl FnOnce(&mut ActiveRoutes) -> T) -> T {
        act(&mut self.config.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the connection limits of services.
    pub(crate) fn set_connection_limits(&self, limits: FastMap<ServiceName, u32>) {
        *self.limits.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    pub(crate) fn upstreams(&self) -> MutexGuard<'_, UpstreamRegistry> {
        lock(&self.upstreams)
    }

    pub(crate) fn nodes(&self) -> MutexGuard<'_, NodeRegistry> {
        lock(&self.nodes)
    }

    /// Returns what is known of the contact to the store.
    pub(crate) fn contact(&self) -> StoreReachability {
        *lock(&self.contact)
    }

    /// Takes in that the store answered.
    pub(crate) fn on_store_answer(&self) {
        if lock(&self.contact).on_reply(self.timer.now()) {
            info!(self.logger, "store: reached");
            // A watch that was waiting may have lost its connection, and what changed meanwhile.
            self.watch_again.notify_one();
        }
    }

    /// Takes in that a call to the store failed.
    pub(crate) fn on_store_failure(&self, call: &'static str, fault: &StoreFault) {
        self.metrics.store_failures.get_or_create(&StoreCallLabel { call }).inc();
        if lock(&self.contact).on_failure(self.timer.now()) {
            warn!(self.logger, "store: lost"; "call" => call, "cause" => fault.to_string());
        }
    }

    /// Returns the lane of a service.
    pub(crate) fn balancer(&self, service: &ServiceName) -> Arc<ServiceBalancer> {
        if let Some(balancer) =
            self.balancers.read().unwrap_or_else(PoisonError::into_inner).get(service)
        {
            return Arc::clone(balancer);
        }
        let mut balancers = self.balancers.write().unwrap_or_else(PoisonError::into_inner);
        let balancer = balancers.entry(service.clone()).or_insert_with(|| {
            let zone = self.settings.node.availability_zone.clone();
            let is_spent = self.inherited_spent().is_some_and(|it| it.contains(service));
            let retry_budget = RetryBudget::started(self.started, is_spent);
            Arc::new(ServiceBalancer::with_retry_budget(self.settings.retry, zone, retry_budget))
        });
        Arc::clone(balancer)
    }

    /// Takes in for which services the process before this one had spent much of the retry budget;
    /// only the first call has an effect.
    pub(crate) fn inherit_spent(&self, services: Vec<ServiceName>) {
        let count = services.len();
        let is_first = self.inherited_spent.set(services.into_iter().collect()).is_ok();
        if is_first && 0 < count {
            info!(self.logger, "budget: the process before had spent its part";
                "services" => count);
        }
    }

    /// Returns the services for which the process before had spent much of the retry budget;
    /// `None` before the first listing.
    pub(crate) fn inherited_spent(&self) -> Option<&FastSet<ServiceName>> {
        self.inherited_spent.get()
    }

    /// Returns the share of this node's part of the retry budget that is spent, by service.
    pub(crate) fn spent_fractions(&self, now: TimePoint) -> Vec<(ServiceName, f64)> {
        let balancers = self.balancers.read().unwrap_or_else(PoisonError::into_inner);
        balancers
            .iter()
            .map(|(service, balancer)| (service.clone(), balancer.spent_fraction(now)))
            .collect()
    }

    /// Returns all metrics as text.
    pub(crate) fn render_metrics(&self) -> String {
        let balancers = self.balancers.read().unwrap_or_else(PoisonError::into_inner);
        self.metrics.balancers.set(balancers.values().map(|it| it.report()));
        drop(balancers);
        self.metrics.render()
    }

    /// Passes what is known of upstreams, limits and nodes on to the lanes.
    pub(crate) fn refresh_balancers(&self, now: TimePoint) {
        let nodes = self.nodes().advertised_count();
        let registry = self.upstreams();
        let services = registry.by_service();
        for service in services.keys() {
            self.balancer(service);
        }
        let limits = self.limits.read().unwrap_or_else(PoisonError::into_inner);
        let balancers = self.balancers.read().unwrap_or_else(PoisonError::into_inner);
        for (service, balancer) in balancers.iter() {
            let records = services.get(service).map_or(&[][..], Vec::as_slice);
            balancer.set_upstreams(now, records);
            balancer.set_limits(limits.get(service).copied(), nodes);
        }
        let serving = services.values().flatten().map(|it| &it.instance);
        self.links.keep_only(serving);
    }

    /// Takes in that another instance answered in the place of `instance`.
    pub(crate) fn on_misdirected(&self, instance: &InstanceId) {
        if self.upstreams().on_misdirected(instance) {
            info!(self.logger, "upstream: another instance has its address";
                "instance" => instance.as_str());
            self.refresh_balancers(self.timer.now());
        }
    }

    /// Returns what was measured of a route.
    pub(crate) fn latency_estimator(&self, rule: &RouteRule) -> Arc<Mutex<LatencyEstimator>> {
        let latency_estimators =
            self.latency_estimators.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(latency_estimator) = latency_estimators.get(&rule.name) {
            lock(latency_estimator).set_latency_target(rule.latency_target);
            return Arc::clone(latency_estimator);
        }
        drop(latency_estimators);
        let mut latency_estimators =
            self.latency_estimators.write().unwrap_or_else(PoisonError::into_inner);
        let latency_estimator = latency_estimators
            .entry(rule.name.clone())
            .or_insert_with(|| Arc::new(Mutex::new(LatencyEstimator::new(rule.latency_target))));
        Arc::clone(latency_estimator)
    }

    /// Returns the service that the next request of a split route goes to.
    pub(crate) fn choose_part(
        &self,
        rule: &RouteRule,
        parts: &[WeightedService],
    ) -> Option<ServiceName> {
        let mut splits = lock(&self.splits);
        let known = splits.get_mut(&rule.name).filter(|it| it.is_for(parts));
        let chooser = match known {
            Some(it) => it,
            None => {
                let chooser = WeightedRoundRobin::new(parts, rand::random());
                splits.insert(rule.name.clone(), chooser);
                splits.get_mut(&rule.name)?
            }
        };
        chooser.choose().cloned()
    }
}

impl ListenerContext for Edge {
    fn timer(&self) -> &TimerService {
        &self.timer
    }

    fn logger(&self) -> &Logger {
        &self.logger
    }

    fn header_timeout(&self) -> Duration {
        self.table().map_or(DEFAULT_IDLE_TIME, |it| it.request_limits().idle_timeout)
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connection_tracker
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
