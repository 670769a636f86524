//! Applies configuration updates and rebuilds the services and connection limits from them.

use std::sync::{Arc, atomic::Ordering};

use mux_config::{ConfigState, ConfigUpdate, ServiceDefinition, ServiceEntry, UpdateOutcome};
use mux_model::{RevisionNumber, ServiceName, UpstreamId};
use mux_placement::{HomeLimits, watcher_nodes};
use slog::{info, warn};

use super::{Node, StopPhase};
use crate::dispatch::{ServicePlacement, ServiceRuntime};

/// Maximum number of services in one log line.
const MAX_LOGGED_SERVICES: usize = 8;

impl Node {
    /// Returns the revision in force at this node.
    pub(crate) fn revision(&self) -> RevisionNumber {
        self.lock_replica().revision()
    }

    /// Returns the configuration in force at this node.
    pub(crate) fn config(&self) -> Arc<ConfigState> {
        self.lock_replica().snapshot()
    }

    /// Returns the changes to the configuration since revision `since`.
    pub(crate) fn config_since(&self, since: RevisionNumber) -> ConfigUpdate {
        self.lock_replica().update_since(since)
    }

    /// Applies `update` if it leads to a higher revision.
    pub(crate) fn apply_config_update(&self, update: &ConfigUpdate) -> UpdateOutcome {
        let outcome = self.lock_replica().apply_update(update);
        match outcome {
            UpdateOutcome::Applied { from, to } => {
                self.rebuild_services();
                self.lock_freshness().on_applied(to);
                self.gossip.set_revision(to);
                info!(self.logger, "config: revision in force"; "from" => from.0, "to" => to.0);
                self.log_unreadable_services();
            }
            UpdateOutcome::FullUpdateRequired => {
                warn!(self.logger, "config: update rejected; full update required";
                    "to" => update.revision.0);
            }
            UpdateOutcome::Ignored => {}
        }
        outcome
    }

    /// Logs which definitions cannot be decoded; once for each revision that is applied.
    fn log_unreadable_services(&self) {
        let config = self.config();
        let mut names = config.unreadable_services().map(ServiceName::as_str);
        let first: Vec<&str> = names.by_ref().take(MAX_LOGGED_SERVICES).collect();
        if !first.is_empty() {
            warn!(self.logger, "config: definitions cannot be decoded; their services keep the last ones";
                "services" => first.join(" "), "more" => names.count());
        }
    }

    /// Updates the watcher role, the peer connections and the services after a membership change.
    pub(crate) fn on_members_changed(&self) {
        let watchers = watcher_nodes(&self.candidates());
        self.watches_store.store(watchers.contains(self.name()), Ordering::Release);
        let members = self.gossip.members();
        let peers: Vec<_> = members.members.iter().map(|it| it.identity.peer).collect();
        self.peers.retain(&peers);
        self.rebuild_services();
    }

    /// Rebuilds the services and connection limits from the configuration and the members.
    pub(crate) fn rebuild_services(&self) {
        // Holding the lock keeps a slow rebuild from replacing the result of a newer one.
        let replica = self.lock_replica();
        let config = replica.snapshot();
        let services: Vec<_> =
            config.services().map(|(_, entry)| self.build_service(entry)).collect();
        self.set_connection_limits(&services);
        self.registry.replace(services);
        for drain_state in self.gossip.upstream_drain_states() {
            self.apply_upstream_draining(drain_state.upstream, drain_state.draining);
        }
    }

    fn build_service(&self, entry: &ServiceEntry) -> Arc<ServiceRuntime> {
        let definition = entry.definition.as_ref().clone();
        let placement = self.compute_placement(&definition);
        let runtime = match self.registry.find(&definition.name) {
            Some(existing) => existing.reconfigure(definition, entry.revision, &placement),
            None => ServiceRuntime::new(definition, entry.revision, &placement, rand::random()),
        };
        Arc::new(runtime)
    }

    fn set_connection_limits(&self, services: &[Arc<ServiceRuntime>]) {
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

    fn compute_placement(&self, definition: &ServiceDefinition) -> ServicePlacement {
        let homes = self.home_names(definition);
        let limits = &definition.limits;
        let limits = HomeLimits::new(limits.connections_per_upstream, limits.connection_reserve);
        // A stopping node counts as a home node of all services, so that it keeps its connections
        // until its last query is done.
        let stopping = self.stop_state.phase() != StopPhase::Serving;
        ServicePlacement {
            home: stopping || homes.contains(self.name()),
            home_count: u32::try_from(homes.len().max(1)).unwrap_or(u32::MAX),
            connection_share: limits.connection_share(homes.len()),
            availability_zone: self.settings.availability_zone.clone(),
        }
    }
}
