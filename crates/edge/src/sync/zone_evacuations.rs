//! Applies the operators' orders to evacuate availability zones.

use mux_model::{AvailabilityZone, FastSet, TimePoint};
use mux_routing::balancer::ZoneEvacuation;
use slog::{info, warn};

use crate::edge_state::EdgeState;

/// Applies the entry of an evacuated zone, written at `revision`; returns whether the zone was not
/// evacuated before.
pub(super) fn apply_evacuation(
    edge: &EdgeState,
    now: TimePoint,
    zone: AvailabilityZone,
    revision: u64,
) -> bool {
    edge.upstreams().evacuated_zones.on_entry(now, zone, revision)
}

/// Logs evacuations that began with an update. To be called when the whole update has been applied, as
/// the entries of the zone's upstreams may follow that of the zone.
pub(super) fn log_evacuations(edge: &EdgeState, zones: &[AvailabilityZone]) {
    let is_obeyed = edge.limits().evacuation.is_some();
    for zone in zones {
        let upstreams = edge.upstreams().count_in_zone(zone);
        let revision = edge.upstreams().evacuated_zones.revision(zone);
        info!(edge.logger, "zone: evacuation ordered"; "zone" => zone.as_str(),
            "revision" => revision, "upstreams" => upstreams, "obeyed" => is_obeyed,
            "store_age_ms" => store_age_ms(edge));
        if upstreams == 0 && !edge.nodes().has_node_in(zone) {
            warn!(edge.logger, "zone: evacuated zone has no known upstream or node";
                "zone" => zone.as_str(), "revision" => revision);
        }
    }
}

/// Handles the removal of the entry of a zone; returns whether the evacuation has ended.
pub(super) fn end_evacuation(edge: &EdgeState, zone: &AvailabilityZone, is_doubtful: bool) -> bool {
    let ended = edge.upstreams().evacuated_zones.on_removed(zone, is_doubtful);
    if let Some(evacuation) = ended {
        log_end(edge, zone, &evacuation);
    } else if is_doubtful {
        info!(edge.logger, "zone: missing evacuation is kept until the store is current";
            "zone" => zone.as_str());
    }
    ended.is_some()
}

/// Handles a complete listing of the store; returns whether an evacuation has ended.
pub(super) fn end_unlisted_evacuations(
    edge: &EdgeState,
    listed: &FastSet<AvailabilityZone>,
    is_doubtful: bool,
) -> bool {
    let ended = edge.upstreams().evacuated_zones.on_listing(listed, is_doubtful);
    log_ends(edge, &ended)
}

/// Ends the evacuations whose entries are still missing in a current store; returns whether there was
/// one.
pub(super) fn end_missing_evacuations(edge: &EdgeState) -> bool {
    let ended = edge.upstreams().evacuated_zones.drop_missing();
    log_ends(edge, &ended)
}

fn log_ends(edge: &EdgeState, ended: &[(AvailabilityZone, ZoneEvacuation)]) -> bool {
    for (zone, evacuation) in ended {
        log_end(edge, zone, evacuation);
    }
    !ended.is_empty()
}

fn log_end(edge: &EdgeState, zone: &AvailabilityZone, evacuation: &ZoneEvacuation) {
    let upstreams = edge.upstreams().count_in_zone(zone);
    let age = edge.timer.now().since(evacuation.since);
    info!(edge.logger, "zone: evacuation ended, load returns in steps"; "zone" => zone.as_str(),
        "revision" => evacuation.revision, "upstreams" => upstreams,
        "age_ms" => age.as_millis() as u64, "store_age_ms" => store_age_ms(edge));
}

fn store_age_ms(edge: &EdgeState) -> u64 {
    let age = edge.store_reachability().time_since_reply(edge.timer.now());
    // A node that has heard no reply of the store, also through a peer, has no entries to apply.
    age.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
