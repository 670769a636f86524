//! Selects the addresses to which callers and other nodes send queries.

use std::{net::SocketAddr, time::Duration};

use mux_config::ServiceDefinition;
use mux_membership::{MemberRecord, MemberState};
use mux_model::{AvailabilityZone, NodeId, ServiceName};
use mux_placement::{AddressQuery, CandidateNode, HomeLimits, home_nodes};

use super::{Node, StopPhase};
use crate::{
    caller::{AddressAnswer, AddressEntry, SessionGrant},
    dispatch::{ProblemCode, QueryProblem},
};

const MAX_ALTERNATIVE_ADDRESSES: usize = 3;
/// Load that a node which is cut from all upstreams reports to the others.
pub(crate) const CUT_LOAD: u16 = u16::MAX;

impl Node {
    /// Returns the addresses to which `caller` can send queries of `service`, and a new session.
    ///
    /// # Errors
    ///
    /// Returns the problem to report to the caller if the node does not admit queries or the
    /// service is unknown.
    pub(crate) fn resolve_addresses(
        &self,
        service: &ServiceName,
        zone: Option<&str>,
        caller: &str,
    ) -> Result<AddressAnswer, QueryProblem> {
        self.check_admission()?;
        let Some(runtime) = self.registry.find(service) else {
            let message = format!("there is no service {service}");
            return Err(QueryProblem::not_run(ProblemCode::UnknownService, message));
        };
        let zone = zone.filter(|it| !it.is_empty());
        let zone = zone.map_or_else(|| self.availability_zone().clone(), AvailabilityZone::from);
        let near_zones = [zone];
        let query = AddressQuery { caller, near_zones: &near_zones, seed: rand::random() };
        let homes = self.home_candidates(runtime.definition());
        let planned = self.planner.plan(&query, &homes);
        Ok(AddressAnswer {
            service: service.clone(),
            addresses: planned.addresses.into_iter().map(AddressEntry::from).collect(),
            lifetime_ms: planned.lifetime_ms,
            session: self.grant_session(),
        })
    }

    /// Returns caller addresses of other nodes that accept new queries.
    pub(crate) fn alternative_addresses(&self) -> Vec<SocketAddr> {
        let members = self.gossip.members();
        members
            .available()
            .filter(|it| it.node() != self.name())
            .take(MAX_ALTERNATIVE_ADDRESSES)
            .map(|it| it.identity.caller)
            .collect()
    }

    /// Returns the peer addresses of the home nodes of a service, other than this node.
    pub(crate) fn home_peers(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let Some(runtime) = self.registry.find(service) else {
            return Vec::new();
        };
        let members = self.gossip.members();
        let homes = self.home_names(runtime.definition());
        let others = homes.iter().filter(|it| *it != self.name());
        others.filter_map(|it| members.get(it)).map(|it| it.identity.peer).collect()
    }

    /// Returns the peer addresses of all members that are not dead, other than this node.
    pub(crate) fn member_peers(&self) -> Vec<SocketAddr> {
        let members = self.gossip.members();
        let others = members.available().filter(|it| it.node() != self.name());
        others.map(|it| it.identity.peer).collect()
    }

    /// Returns the names of the home nodes of a service.
    pub(super) fn home_names(&self, definition: &ServiceDefinition) -> Vec<NodeId> {
        let candidates = self.candidates();
        let limits = &definition.limits;
        let limits = HomeLimits::new(limits.connections_per_upstream, limits.connection_reserve);
        let count = limits.home_count(candidates.len());
        home_nodes(&definition.name, &candidates, count)
    }

    /// Returns the members that are eligible as home nodes: those neither leaving nor dead.
    pub(super) fn candidates(&self) -> Vec<CandidateNode> {
        let members = self.gossip.members();
        let eligible = members
            .members
            .iter()
            .filter(|it| matches!(it.state, MemberState::Alive | MemberState::Suspect));
        eligible.map(candidate).collect()
    }

    fn home_candidates(&self, definition: &ServiceDefinition) -> Vec<CandidateNode> {
        let homes = self.home_names(definition);
        self.candidates().into_iter().filter(|it| homes.contains(&it.node)).collect()
    }

    fn grant_session(&self) -> SessionGrant {
        let lifetime = Duration::from_millis(self.settings.timing.session_lifetime_ms);
        SessionGrant {
            token: self.dispatcher.ledger().mint(self.timer.now()).to_string(),
            address: self.settings.listen.caller,
            lifetime_ms: match self.stop_state.phase() {
                StopPhase::Serving => to_millis(lifetime),
                _ => 0,
            },
        }
    }
}

fn candidate(member: &MemberRecord) -> CandidateNode {
    CandidateNode {
        node: member.node().clone(),
        availability_zone: member.identity.availability_zone.clone(),
        caller_address: member.identity.caller,
        load: member.load,
        available: member.is_available() && member.load < CUT_LOAD,
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
