//! What a node keeps for each route.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use mux_config::traffic::{RouteRule, WeightedRoundRobin, WeightedService};
use mux_model::{FastMap, ServiceName};
use mux_routing::balancer::LatencyEstimator;

/// Latency estimators and schedulers by the name of the route.
#[derive(Debug, Default)]
pub(crate) struct RouteStates {
    latency_estimators: RwLock<FastMap<String, Arc<Mutex<LatencyEstimator>>>>,
    split_schedulers: Mutex<FastMap<String, WeightedRoundRobin>>,
}

impl RouteStates {
    /// Returns the latency estimator of a route, with the route's current latency target.
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

    /// Returns the service for the next request of a route that is split between services.
    pub(crate) fn choose_service(
        &self,
        rule: &RouteRule,
        services: &[WeightedService],
    ) -> Option<ServiceName> {
        let mut split_schedulers = lock(&self.split_schedulers);
        let current = split_schedulers.get_mut(&rule.name).filter(|it| it.is_for(services));
        let scheduler = match current {
            Some(it) => it,
            None => {
                let scheduler = WeightedRoundRobin::new(services, rand::random());
                split_schedulers.insert(rule.name.clone(), scheduler);
                split_schedulers.get_mut(&rule.name)?
            }
        };
        scheduler.choose().cloned()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
