//! Metrics of a node.

use std::{
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use mux_buffers::BufferMetrics;
use mux_http::ConnectionMetrics;
use mux_model::{Coverage, ServiceName};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

const FIRST_LATENCY_BUCKET_SECONDS: f64 = 0.001;
const LATENCY_BUCKET_FACTOR: f64 = 1.5;
const LATENCY_BUCKET_COUNT: u16 = 22;
const COVERAGE_BOUNDS: [f64; 7] = [0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1.0];

/// Label of the metrics of one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    service: String,
}

/// Labels of the outcome counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    verdict: &'static str,
    code: String,
}

/// Labels of the metrics of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct UpstreamLabels {
    service: String,
    upstream: String,
}

/// Label of the connections to one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ConnectionLabel {
    upstream: String,
}

/// Label of the members in one state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StateLabel {
    state: &'static str,
}

type FloatGauge = Gauge<f64, AtomicU64>;

/// Gauges that are set from the node's state just before the metrics are encoded.
#[derive(Debug, Default)]
pub(crate) struct NodeGauges {
    /// Configuration revision in force.
    pub(crate) revision: Gauge,
    /// Time since the last successful read or watch of the configuration at the key-value service,
    /// in seconds; NaN if there was none.
    pub(crate) store_contact_age: FloatGauge,
    /// Time since the last reply of a peer, in seconds; NaN if there was none.
    pub(crate) peer_contact_age: FloatGauge,
    /// Whether the configuration is fresh enough to admit queries: 1 or 0. A planned stop does not
    /// change it.
    pub(crate) ready: Gauge,
    /// Whether the node is cut from all upstreams: 1 or 0.
    pub(crate) node_cut: Gauge,
    /// Whether the node is stopping: 1 or 0.
    pub(crate) draining: Gauge,
    /// Members by state.
    pub(crate) members: Family<StateLabel, Gauge>,
    /// Memory for the bodies of requests.
    pub(crate) body_buffers: BufferMetrics,
    /// Connections of callers.
    pub(crate) connections: ConnectionMetrics,
    /// Queries in flight.
    pub(crate) queries_in_flight: Gauge,
    /// Gossip datagrams sent since the start.
    pub(crate) gossip_datagrams_out: Gauge,
    /// Gossip payload bytes sent since the start.
    pub(crate) gossip_bytes_out: Gauge,
    /// Gossip payload bytes received since the start.
    pub(crate) gossip_bytes_in: Gauge,
    /// Calls to the key-value service since the start; a watch counts as one call.
    pub(crate) store_calls: Gauge,
    /// Sessions retained in the ledger.
    pub(crate) sessions: Gauge,
    /// Calls to upstreams since the start.
    pub(crate) upstream_calls: Family<ServiceLabel, Gauge>,
    /// Shards queried since the start; calls in excess of these are hedges and retries.
    pub(crate) upstream_shards: Family<ServiceLabel, Gauge>,
    /// Hedges and retries left in the extra-load budget; infinite if they are not limited.
    pub(crate) extra_load_budget: Family<ServiceLabel, FloatGauge>,
    /// Delay after which a hedge is sent to a second replica, in seconds; 0 if none is known.
    pub(crate) hedge_delay: Family<ServiceLabel, FloatGauge>,
    /// Calls in flight at one upstream.
    pub(crate) upstream_in_flight: Family<UpstreamLabels, Gauge>,
    /// Limit of calls in flight at one upstream; 0 if there is none.
    pub(crate) upstream_limit: Family<UpstreamLabels, Gauge>,
    /// Open connections to one upstream.
    pub(crate) upstream_connections: Family<ConnectionLabel, Gauge>,
    /// Connections to one upstream that were aborted because nothing was received on them, since
    /// the node added the upstream.
    pub(crate) silent_connections: Family<ConnectionLabel, Gauge>,
    /// Current limit of queries in flight for a service.
    pub(crate) query_limit: Family<ServiceLabel, Gauge>,
}

/// All metrics of a node.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Mutex<Registry>,
    latency: Family<ServiceLabel, Histogram>,
    coverage: Family<ServiceLabel, Histogram>,
    outcomes: Family<OutcomeLabels, Counter>,
    overload_rejections: Family<ServiceLabel, Counter>,
    gauges: NodeGauges,
}

