//! Applies configurations and derives what runs from them.

use std::sync::Arc;

use mux_config::{
    ConfigState, ConfigUpdate, OfferOutcome, ServiceDefinition, ServiceEntry, ServiceLimits,
};
use mux_model::{RevisionNumber, UpstreamId};
use slog::{info, warn};

use super::Node;
use crate::dispatch::{ServicePlacement, ServiceRuntime};

impl Node {
    /// Returns the revision in force here.
    pub(crate) fn revision(&self) -> RevisionNumber {
        self.lock_replica().revision()
    }

    /// Returns the configuration in force here.
    pub(crate) fn config(&self) -> Arc<ConfigState> {
        self.lock_replica().snapshot()
    }

    /// Returns what changed in the configuration since `since`.
    pub(crate) fn config_since(&self, since: RevisionNumber) -> ConfigUpdate {
        self.lock_replica().update_since(since)
    }

    /// Applies `update` if it leads to a higher revision.
    pub(crate) fn offer_config(&self, update: &ConfigUpdate) -> OfferOutcome {
        let outcome = self.lock_replica().offer(update);
        match outcome {
            OfferOutcome::Applied { from, to } => {
                self.rebuild_services();
                self.lock_guard().on_applied(to);
                self.gossip.set_revision(to);
                info!(self.logger, "config: in force"; "from" => from.0, "to" => to.0);
            }
            OfferOutcome::NeedFull => {
                warn!(self.logger, "config: update does not fit"; "to" => update.revision.0);
            }
            OfferOutcome::Ignored => {}
        }
        outcome
    }

    /// Derives the services and connection shares from the configuration and the members.
    pub(crate) fn rebuild_services(&self) {
        // The lock is held so that a slower rebuild never replaces a newer one.
        let replica = self.lock_replica();
        let config = replica.snapshot();
        let services: Vec<_> =
            config.services().map(|(_, entry)| self.build_service(entry)).collect();
        self.share_connections(&services);
        self.registry.replace(services);
    }

    fn build_service(&self, entry: &ServiceEntry) -> Arc<ServiceRuntime> {
        let definition = entry.definition.as_ref().clone();
        let placement = self.place_service(&definition);
        let runtime = match self.registry.find(&definition.name) {
            Some(known) => known.renew(definition, entry.revision, &placement),
            None => ServiceRuntime::new(definition, entry.revision, &placement, rand::random()),
        };
        Arc::new(runtime)
    }

    fn share_connections(&self, services: &[Arc<ServiceRuntime>]) {
        let mut upstreams: Vec<UpstreamId> = Vec::new();
        for service in services.iter().filter(|it| it.is_home()) {
            let share = service.connection_share();
            for entry in &service.definition().upstreams {
                self.pool.set_limit(entry.address, share);
                upstreams.push(entry.address);
            }
        }
        self.pool.retain(&upstreams);
    }

    fn place_service(&self, definition: &ServiceDefinition) -> ServicePlacement {
        let homes = self.home_members(definition);
        let home_count = u32::try_from(homes.len().max(1)).unwrap_or(u32::MAX);
        ServicePlacement {
            home: homes.iter().any(|it| it.node() == self.name()),
            home_count,
            connection_share: connection_share(&definition.limits, home_count),
            availability_zone: self.settings.availability_zone.clone(),
        }
    }
}

fn connection_share(limits: &ServiceLimits, home_count: u32) -> u32 {
    let usable = limits.connections_per_upstream.saturating_sub(limits.connection_reserve);
    (usable / home_count.max(1)).max(1)
}
