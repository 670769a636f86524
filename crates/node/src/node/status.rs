//! Status report of the node for operators.

use std::time::Duration;

use mux_admin::{MemberStatus, NodeStatus, ServiceStatus, UpstreamState};
use mux_config::ReadyState;
use mux_membership::{MemberRecord, MemberState};
use mux_model::{FastMap, TimePoint, UpstreamId};
use mux_routing::{UpstreamCondition, UpstreamReport as UpstreamRoutingReport};
use mux_upstream::UpstreamReport;

use super::{Node, StopPhase, admission};
use crate::dispatch::ServiceRuntime;

type PoolTable = FastMap<UpstreamId, UpstreamReport>;

impl Node {
    /// Returns the status of this node, its peers and its services.
    pub(crate) fn status(&self) -> NodeStatus {
        let now = self.timer.now();
        let last_contacts = self.last_contacts();
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
            store_contact_age_ms: last_contacts.store.map_or(0, |it| to_millis(now.since(it))),
            store_never_reached: last_contacts.store.is_none(),
            peer_contact_age_ms: last_contacts.peer.map_or(0, |it| to_millis(now.since(it))),
            members: members.members.iter().map(member_status).collect(),
            services: services.iter().map(|it| self.service_status(it, &pool)).collect(),
            uptime_ms: to_millis(now.since(self.started)),
            watches_store: self.watches_store(),
        }
    }

    fn describe_state(&self) -> (&'static str, &'static str) {
        if self.stop_state.phase() != StopPhase::Serving {
            return ("draining", "a planned stop was asked for");
        }
        match self.readiness() {
            ReadyState::Ready => ("ready", ""),
            ReadyState::NotReady { reason, .. } => {
                ("not_ready", admission::unready_message(reason))
            }
        }
    }

    fn service_status(&self, service: &ServiceRuntime, pool: &PoolTable) -> ServiceStatus {
        let now = self.timer.now();
        let map = service.preferred_map(&[]);
        let report = service.router().report(now);
        ServiceStatus {
            name: service.name().to_string(),
            revision: service.revision().0,
            home: service.is_home(),
            snapshot: map.as_ref().map_or(0, |it| it.snapshot().0),
            shards_reachable: map.as_ref().map_or(0, |it| it.located_count()),
            shards_total: map.as_ref().map_or(0, |it| it.shard_count()),
            queries_in_flight: report.queries_in_flight,
            hedge_delay_us: report.hedge_delay.map_or(0, to_micros),
            extra_load_budget: report.budget_left.unwrap_or(f64::INFINITY),
            refusals: report.counts.refused_queries,
            upstreams: report
                .upstreams
                .iter()
                .map(|it| upstream_state(service, it, pool, now))
                .collect(),
        }
    }
}

fn upstream_state(
    service: &ServiceRuntime,
    report: &UpstreamRoutingReport,
    pool: &PoolTable,
    now: TimePoint,
) -> UpstreamState {
    UpstreamState {
        address: report.upstream.to_string(),
        state: describe_condition(report.condition).to_owned(),
        in_flight: report.in_flight,
        limit: report.limit.unwrap_or(0),
        latency_us: to_micros(report.latency),
        connections: pool.get(&report.upstream).map_or(0, |it| it.open),
        last_reply_age_ms: service.reply_age(now, report.upstream).map_or(0, to_millis),
        draining: report.condition == UpstreamCondition::Draining,
    }
}

fn describe_condition(condition: UpstreamCondition) -> &'static str {
    match condition {
        UpstreamCondition::Serving => "serving",
        UpstreamCondition::Paused => "paused",
        UpstreamCondition::Draining => "draining",
        UpstreamCondition::Ejected => "ejected",
        UpstreamCondition::Probing => "probing",
        UpstreamCondition::Removed => "removed",
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