impl NodeMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let coverage = Family::new_with_constructor(coverage_histogram as fn() -> Histogram);
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("mustardmux")),
            latency,
            coverage,
            outcomes: Family::default(),
            overload_rejections: Family::default(),
            gauges: NodeGauges::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the gauges to set before the metrics are encoded.
    pub(crate) fn gauges(&self) -> &NodeGauges {
        &self.gauges
    }

    /// Records the latency of a query.
    pub(crate) fn record_latency(&self, service: &ServiceName, latency: Duration) {
        self.latency.get_or_create(&service_label(service)).observe(latency.as_secs_f64());
    }

    /// Records the coverage of an answer.
    pub(crate) fn record_coverage(&self, service: &ServiceName, coverage: Coverage) {
        self.coverage.get_or_create(&service_label(service)).observe(coverage.share());
    }

    /// Counts the outcome of a query.
    pub(crate) fn count_outcome(&self, verdict: &'static str, code: &str) {
        let labels = OutcomeLabels { verdict, code: code.to_owned() };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts a query that was rejected because the service is overloaded.
    pub(crate) fn count_overload_rejection(&self, service: &ServiceName) {
        self.overload_rejections.get_or_create(&service_label(service)).inc();
    }

    /// Returns all metrics in text format.
    pub(crate) fn render(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &registry);
        text
    }

    fn register(&self) {
        let mut guard = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let registry = &mut *guard;
        let it = &self.gauges;
        registry.register_with_unit(
            "query_latency",
            "Time from receiving a query to its outcome",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("query_coverage", "Share of shards in answers", self.coverage.clone());
        registry.register("query_outcomes", "Queries by verdict and code", self.outcomes.clone());
        registry.register(
            "query_refusals",
            "Queries refused for overload",
            self.overload_rejections.clone(),
        );
        registry.register("config_revision", "Revision in force", it.revision.clone());
        registry.register_with_unit(
            "store_contact_age",
            "Time since the key-value service was reached",
            Unit::Seconds,
            it.store_contact_age.clone(),
        );
        registry.register_with_unit(
            "peer_contact_age",
            "Time since a peer was heard",
            Unit::Seconds,
            it.peer_contact_age.clone(),
        );
        registry.register("ready", "Whether queries are admitted", it.ready.clone());
        let node_cut = it.node_cut.clone();
        registry.register("node_cut", "Whether the node is cut from all upstreams", node_cut);
        registry.register("draining", "Whether the node is stopping", it.draining.clone());
        registry.register("members", "Members by state", it.members.clone());
        it.body_buffers.register(registry);
        it.connections.register(registry);
        registry.register("queries_in_flight", "Queries in flight", it.queries_in_flight.clone());
        registry.register(
            "gossip_datagrams_out",
            "Datagrams sent",
            it.gossip_datagrams_out.clone(),
        );
        registry.register("gossip_bytes_out", "Gossip bytes sent", it.gossip_bytes_out.clone());
        registry.register("gossip_bytes_in", "Gossip bytes received", it.gossip_bytes_in.clone());
        registry.register("store_calls", "Calls to the key-value service", it.store_calls.clone());
        registry.register("sessions", "Sessions remembered", it.sessions.clone());
        registry.register("upstream_calls", "Calls to upstreams", it.upstream_calls.clone());
        registry.register("upstream_shards", "Shards asked", it.upstream_shards.clone());
        registry.register(
            "extra_load_budget",
            "Hedges and retries still allowed",
            it.extra_load_budget.clone(),
        );
        registry.register_with_unit(
            "hedge_delay",
            "Delay before a second replica is asked",
            Unit::Seconds,
            it.hedge_delay.clone(),
        );
        registry.register("query_limit", "Queries that may be in flight", it.query_limit.clone());
        registry.register("upstream_in_flight", "Calls in flight", it.upstream_in_flight.clone());
        registry.register("upstream_limit", "Limit of calls in flight", it.upstream_limit.clone());
        registry.register(
            "upstream_connections",
            "Open connections",
            it.upstream_connections.clone(),
        );
        registry.register(
            "silent_connections",
            "Connections retired as silent",
            it.silent_connections.clone(),
        );
    }
}

/// Returns the label of a service.
pub(crate) fn service_label(service: &ServiceName) -> ServiceLabel {
    ServiceLabel { service: service.to_string() }
}

/// Returns the labels of one upstream of a service.
pub(crate) fn upstream_labels(service: &ServiceName, upstream: &str) -> UpstreamLabels {
    UpstreamLabels { service: service.to_string(), upstream: upstream.to_owned() }
}

/// Returns the label of the connections to one upstream.
pub(crate) fn connection_label(upstream: &str) -> ConnectionLabel {
    ConnectionLabel { upstream: upstream.to_owned() }
}

/// Returns the label of a member state.
pub(crate) fn state_label(state: &'static str) -> StateLabel {
    StateLabel { state }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_LATENCY_BUCKET_SECONDS,
        LATENCY_BUCKET_FACTOR,
        LATENCY_BUCKET_COUNT,
    ))
}

fn coverage_histogram() -> Histogram {
    Histogram::new(COVERAGE_BOUNDS)
}
