//! Applies updates from the store to the state of the node.

use mux_config::traffic::{ActivationOutcome, RouteDiff, TrafficConfig};
use mux_model::{AvailabilityZone, FastSet, InstanceId, NodeId, TimePoint};
use mux_placement::NodeRecord;
use mux_routing::balancer::{RecordChange, UpstreamPhase, UpstreamRecord};
use slog::{info, warn};

use super::zone_evacuations::{
    apply_evacuation, end_evacuation, end_unlisted_evacuations, log_evacuations,
};
use crate::{
    StoreChange, StoreEntry, StoreKey, StoreRevision,
    edge_state::EdgeState,
    service_limits::ServiceLimits,
    workspace_quotas::{record_workspaces, refresh_quotas, set_workspaces},
};

/// Maximum number of names in one field of a log line.
const MAX_LOGGED_NAMES: usize = 8;

/// Whether an update is complete or incremental.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateKind {
    /// The update contains all entries of the store.
    Listing,
    /// The update contains only changed entries.
    Changes,
}

/// Applies an update that leads to `revision` to the state of the node and to the copy that other
/// nodes read, and refreshes the balancers if the state changed.
pub(super) fn apply_update(
    edge: &EdgeState,
    now: TimePoint,
    kind: UpdateKind,
    changes: Vec<StoreChange>,
    revision: StoreRevision,
) {
    match kind {
        UpdateKind::Listing => edge.store_mirror().on_listing(&changes, revision),
        UpdateKind::Changes => edge.store_mirror().on_changes(&changes, revision),
    }
    let writer_may_be_alive = edge.store_reachability().may_lack_live_entries(now);
    let mut listed_instances = FastSet::default();
    let mut listed_nodes = FastSet::default();
    let mut listed_evidence = FastSet::default();
    let mut listed_zones: FastSet<AvailabilityZone> = FastSet::default();
    let mut evacuated = Vec::new();
    let mut is_changed = false;
    for change in changes {
        match change {
            StoreChange::Written(StoreEntry::Config(config)) => {
                is_changed |= apply_config(edge, &config);
            }
            StoreChange::Written(StoreEntry::Upstream(record)) => {
                listed_instances.insert(record.instance.clone());
                is_changed |= apply_upstream(edge, record);
            }
            StoreChange::Written(StoreEntry::Node(record)) => {
                listed_nodes.insert(record.node.clone());
                is_changed |= apply_node(edge, record);
            }
            StoreChange::Written(StoreEntry::SpentBudget { node, services }) => {
                if kind == UpdateKind::Listing && node == edge.settings.node.node {
                    edge.set_inherited_spent_services(services);
                }
            }
            StoreChange::Written(StoreEntry::Evidence(evidence)) => {
                listed_evidence.insert(evidence.key.clone());
                edge.quarantine.ledger.update(|it| it.on_stored(now, evidence));
            }
            StoreChange::Removed(StoreKey::Evidence(key)) => {
                edge.quarantine.ledger.update(|it| it.on_removed(&key));
            }
            StoreChange::Written(StoreEntry::Evacuation { zone, revision }) => {
                listed_zones.insert(zone.clone());
                if apply_evacuation(edge, now, zone.clone(), revision) {
                    evacuated.push(zone);
                    is_changed = true;
                }
            }
            StoreChange::Removed(key) => {
                is_changed |= apply_removal(edge, &key, writer_may_be_alive)
            }
            StoreChange::Malformed { key, reason } => {
                log_malformed(edge, now, &key, &reason);
                // What was known of the entry stays.
                match key {
                    StoreKey::Upstream(instance) => _ = listed_instances.insert(instance),
                    StoreKey::Node(node) => _ = listed_nodes.insert(node),
                    StoreKey::Evacuation(zone) => _ = listed_zones.insert(zone),
                    StoreKey::Evidence(key) => _ = listed_evidence.insert(key),
                    StoreKey::Config | StoreKey::SpentBudget(_) => {}
                }
            }
        }
    }
    if kind == UpdateKind::Listing {
        // Markers in later listings were written by this process.
        edge.set_inherited_spent_services(Vec::new());
        edge.quarantine.ledger.update(|it| it.on_listing(&listed_evidence));
        is_changed |= drop_unlisted_upstreams(edge, &listed_instances, writer_may_be_alive);
        is_changed |= drop_unlisted_nodes(edge, &listed_nodes, writer_may_be_alive);
        is_changed |= end_unlisted_evacuations(edge, &listed_zones, writer_may_be_alive);
    }
    if is_changed {
        edge.refresh_balancers(now);
        refresh_quotas(edge, now);
        edge.reach.check();
    }
    log_evacuations(edge, &evacuated);
    // Peers are told last, so that they do not compete with this node for its processor.
    edge.mirror_revision.send_replace(edge.store_mirror().revision());
}

fn apply_config(edge: &EdgeState, config: &TrafficConfig) -> bool {
    let before = edge.route_table();
    let mut removed = Vec::new();
    let change = edge.update_active_routes(|it| {
        let change = it.on_config(config);
        if matches!(change, ActivationOutcome::Activated { .. }) {
            removed = set_workspaces(edge, config);
        }
        change
    });
    match change {
        ActivationOutcome::Activated { from } => {
            let diff = match (before, edge.route_table()) {
                (Some(before), Some(after)) => RouteDiff::between(&before, &after),
                _ => RouteDiff::default(),
            };
            info!(edge.logger, "config: activated"; "version" => config.version.0,
                "from" => from.map_or(0, |it| it.0), "routes" => config.routes.len(),
                "services" => config.connection_limits.len(),
                "added" => join_names(&diff.added), "removed" => join_names(&diff.removed),
                "changed" => join_names(&diff.changed));
            if let Some(table) = edge.route_table() {
                record_workspaces(edge, &table, &removed);
            }
            edge.balancers.set_service_limits(ServiceLimits::of_config(config));
            let version = i64::try_from(config.version.0).unwrap_or(i64::MAX);
            edge.metrics.config_version.set(version);
            true
        }
        ActivationOutcome::Outdated => {
            info!(edge.logger, "config: outdated version ignored"; "version" => config.version.0);
            false
        }
        ActivationOutcome::Same => false,
    }
}

