//! The balancers of all services.

use std::sync::{Arc, OnceLock, PoisonError, RwLock, RwLockReadGuard};

use mux_model::{AvailabilityZone, FastMap, FastSet, ServiceName, TimePoint};
use mux_routing::balancer::{RetryBudget, ServiceBalancer, UpstreamRecord};
use mux_sharing::NodeShares;

use crate::RuntimeLimits;

/// The balancers by service.
#[derive(Debug)]
pub(crate) struct BalancerTable {
    own_zone: AvailabilityZone,
    /// When the process started.
    started_at: TimePoint,
    balancers: RwLock<FastMap<ServiceName, Arc<ServiceBalancer>>>,
    connection_limits: RwLock<FastMap<ServiceName, u32>>,
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
            connection_limits: RwLock::default(),
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

    /// Replaces the connection limits of all services.
    pub(crate) fn set_connection_limits(&self, connection_limits: FastMap<ServiceName, u32>) {
        *self.connection_limits.write().unwrap_or_else(PoisonError::into_inner) = connection_limits;
    }

    /// Updates all balancers with the upstreams of each service, the evacuated zones, the connection
    /// limits and the number of nodes that callers may use.
    pub(crate) fn update(
        &self,
        now: TimePoint,
        services: &FastMap<ServiceName, Vec<&UpstreamRecord>>,
        closed_zones: &FastSet<AvailabilityZone>,
        nodes: u32,
    ) {
        let connection_limits =
            self.connection_limits.read().unwrap_or_else(PoisonError::into_inner);
        for (service, balancer) in self.read().iter() {
            let records = services.get(service).map_or(&[][..], Vec::as_slice);
            balancer.set_closed_zones(now, closed_zones);
            balancer.set_upstreams(now, records);
            balancer.set_limits(connection_limits.get(service).copied(), nodes);
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
