//! Metrics of cold upstreams.

use std::sync::atomic::AtomicU64;

use mux_routing::balancer::WarmUpReport;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

/// Label of metrics by upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InstanceLabel {
    instance: String,
}

/// Metrics of cold upstreams. Those by upstream exist only while it is cold.
#[derive(Debug, Default)]
pub(crate) struct WarmUpMetrics {
    cold_upstreams: Gauge,
    granted: Family<InstanceLabel, Gauge<f64, AtomicU64>>,
    calls: Family<InstanceLabel, Gauge>,
    held_back: Family<InstanceLabel, Gauge>,
}

impl WarmUpMetrics {
    /// Sets the gauges to the cold upstreams.
    pub(crate) fn set(&self, reports: &[WarmUpReport]) {
        let to_gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.cold_upstreams.set(i64::try_from(reports.len()).unwrap_or(i64::MAX));
        self.granted.clear();
        self.calls.clear();
        self.held_back.clear();
        for report in reports {
            let label = InstanceLabel { instance: report.instance.as_str().to_owned() };
            self.granted.get_or_create(&label).set(report.rate_per_s * report.share);
            self.calls.get_or_create(&label).set(to_gauge(report.calls));
            self.held_back.get_or_create(&label).set(to_gauge(report.held_back));
        }
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "cold_upstreams",
            "Upstreams that are cold and to which calls are bounded",
            self.cold_upstreams.clone(),
        );
        registry.register(
            "warm_up_granted_per_second",
            "Calls per second to a cold upstream that are granted to this node",
            self.granted.clone(),
        );
        registry.register(
            "warm_up_calls",
            "Calls of this node to a cold upstream since it learnt of the warm-up",
            self.calls.clone(),
        );
        registry.register(
            "warm_up_held_back",
            "Times that a cold upstream was not chosen because this node had no grant",
            self.held_back.clone(),
        );
    }
}
