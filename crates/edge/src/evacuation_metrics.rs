//! Metrics of evacuated availability zones.

use mux_model::TimePoint;
use mux_routing::balancer::UpstreamRegistry;
use mux_timer::unix_millis;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

/// Label of metrics by availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabel {
    zone: String,
}

/// Metrics of evacuated availability zones.
#[derive(Debug, Default)]
pub(crate) struct EvacuationMetrics {
    evacuated_zones: Gauge,
    since: Family<ZoneLabel, Gauge>,
    revision: Family<ZoneLabel, Gauge>,
    /// Calls that were not sent because their zone was evacuated while they waited for a connection.
    pub(crate) withheld_calls: Counter,
}

impl EvacuationMetrics {
    /// Sets the gauges to the zones that are closed by evacuations.
    pub(crate) fn set(&self, now: TimePoint, registry: &UpstreamRegistry) {
        let closed = registry.closed_zones();
        self.evacuated_zones.set(i64::try_from(closed.len()).unwrap_or(i64::MAX));
        self.since.clear();
        self.revision.clear();
        let zones = registry.evacuated_zones.iter().filter(|(zone, _)| closed.contains(*zone));
        for (zone, evacuation) in zones {
            let label = ZoneLabel { zone: zone.as_str().to_owned() };
            let age_ms = u64::try_from(now.since(evacuation.since).as_millis()).unwrap_or(u64::MAX);
            let since_s = unix_millis().saturating_sub(age_ms) / 1_000;
            self.since.get_or_create(&label).set(i64::try_from(since_s).unwrap_or(i64::MAX));
            let revision = i64::try_from(evacuation.revision).unwrap_or(i64::MAX);
            self.revision.get_or_create(&label).set(revision);
        }
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "evacuated_zones",
            "Availability zones to which nothing is sent because operators evacuated them",
            self.evacuated_zones.clone(),
        );
        registry.register_with_unit(
            "zone_evacuated_since",
            "Unix time at which this node first read the evacuation of the zone",
            Unit::Seconds,
            self.since.clone(),
        );
        registry.register(
            "zone_evacuation_revision",
            "Revision of the store at which the evacuation of the zone was written",
            self.revision.clone(),
        );
        registry.register(
            "withheld_calls",
            "Calls not sent because their zone was evacuated while they waited for a connection",
            self.withheld_calls.clone(),
        );
    }
}
