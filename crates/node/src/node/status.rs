//! What the node tells operators about itself.

use std::time::Duration;

use mux_admin::{MemberStatus, NodeStatus, ServiceStatus, UpstreamState};
use mux_config::ReadyState;
use mux_membership::{MemberRecord, MemberState};
use mux_model::FastMap;
use mux_routing::ReplicaRouter;
use mux_upstream::UpstreamReport;

use super::{Node, StopPhase, admission};
use crate::dispatch::ServiceRuntime;

type PoolTable = FastMap<mux_model::UpstreamId, UpstreamReport>;

impl Node {
    /// Returns what this node knows about itself, its peers and its services.
    pub(crate) fn status(&self) -> NodeStatus {
        let now = self.timer.now();
        let contacts = self.contacts();
        let members = self.gossip.members();
        let (state, reason) = self.describe_state();
        let pool: PoolTable =
            self.pool.report().upstreams.into_iter().map(|it| (it.upstream, it)).collect();
        let services = self.registry.all();
        NodeStatus {
            node: self.name().to_string(),
            availability_zone: self.settings.availability_zone.to_string(),
            incarnation: self.incarnation.0,
            state: state.to_owned(),
            reason: reason.to_owned(),
            revision: self.revision().0,
            store_contact_age_ms: contacts.store.map_or(0, |it| to_millis(now.since(it))),
            store_never_reached: contacts.store.is_none(),
            peer_contact_age_ms: contacts.peer.map_or(0, |it| to_millis(now.since(it))),
            members: members.members.iter().map(member_status).collect(),
            services: services.iter().map(|it| self.service_status(it, &pool)).collect(),
            uptime_ms: to_millis(now.since(self.started)),
            watches_store: self.watches_store(),
        }
    }

    fn describe_state(&self) -> (&'static str, &'static str) {
        if self.stop.phase() != StopPhase::Serving {
            return ("draining", "a planned stop was asked for");
        }
        match self.readiness() {
            ReadyState::Ready => ("ready", ""),
            ReadyState::NotReady { reason, .. } => ("not_ready", admission::describe(reason)),
        }
    }

    fn service_status(&self, service: &ServiceRuntime, pool: &PoolTable) -> ServiceStatus {
        let now = self.timer.now();
        let map = service.pin(&[]);
        let counters = service.counters().read();
        ServiceStatus {
            name: service.name().to_string(),
            revision: service.revision().0,
            home: service.is_home(),
            snapshot: map.as_ref().map_or(0, |it| it.snapshot().0),
            shards_reachable: map.as_ref().map_or(0, |it| it.reachable_count()),
            shards_total: map.as_ref().map_or(0, |it| it.shard_count()),
            queries_in_flight: 0,
            hedge_delay_us: service.router().hedge_delay(now).map_or(0, to_micros),
            extra_load_budget: 0.0,
            refusals: counters.refused,
            upstreams: service
                .definition()
                .upstreams
                .iter()
                .map(|it| upstream_state(service, it.address, pool, now))
                .collect(),
        }
    }
}

fn upstream_state(
    service: &ServiceRuntime,
    upstream: mux_model::UpstreamId,
    pool: &PoolTable,
    now: mux_model::TimePoint,
) -> UpstreamState {
    let connections = pool.get(&upstream);
    UpstreamState {
        address: upstream.to_string(),
        state: String::new(),
        in_flight: connections.map_or(0, |it| it.calls_in_flight),
        limit: 0,
        latency_us: 0,
        connections: connections.map_or(0, |it| it.open),
        last_reply_age_ms: service.reply_age(now, upstream).map_or(0, to_millis),
        draining: false,
    }
}

fn member_status(member: &MemberRecord) -> MemberStatus {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    };
    MemberStatus {
        node: member.node().to_string(),
        availability_zone: member.identity.availability_zone.to_string(),
        state: state.to_owned(),
        incarnation: member.incarnation.0,
        revision: member.revision.0,
        peer_address: member.identity.peer.to_string(),
        caller_address: member.identity.caller.to_string(),
        operator_address: member.identity.operator.to_string(),
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
