//! Limits of the services' upstreams that the operators' configuration states.

use std::sync::PoisonError;

use mux_config::traffic::{TrafficConfig, WarmUpLimit};
use mux_model::{FastMap, ServiceName};
use mux_routing::balancer::{WarmUpBounds, WarmUpRule};

use super::EdgeState;

/// The limits of upstreams by service.
#[derive(Debug, Default)]
pub(super) struct ServiceLimits {
    connections: FastMap<ServiceName, u32>,
    warm_up: FastMap<ServiceName, WarmUpLimit>,
}

impl ServiceLimits {
    /// Returns the number of connections that one upstream of `service` accepts from all nodes.
    pub(super) fn connections(&self, service: &ServiceName) -> Option<u32> {
        self.connections.get(service).copied()
    }

    /// Returns the bound on calls to cold upstreams of `service`, if the settings of the node and the
    /// configuration ask for one.
    pub(super) fn warm_up_rule(
        &self,
        service: &ServiceName,
        bounds: Option<WarmUpBounds>,
    ) -> Option<WarmUpRule> {
        let WarmUpLimit { period, rate_per_s } = *self.warm_up.get(service)?;
        Some(WarmUpRule { period, rate_per_s, bounds: bounds? })
    }
}

impl EdgeState {
    /// Replaces the limits of all services by those of `config`.
    pub(crate) fn set_service_limits(&self, config: &TrafficConfig) {
        let limits = ServiceLimits {
            connections: config.connection_limits.clone(),
            warm_up: config.warm_up_limits.clone(),
        };
        *self.service_limits.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }
}
