//! Counters and latency histograms of a node.

use std::{
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use mux_buffers::BufferMetrics;
use mux_http::ConnectionMetrics;
use mux_routing::balancer::BalancerReport;
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

use crate::{evacuation_metrics::EvacuationMetrics, warm_up_metrics::WarmUpMetrics};

/// Lowest bound of the latency histogram, in seconds.
const LATENCY_FIRST_BOUND_SECONDS: f64 = 0.002;
/// Ratio of each bound of the latency histogram to the previous one.
const LATENCY_BOUND_FACTOR: f64 = 1.6;
/// Number of bounds of the latency histogram; the last is near 15 s.
const LATENCY_BUCKET_COUNT: u16 = 20;

/// Labels of final answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    pub(crate) route: String,
    pub(crate) outcome: &'static str,
}

/// Label of metrics by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    pub(crate) route: String,
}

/// Label of metrics by kind of call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StoreCallLabel {
    pub(crate) call: &'static str,
}

/// Label of metrics by result of a call to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ResultLabel {
    pub(crate) result: &'static str,
}

/// Labels of requests of a workspace. The names are those of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkspaceLabels {
    pub(crate) workspace: String,
    pub(crate) result: &'static str,
}

/// Label of metrics by kind of change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ChangeLabel {
    pub(crate) change: &'static str,
}

/// Label of metrics by kind of bound that holds over all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct BoundLabel {
    pub(crate) kind: &'static str,
}

type LatencyFamily = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Sums of the counters of all balancers since the start; updated before each export.
#[derive(Debug, Default)]
pub(crate) struct BalancerGauges {
    first_calls: Gauge,
    extra_calls: Gauge,
    budget_refusals: Gauge,
    saturated: Gauge,
    rate_limited_calls: Gauge,
    cold_calls: Gauge,
}

impl BalancerGauges {
    /// Sets the sums over all balancers.
    pub(crate) fn set(&self, reports: impl Iterator<Item = BalancerReport>) {
        let mut sum = BalancerReport::default();
        for report in reports {
            sum.first_calls += report.first_calls;
            sum.extra_calls += report.extra_calls;
            sum.budget_refusals += report.budget_refusals;
            sum.saturated += report.saturated;
            sum.rate_limited_calls += report.rate_limited_calls;
            sum.cold_calls += report.cold_calls;
        }
        let to_gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.first_calls.set(to_gauge(sum.first_calls));
        self.extra_calls.set(to_gauge(sum.extra_calls));
        self.budget_refusals.set(to_gauge(sum.budget_refusals));
        self.saturated.set(to_gauge(sum.saturated));
        self.rate_limited_calls.set(to_gauge(sum.rate_limited_calls));
        self.cold_calls.set(to_gauge(sum.cold_calls));
    }

    fn register(&self, registry: &mut Registry) {
        let rows = [
            ("first_calls", "First calls to shards", &self.first_calls),
            ("extra_calls", "Hedges and retries", &self.extra_calls),
            ("budget_refusals", "Further calls without budget", &self.budget_refusals),
            ("saturated_calls", "Calls that found all upstreams at their limits", &self.saturated),
            (
                "rate_limited_calls",
                "Calls to upstreams that stated a rate limit",
                &self.rate_limited_calls,
            ),
            ("cold_calls", "Calls to cold upstreams under a bound", &self.cold_calls),
        ];
        for (name, help, gauge) in rows {
            registry.register(name, help, gauge.clone());
        }
    }
}

