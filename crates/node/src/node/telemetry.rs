//! Records and renders the metrics, and logs rejected requests.

use std::time::Duration;

use mux_buffers::BufferError;
use mux_config::ReadyState;
use mux_membership::MemberState;
use mux_model::ServiceName;
use mux_query::FanOutResult;
use slog::warn;

use super::{Node, StopPhase};
use crate::{
    dispatch::{ProblemCode, QueryAnswer, QueryProblem, ServiceRuntime},
    metrics::{self, NodeGauges},
};

/// Suggested retry delay if there is no memory for a body, long enough for some queries to end.
const NO_MEMORY_RETRY_MS: u64 = 250;

const MEMBER_STATES: [(MemberState, &str); 4] = [
    (MemberState::Alive, "alive"),
    (MemberState::Leaving, "leaving"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Dead, "dead"),
];

impl Node {
    /// Counts a request that was rejected without running a query, such as a malformed query or a
    /// rejected address request, and logs it at a limited rate.
    pub(crate) fn count_rejected_request(&self, problem: &QueryProblem) {
        self.count_problem(problem);
        if let Some(suppressed) = self.rejection_throttle.allow(self.timer.now()) {
            warn!(self.logger, "caller: request rejected"; "code" => problem.code.as_str(),
                "message" => &problem.message, "suppressed" => suppressed);
        }
    }

    /// Returns the problem of a request for whose body there is no memory.
    pub(crate) fn no_memory_problem(&self, error: BufferError) -> QueryProblem {
        let usage = self.body_buffers.usage();
        let message = format!(
            "no memory for the body: {error}; {} of {} bytes are in use",
            usage.used_bytes, usage.limit_bytes
        );
        QueryProblem::not_run(ProblemCode::TooManyRequests, message)
            .retry_after_ms(NO_MEMORY_RETRY_MS)
    }

    /// Counts a query that was rejected because its service is overloaded.
    pub(crate) fn count_overload_rejection(&self, service: &ServiceName) {
        self.metrics.count_overload_rejection(service);
    }

    /// Counts the outcome of a query.
    pub(crate) fn record_outcome(&self, result: &Result<QueryAnswer, QueryProblem>) {
        match result {
            Ok(_) => self.metrics.count_outcome("done", "answered"),
            Err(problem) => self.count_problem(problem),
        }
    }

    /// Records the latency of a query at this node.
    pub(crate) fn record_latency(&self, service: &ServiceName, latency: Duration) {
        // Unknown service names must not become labels: callers could create any number of them.
        if self.registry.find(service).is_some() {
            self.metrics.record_latency(service, latency);
        }
    }

    /// Records the coverage of a fan-out that ended with an answer.
    pub(crate) fn record_coverage(&self, service: &ServiceName, result: &FanOutResult) {
        if result.stop.is_none() {
            self.metrics.record_coverage(service, result.coverage);
        }
    }

    /// Returns all metrics in text format.
    pub(crate) fn render_metrics(&self) -> String {
        let gauges = self.metrics.gauges();
        self.fill_node_gauges(gauges);
        for service in self.registry.all() {
            self.fill_service_gauges(gauges, &service);
        }
        self.fill_pool_gauges(gauges);
        self.metrics.render()
    }

    fn count_problem(&self, problem: &QueryProblem) {
        self.metrics.count_outcome(problem.verdict.as_str(), problem.code.as_str());
    }

    fn fill_node_gauges(&self, gauges: &NodeGauges) {
        gauges.body_buffers.set(self.body_buffers.usage());
        gauges.connections.set(self.caller_connections.counts(), self.max_caller_connections);
        let now = self.timer.now();
        let last_contacts = self.last_contacts();
        let age = |it: Option<_>| it.map_or(f64::NAN, |at| now.since(at).as_secs_f64());
        gauges.revision.set(to_gauge(self.revision().0));
        gauges.store_contact_age.set(age(last_contacts.store));
        gauges.peer_contact_age.set(age(last_contacts.peer));
        gauges.ready.set(i64::from(self.readiness() == ReadyState::Ready));
        gauges.node_cut.set(i64::from(self.is_cut()));
        gauges.draining.set(i64::from(self.stop_state.phase() != StopPhase::Serving));
        gauges.queries_in_flight.set(i64::from(self.queries_in_flight()));
        gauges.sessions.set(to_gauge(self.dispatcher.ledger().session_count() as u64));
        let gossip = self.gossip.counters();
        gauges.gossip_datagrams_out.set(to_gauge(gossip.datagrams_out));
        gauges.gossip_bytes_out.set(to_gauge(gossip.bytes_out));
        gauges.gossip_bytes_in.set(to_gauge(gossip.bytes_in));
        gauges.store_calls.set(to_gauge(self.store.call_count()));
        let members = self.gossip.members();
        for (state, name) in MEMBER_STATES {
            let count = members.in_state(state).count() as u64;
            gauges.members.get_or_create(&metrics::state_label(name)).set(to_gauge(count));
        }
    }

    fn fill_service_gauges(&self, gauges: &NodeGauges, service: &ServiceRuntime) {
        let label = metrics::service_label(service.name());
        let counters = service.counters().read();
        let report = service.router().report(self.timer.now());
        gauges.upstream_calls.get_or_create(&label).set(to_gauge(counters.calls));
        gauges.upstream_shards.get_or_create(&label).set(to_gauge(counters.shards));
        let seconds = report.hedge_delay.map_or(0.0, |it| it.as_secs_f64());
        gauges.hedge_delay.get_or_create(&label).set(seconds);
        let budget = report.budget_left.unwrap_or(f64::INFINITY);
        gauges.extra_load_budget.get_or_create(&label).set(budget);
        gauges.query_limit.get_or_create(&label).set(i64::from(report.query_limit));
        for upstream in &report.upstreams {
            let labels = metrics::upstream_labels(service.name(), &upstream.upstream.to_string());
            gauges.upstream_in_flight.get_or_create(&labels).set(i64::from(upstream.in_flight));
            let limit = upstream.limit.map_or(0, i64::from);
            gauges.upstream_limit.get_or_create(&labels).set(limit);
        }
    }

    fn fill_pool_gauges(&self, gauges: &NodeGauges) {
        for upstream in self.pool.report().upstreams {
            let label = metrics::connection_label(&upstream.upstream.to_string());
            gauges.upstream_connections.get_or_create(&label).set(i64::from(upstream.open));
            let silent = to_gauge(upstream.silent_connections);
            gauges.silent_connections.get_or_create(&label).set(silent);
        }
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
