//! Metrics and the endpoint that serves them.

mod metrics_server;
mod node_metrics;

pub(crate) use metrics_server::MetricsServer;
pub(crate) use node_metrics::{
    NodeGauges, NodeMetrics, connection_label, service_label, state_label, upstream_labels,
};