/// The metrics of a node.
#[derive(Debug)]
pub(crate) struct EdgeMetrics {
    registry: Mutex<Registry>,
    pub(crate) answers: Family<AnswerLabels, Counter>,
    pub(crate) latency: LatencyFamily,
    pub(crate) calls: Family<ResultLabel, Counter>,
    pub(crate) balancers: BalancerGauges,
    pub(crate) store_calls: Family<StoreCallLabel, Counter>,
    pub(crate) store_failures: Family<StoreCallLabel, Counter>,
    pub(crate) relayed_updates: Family<ResultLabel, Counter>,
    pub(crate) malformed_entries: Counter,
    pub(crate) config_version: Gauge,
    pub(crate) upstreams: Gauge,
    pub(crate) nodes: Gauge,
    pub(crate) upstream_ends: Counter,
    pub(crate) suspect_requests: Gauge,
    pub(crate) quarantined_requests: Gauge,
    pub(crate) leaving_upstreams: Counter,
    pub(crate) quiet_requests: Counter,
    pub(crate) rate_limit_changes: Family<ChangeLabel, Counter>,
    pub(crate) rate_limited_upstreams: Gauge,
    pub(crate) body_buffers: BufferMetrics,
    pub(crate) connections: ConnectionMetrics,
    pub(crate) reply_buffer_bytes: Gauge,
    pub(crate) lost_reservations: Counter,
    pub(crate) rate_share: Gauge<f64, AtomicU64>,
    pub(crate) grants_asked: Family<BoundLabel, Counter>,
    pub(crate) grants_lent: Family<BoundLabel, Counter>,
    pub(crate) grants_received: Family<BoundLabel, Counter>,
    pub(crate) store_era: Gauge,
    pub(crate) store_restores: Counter,
    pub(crate) node_cut: Gauge,
    pub(crate) reach_probes: Family<ResultLabel, Counter>,
    pub(crate) forwarded_requests: Family<ResultLabel, Counter>,
    pub(crate) helped_requests: Family<ResultLabel, Counter>,
    pub(crate) evacuations: EvacuationMetrics,
    pub(crate) workspaces: Gauge,
    pub(crate) admissions: Family<ResultLabel, Counter>,
    pub(crate) workspace_requests: Family<WorkspaceLabels, Counter>,
    pub(crate) warm_ups: WarmUpMetrics,
}

