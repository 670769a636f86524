//! Metrics of the memory for the bodies of requests.

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

use crate::BufferUsage;

/// Metrics of the memory for the bodies of requests; updated before each export.
#[derive(Debug, Default)]
pub struct BufferMetrics {
    limit_bytes: Gauge,
    used_bytes: Gauge,
    displaced: Gauge,
    refused: Gauge,
}

impl BufferMetrics {
    /// Sets the gauges.
    pub fn set(&self, usage: BufferUsage) {
        let to_gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.limit_bytes.set(i64::try_from(usage.limit_bytes).unwrap_or(i64::MAX));
        self.used_bytes.set(i64::try_from(usage.used_bytes).unwrap_or(i64::MAX));
        self.displaced.set(to_gauge(usage.displaced));
        self.refused.set(to_gauge(usage.refused));
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let rows = [
            ("body_buffer_limit_bytes", "Memory for the bodies of requests", &self.limit_bytes),
            ("body_buffer_bytes", "Memory used by the bodies of requests", &self.used_bytes),
            (
                "body_buffer_displaced",
                "Unfinished bodies of requests that made room for others",
                &self.displaced,
            ),
            ("body_buffer_refused", "Bodies of requests without memory", &self.refused),
        ];
        for (name, help, gauge) in rows {
            registry.register(name, help, gauge.clone());
        }
    }
}