/// Joins up to [`MAX_LOGGED_NAMES`] names, and appends the number of the others.
fn join_names(names: &[String]) -> String {
    let first: Vec<&str> = names.iter().take(MAX_LOGGED_NAMES).map(String::as_str).collect();
    match names.len() {
        0 => String::new(),
        count if count <= MAX_LOGGED_NAMES => first.join(" "),
        count => format!("{} and {} more", first.join(" "), count - MAX_LOGGED_NAMES),
    }
}

fn apply_upstream(edge: &EdgeState, record: UpstreamRecord) -> bool {
    let instance = record.instance.clone();
    let (service, sequence) = (record.service.clone(), record.sequence);
    let is_draining = record.phase == UpstreamPhase::Draining;
    let change = edge.upstreams().on_record(record);
    if matches!(change, RecordChange::Same) {
        return false;
    }
    info!(edge.logger, "upstream: entry read"; "instance" => instance.as_str(),
        "service" => service.as_str(), "sequence" => sequence, "draining" => is_draining,
        "outcome" => format!("{change:?}"));
    change != RecordChange::Outdated
}

fn apply_node(edge: &EdgeState, record: NodeRecord) -> bool {
    let node = record.node.clone();
    let is_cut = record.is_cut;
    let is_changed = edge.nodes().on_record(record);
    if is_changed {
        info!(edge.logger, "node: entry changed"; "peer" => node.as_str(), "is_cut" => is_cut);
    }
    is_changed
}

fn apply_removal(edge: &EdgeState, key: &StoreKey, writer_may_be_alive: bool) -> bool {
    let is_dropped = match key {
        StoreKey::Config => {
            warn!(edge.logger, "config: removed from the store; the last version stays active");
            return false;
        }
        StoreKey::Upstream(instance) => edge.upstreams().on_removed(instance, writer_may_be_alive),
        StoreKey::Node(node) if *node == edge.settings.node.node => {
            edge.announce_wakeup.notify_one();
            return false;
        }
        StoreKey::Node(node) => edge.nodes().on_removed(node, writer_may_be_alive),
        StoreKey::Evacuation(zone) => return end_evacuation(edge, zone, writer_may_be_alive),
        StoreKey::SpentBudget(_) | StoreKey::Evidence(_) => return false,
    };
    info!(edge.logger, "store: entry removed"; "entry" => describe_key(key),
        "doubtful" => writer_may_be_alive, "given_up" => is_dropped);
    is_dropped
}

fn drop_unlisted_upstreams(
    edge: &EdgeState,
    listed: &FastSet<InstanceId>,
    writer_may_be_alive: bool,
) -> bool {
    let dropped = edge.upstreams().on_listing(listed, writer_may_be_alive);
    for instance in &dropped {
        info!(edge.logger, "upstream: no longer listed"; "instance" => instance.as_str());
    }
    !dropped.is_empty()
}

fn drop_unlisted_nodes(
    edge: &EdgeState,
    listed: &FastSet<NodeId>,
    writer_may_be_alive: bool,
) -> bool {
    if listed.contains(&edge.settings.node.node) {
        edge.sharing.on_listed(edge.timer.now());
    } else {
        edge.announce_wakeup.notify_one();
    }
    let dropped = edge.nodes().on_listing(listed, writer_may_be_alive);
    for node in &dropped {
        info!(edge.logger, "node: no longer listed"; "peer" => node.as_str());
    }
    !dropped.is_empty()
}

/// Logs an entry that cannot be decoded; a writer may repeat it without end.
fn log_malformed(edge: &EdgeState, now: TimePoint, key: &StoreKey, reason: &str) {
    edge.metrics.malformed_entries.inc();
    if let Some(suppressed) = edge.malformed_entry_log.allow(now) {
        warn!(edge.logger, "store: malformed entry skipped"; "entry" => describe_key(key),
            "reason" => reason, "suppressed_lines" => suppressed);
    }
}

/// Logs items of the store of which not even the keys can be read.
pub(super) fn log_skipped_items(edge: &EdgeState, now: TimePoint, count: usize) {
    if count == 0 {
        return;
    }
    edge.metrics.malformed_entries.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    if let Some(suppressed) = edge.malformed_entry_log.allow(now) {
        warn!(edge.logger, "store: items without a readable key skipped"; "items" => count,
            "suppressed_lines" => suppressed);
    }
}

fn describe_key(key: &StoreKey) -> String {
    match key {
        StoreKey::Config => "config".to_owned(),
        StoreKey::Upstream(instance) => format!("upstream {instance}"),
        StoreKey::Node(node) => format!("node {node}"),
        StoreKey::SpentBudget(node) => format!("spent budget of {node}"),
        StoreKey::Evidence(key) => format!("evidence {} {}", key.fingerprint, key.source),
        StoreKey::Evacuation(zone) => format!("evacuation of zone {zone}"),
    }
}