impl EdgeMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Self {
        let latency: fn() -> Histogram = new_latency_histogram;
        let metrics = Self {
            registry: Mutex::default(),
            answers: Family::default(),
            latency: Family::new_with_constructor(latency),
            calls: Family::default(),
            balancers: BalancerGauges::default(),
            store_calls: Family::default(),
            store_failures: Family::default(),
            relayed_updates: Family::default(),
            malformed_entries: Counter::default(),
            config_version: Gauge::default(),
            upstreams: Gauge::default(),
            nodes: Gauge::default(),
            upstream_ends: Counter::default(),
            suspect_requests: Gauge::default(),
            quarantined_requests: Gauge::default(),
            leaving_upstreams: Counter::default(),
            quiet_requests: Counter::default(),
            rate_limit_changes: Family::default(),
            rate_limited_upstreams: Gauge::default(),
            body_buffers: BufferMetrics::default(),
            connections: ConnectionMetrics::default(),
            reply_buffer_bytes: Gauge::default(),
            lost_reservations: Counter::default(),
            rate_share: Gauge::default(),
            grants_asked: Family::default(),
            grants_lent: Family::default(),
            grants_received: Family::default(),
            store_era: Gauge::default(),
            store_restores: Counter::default(),
            node_cut: Gauge::default(),
            reach_probes: Family::default(),
            forwarded_requests: Family::default(),
            helped_requests: Family::default(),
            evacuations: EvacuationMetrics::default(),
            workspaces: Gauge::default(),
            admissions: Family::default(),
            workspace_requests: Family::default(),
            warm_ups: WarmUpMetrics::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let registry = registry.sub_registry_with_prefix("mustardmux");
        registry.register(
            "malformed_entries",
            "Entries of the store that were skipped, as they cannot be decoded",
            self.malformed_entries.clone(),
        );
        registry.register("answers", "Final answers by outcome", self.answers.clone());
        registry.register(
            "upstream_ends",
            "Calls during which the process of their upstream ended",
            self.upstream_ends.clone(),
        );
        registry.register(
            "suspect_requests",
            "Requests with evidence that they crash upstreams",
            self.suspect_requests.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Suspect requests that are not sent to upstreams",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "leaving_upstreams",
            "Upstreams that announced their exit in a reply",
            self.leaving_upstreams.clone(),
        );
        registry.register(
            "quiet_requests",
            "Requests of upstreams to receive no calls for a while",
            self.quiet_requests.clone(),
        );
        registry.register(
            "rate_limit_changes",
            "Rate limits that upstreams started, changed or ended",
            self.rate_limit_changes.clone(),
        );
        registry.register(
            "rate_limited_upstreams",
            "Upstreams that state a rate limit",
            self.rate_limited_upstreams.clone(),
        );
        registry.register(
            "rate_share",
            "Fraction of the rate limits of upstreams in its own zone that this node may use",
            self.rate_share.clone(),
        );
        let grants = [
            ("grants_asked", "Grants that other nodes were asked for", &self.grants_asked),
            ("grants_lent", "Grants given up to other nodes", &self.grants_lent),
            ("grants_received", "Grants received from other nodes", &self.grants_received),
        ];
        for (name, help, family) in grants {
            registry.register(name, format!("{help}, by kind of bound"), family.clone());
        }
        self.body_buffers.register(registry);
        self.connections.register(registry);
        registry.register(
            "reply_buffer_bytes",
            "Memory used by the bodies of upstreams' replies",
            self.reply_buffer_bytes.clone(),
        );
        registry.register(
            "lost_reservations",
            "Connections to upstreams that were reserved for calls that never began",
            self.lost_reservations.clone(),
        );
        registry.register("store_era", "Latest known era of the store", self.store_era.clone());
        registry.register(
            "store_restores",
            "Times that the store was found to be restored from an older copy",
            self.store_restores.clone(),
        );
        let node_cut = self.node_cut.clone();
        registry.register("node_cut", "1 while this node is cut from all upstreams", node_cut);
        registry.register(
            "reach_probes",
            "Probes whether this node reaches upstreams, by result",
            self.reach_probes.clone(),
        );
        registry.register(
            "forwarded_requests",
            "Attempts to forward a request to another node, by result",
            self.forwarded_requests.clone(),
        );
        registry.register(
            "helped_requests",
            "Requests that other nodes forwarded to this one, by result",
            self.helped_requests.clone(),
        );
        let workspaces = self.workspaces.clone();
        registry.register("workspaces", "Workspaces of the configuration in force", workspaces);
        registry.register(
            "admissions",
            "Requests that need a key, by result; borrowed ones are admitted as well",
            self.admissions.clone(),
        );
        registry.register(
            "workspace_requests",
            "Requests of workspaces, by workspace and result",
            self.workspace_requests.clone(),
        );
        registry.register_with_unit(
            "answer_latency",
            "Time from the request to its final answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("calls", "Calls to upstreams by result", self.calls.clone());
        self.balancers.register(registry);
        self.evacuations.register(registry);
        self.warm_ups.register(registry);
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        let updates = self.relayed_updates.clone();
        registry.register("relayed_updates", "Reads of other nodes' copies by result", updates);
        let failures = self.store_failures.clone();
        registry.register("store_failures", "Calls to the store that failed", failures);
        let version = self.config_version.clone();
        registry.register("config_version", "Version of the configuration in force", version);
        registry.register("upstreams", "Upstreams known", self.upstreams.clone());
        registry.register("nodes", "Nodes known, this one included", self.nodes.clone());
    }

    /// Records the outcome and latency of a final answer.
    pub(crate) fn record_answer(&self, route: &str, outcome: &'static str, latency: Duration) {
        let labels = AnswerLabels { route: route.to_owned(), outcome };
        self.answers.get_or_create(&labels).inc();
        let label = RouteLabel { route: route.to_owned() };
        self.latency.get_or_create(&label).observe(latency.as_secs_f64());
    }

    /// Returns all metrics in the text exposition format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &registry);
        text
    }
}

fn new_latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        LATENCY_FIRST_BOUND_SECONDS,
        LATENCY_BOUND_FACTOR,
        LATENCY_BUCKET_COUNT,
    ))
}
