//! Metrics of callers' connections.

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

use crate::ConnectionCounts;

/// Metrics of callers' connections; updated before each export.
#[derive(Debug, Default)]
pub struct ConnectionMetrics {
    limit: Gauge,
    open: Gauge,
    displaced: Gauge,
    refused: Gauge,
}

impl ConnectionMetrics {
    /// Sets the gauges.
    pub fn set(&self, counts: ConnectionCounts, limit: usize) {
        self.limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
        self.open.set(i64::try_from(counts.open).unwrap_or(i64::MAX));
        self.displaced.set(i64::try_from(counts.displaced).unwrap_or(i64::MAX));
        self.refused.set(i64::try_from(counts.refused).unwrap_or(i64::MAX));
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let rows = [
            ("connection_limit", "Connections that callers may have open", &self.limit),
            ("connections", "Open connections of callers", &self.open),
            ("connections_displaced", "Connections closed to make room", &self.displaced),
            ("connections_refused", "New connections without room", &self.refused),
        ];
        for (name, help, gauge) in rows {
            registry.register(name, help, gauge.clone());
        }
    }
}
