//! The balancers of all services.

use std::sync::{Arc, OnceLock, PoisonError, RwLock, RwLockReadGuard};

use mux_model::{AvailabilityZone, FastMap, FastSet, ServiceName, TimePoint};
use mux_routing::balancer::{
    NodePlace, RetryBudget, ServiceBalancer, UpstreamRecord, WarmUpBounds,
};
use mux_sharing::NodeShares;

use crate::{RuntimeLimits, service_limits::ServiceLimits};

/// What the balancers need to know of the upstreams and nodes.
#[derive(Debug)]
pub(crate) struct BalancerUpdate<'a> {
    /// The upstreams that are eligible for new requests, by service.
    pub(crate) services: &'a FastMap<ServiceName, Vec<&'a UpstreamRecord>>,
    /// The evacuated availability zones.
    pub(crate) closed_zones: &'a FastSet<AvailabilityZone>,
    /// Number of nodes that callers may use.
    pub(crate) nodes: u32,
    /// Place of this node among them.
    pub(crate) place: NodePlace,
    /// Margin of the bound on calls to cold upstreams; `None` if they are not bounded.
    pub(crate) warm_up: Option<WarmUpBounds>,
}

/// The balancers by service.
#[derive(Debug)]
pub(crate) struct BalancerTable {
    own_zone: AvailabilityZone,
    /// When the process started.
    started_at: TimePoint,
    balancers: RwLock<FastMap<ServiceName, Arc<ServiceBalancer>>>,
    service_limits: RwLock<ServiceLimits>,
    /// Services for which the previous process of this node had spent a large part of its share of
    /// the retry budget; unset until the store's entries have been listed for the first time.
    inherited_spent_services: OnceLock<FastSet<ServiceName>>,
}

impl BalancerTable {
    /// Creates the table of a node in `own_zone` whose process started at `started_at`.
    pub(crate) fn new(own_zone: AvailabilityZone, started_at: TimePoint) -> Self {
        Self {
            own_zone,
            started_at,
            balancers: RwLock::default(),
            service_limits: RwLock::default(),
            inherited_spent_services: OnceLock::new(),
        }
    }

    /// Returns the balancer of a service; creates it with the results of `current` if there is none.
    pub(crate) fn get_or_create(
        &self,
        service: &ServiceName,
        current: impl FnOnce() -> (RuntimeLimits, NodeShares),
    ) -> Arc<ServiceBalancer> {
        if let Some(balancer) = self.read().get(service) {
            return Arc::clone(balancer);
        }
        let mut balancers = self.balancers.write().unwrap_or_else(PoisonError::into_inner);
        let balancer = balancers.entry(service.clone()).or_insert_with(|| {
            let is_spent = self.inherited_spent_services().is_some_and(|it| it.contains(service));
            let retry_budget = RetryBudget::started(self.started_at, is_spent);
            let (limits, shares) = current();
            let zone = self.own_zone.clone();
            let balancer = ServiceBalancer::with_retry_budget(limits.retry, zone, retry_budget);
            balancer.set_drain_limit(limits.drain_limit);
            balancer.set_rate_shares(&shares);
            Arc::new(balancer)
        });
        Arc::clone(balancer)
    }

    /// Calls `update` for each balancer.
    pub(crate) fn for_each(&self, update: impl FnMut(&Arc<ServiceBalancer>)) {
        self.read().values().for_each(update);
    }

    /// Replaces the limits of all services.
    pub(crate) fn set_service_limits(&self, limits: ServiceLimits) {
        *self.service_limits.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Updates all balancers.
    pub(crate) fn update(&self, now: TimePoint, update: &BalancerUpdate<'_>) {
        let limits = self.service_limits.read().unwrap_or_else(PoisonError::into_inner);
        for (service, balancer) in self.read().iter() {
            let records = update.services.get(service).map_or(&[][..], Vec::as_slice);
            let rule = limits.warm_up_rule(service, update.warm_up, update.place);
            balancer.set_closed_zones(now, update.closed_zones);
            balancer.set_warm_up_rule(now, rule);
            balancer.set_upstreams(now, records);
            balancer.set_limits(limits.connections(service), update.nodes);
        }
    }

    /// Sets the services for which the previous process of this node had spent a large part of its
    /// share of the retry budget; returns whether the call was the first, as others have no effect.
    pub(crate) fn set_inherited_spent_services(&self, services: Vec<ServiceName>) -> bool {
        self.inherited_spent_services.set(services.into_iter().collect()).is_ok()
    }

    /// Returns the services for which the previous process of this node had spent a large part of
    /// its share of the retry budget; `None` until the store's entries have been listed for the
    /// first time.
    pub(crate) fn inherited_spent_services(&self) -> Option<&FastSet<ServiceName>> {
        self.inherited_spent_services.get()
    }

    /// Returns the spent fractions of this node's shares of the retry budgets, by service.
    pub(crate) fn spent_fractions(&self, now: TimePoint) -> Vec<(ServiceName, f64)> {
        let balancers = self.read();
        let fractions = balancers.iter();
        fractions.map(|(service, it)| (service.clone(), it.spent_fraction(now))).collect()
    }

    fn read(&self) -> RwLockReadGuard<'_, FastMap<ServiceName, Arc<ServiceBalancer>>> {
        self.balancers.read().unwrap_or_else(PoisonError::into_inner)
    }
}
