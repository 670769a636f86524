//! Answers to the question which address to use.

use std::{net::SocketAddr, time::Duration};

use mux_config::ServiceDefinition;
use mux_membership::MemberRecord;
use mux_model::{AvailabilityZone, ServiceName};

use super::{Node, StopPhase};
use crate::{
    caller::{AddressAnswer, AddressEntry, SessionGrant},
    dispatch::{ProblemCode, QueryProblem},
};

const OTHER_ADDRESS_COUNT: usize = 3;

impl Node {
    /// Names addresses for queries of `service`, and mints a session.
    ///
    /// # Errors
    ///
    /// Returns the problem to tell the caller if the node cannot vouch for an answer.
    pub(crate) fn answer_addresses(
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
        let zone = zone.map(AvailabilityZone::from);
        let homes = self.home_members(runtime.definition());
        let addresses = self.choose_addresses(&homes, zone.as_ref(), caller);
        Ok(AddressAnswer {
            service: service.clone(),
            addresses,
            lifetime_ms: to_millis(self.settings.timing.address_lifetime()),
            session: self.grant_session(),
        })
    }

    /// Returns caller addresses of other nodes that take new work.
    pub(crate) fn other_addresses(&self) -> Vec<SocketAddr> {
        let members = self.gossip.members();
        members
            .available()
            .filter(|it| it.node() != self.name())
            .take(OTHER_ADDRESS_COUNT)
            .map(|it| it.identity.caller)
            .collect()
    }

    /// Returns the peer addresses of the home nodes of a service, other than this node.
    pub(crate) fn home_peers(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let Some(runtime) = self.registry.find(service) else {
            return Vec::new();
        };
        self.home_members(runtime.definition())
            .iter()
            .filter(|it| it.node() != self.name())
            .map(|it| it.identity.peer)
            .collect()
    }

    /// Returns the home nodes of a service among the members.
    pub(crate) fn home_members(&self, _definition: &ServiceDefinition) -> Vec<MemberRecord> {
        self.gossip.members().available().cloned().collect()
    }

    fn choose_addresses(
        &self,
        homes: &[MemberRecord],
        _zone: Option<&AvailabilityZone>,
        _caller: &str,
    ) -> Vec<AddressEntry> {
        homes.iter().map(address_entry).collect()
    }

    fn grant_session(&self) -> SessionGrant {
        let lifetime = Duration::from_millis(self.settings.timing.session_lifetime_ms);
        SessionGrant {
            token: self.dispatcher.ledger().mint(self.timer.now()).to_string(),
            address: self.settings.listen.caller,
            lifetime_ms: match self.stop.phase() {
                StopPhase::Serving => to_millis(lifetime),
                _ => 0,
            },
        }
    }
}

fn address_entry(member: &MemberRecord) -> AddressEntry {
    AddressEntry {
        node: member.node().clone(),
        availability_zone: member.identity.availability_zone.clone(),
        address: member.identity.caller,
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
