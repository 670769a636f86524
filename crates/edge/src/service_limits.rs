//! Limits of the services' upstreams that the operators' configuration states.

use std::collections::BTreeSet;

use mux_config::traffic::{TrafficConfig, WarmUpLimit};
use mux_model::{FastMap, ServiceName};
use mux_placement::NodeRegistry;
use mux_routing::balancer::{NodePlace, WarmUpBounds, WarmUpRule};

/// The limits of upstreams by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLimits {
    connections: FastMap<ServiceName, u32>,
    warm_up: FastMap<ServiceName, WarmUpLimit>,
}

impl ServiceLimits {
    /// Returns the limits that `config` states.
    pub(crate) fn of_config(config: &TrafficConfig) -> Self {
        Self {
            connections: config.connection_limits.clone(),
            warm_up: config.warm_up_limits.clone(),
        }
    }

    /// Returns the number of connections that one upstream of `service` accepts from all nodes.
    pub(crate) fn connections(&self, service: &ServiceName) -> Option<u32> {
        self.connections.get(service).copied()
    }

    /// Returns the bound on calls to cold upstreams of `service`, if the settings of the node and the
    /// configuration ask for one.
    pub(crate) fn warm_up_rule(
        &self,
        service: &ServiceName,
        bounds: Option<WarmUpBounds>,
        place: NodePlace,
    ) -> Option<WarmUpRule> {
        let WarmUpLimit { period, rate_per_s } = *self.warm_up.get(service)?;
        Some(WarmUpRule { period, rate_per_s, bounds: bounds?, phase: place.phase() })
    }
}

/// Returns the place of this node among the advertised ones, and itself.
pub(crate) fn own_place(nodes: &NodeRegistry) -> NodePlace {
    let own = nodes.own_record();
    let places: BTreeSet<_> = nodes
        .advertised_nodes()
        .chain([own])
        .map(|it| (it.availability_zone.as_str(), it.node.as_str()))
        .collect();
    let own_zone = own.availability_zone.as_str();
    let zones: BTreeSet<_> = places.iter().map(|(zone, _)| *zone).collect();
    let in_own_zone = places.iter().filter(|(zone, _)| *zone == own_zone);
    NodePlace {
        rank: in_own_zone.clone().filter(|(_, node)| *node < own.node.as_str()).count(),
        nodes: in_own_zone.count(),
        zone_rank: zones.iter().filter(|it| **it < own_zone).count(),
        zones: zones.len(),
    }
}
