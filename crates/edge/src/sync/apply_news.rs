//! Turns what was read from the store into what the node believes.

use mux_config::traffic::{ActivationOutcome, RouteDiff, TrafficConfig};
use mux_model::{FastSet, InstanceId, NodeId, TimePoint};
use mux_placement::NodeRecord;
use mux_routing::balancer::{RecordChange, UpstreamPhase, UpstreamRecord};
use slog::{info, warn};

use crate::{StoreChange, StoreEntry, StoreKey, edge::Edge};

/// Names that one field of a log line lists at most.
const MAX_LOGGED_NAMES: usize = 8;

/// How what was read relates to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NewsKind {
    /// It is all that the store holds.
    Listing,
    /// It is what has changed.
    Changes,
}

/// Applies what was read.
pub(super) fn apply_news(edge: &Edge, now: TimePoint, kind: NewsKind, changes: Vec<StoreChange>) {
    let doubtful = edge.contact().may_lack_live_entries(now);
    let mut listed_instances = FastSet::default();
    let mut listed_nodes = FastSet::default();
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
                if kind == NewsKind::Listing && node == edge.settings.node.node {
                    edge.inherit_spent(services);
                }
            }
            StoreChange::Removed(key) => is_changed |= apply_removal(edge, &key, doubtful),
            StoreChange::Malformed { key, reason } => {
                warn!(edge.logger, "store: entry skipped"; "entry" => entry_name(&key),
                    "reason" => reason);
                match key {
                    StoreKey::Upstream(instance) => _ = listed_instances.insert(instance),
                    StoreKey::Node(node) => _ = listed_nodes.insert(node),
                    StoreKey::Config | StoreKey::SpentBudget(_) => {}
                }
            }
        }
    }
    if kind == NewsKind::Listing {
        // What is listed later was written by this process.
        edge.inherit_spent(Vec::new());
        is_changed |= drop_unlisted(edge, &listed_instances, doubtful);
        is_changed |= drop_unlisted_nodes(edge, &listed_nodes, doubtful);
    }
    if is_changed {
        edge.refresh_balancers(now);
        edge.metrics.upstreams.set(i64::try_from(edge.upstreams().len()).unwrap_or(i64::MAX));
        edge.metrics.nodes.set(i64::from(edge.nodes().node_count()));
    }
}

fn apply_config(edge: &Edge, config: &TrafficConfig) -> bool {
    let before = edge.table();
    let change = edge.change_config(|it| it.on_config(config));
    match change {
        ActivationOutcome::Activated { from } => {
            let diff = match (before, edge.table()) {
                (Some(before), Some(after)) => RouteDiff::between(&before, &after),
                _ => RouteDiff::default(),
            };
            info!(edge.logger, "config: in force"; "version" => config.version.0,
                "from" => from.map_or(0, |it| it.0), "routes" => config.routes.len(),
                "services" => config.connection_limits.len(),
                "added" => listed_names(&diff.added), "removed" => listed_names(&diff.removed),
                "changed" => listed_names(&diff.changed));
            edge.set_connection_limits(config.connection_limits.clone());
            let version = i64::try_from(config.version.0).unwrap_or(i64::MAX);
            edge.metrics.config_version.set(version);
            true
        }
        ActivationOutcome::Outdated => {
            info!(edge.logger, "config: outdated read ignored"; "version" => config.version.0);
            false
        }
        ActivationOutcome::Same => false,
    }
}

/// Returns the first names of a list, and how many there are.
fn listed_names(names: &[String]) -> String {
    let first: Vec<&str> = names.iter().take(MAX_LOGGED_NAMES).map(String::as_str).collect();
    match names.len() {
        0 => String::new(),
        count if count <= MAX_LOGGED_NAMES => first.join(" "),
        count => format!("{} and {} more", first.join(" "), count - MAX_LOGGED_NAMES),
    }
}

fn apply_upstream(edge: &Edge, record: UpstreamRecord) -> bool {
    let instance = record.instance.clone();
    let (service, sequence) = (record.service.clone(), record.sequence);
    let is_draining = record.phase == UpstreamPhase::Draining;
    let change = edge.upstreams().on_record(record);
    if matches!(change, RecordChange::Same) {
        return false;
    }
    info!(edge.logger, "upstream: entry"; "instance" => instance.as_str(),
        "service" => service.as_str(), "sequence" => sequence, "draining" => is_draining,
        "outcome" => format!("{change:?}"));
    change != RecordChange::Outdated
}

fn apply_node(edge: &Edge, record: NodeRecord) -> bool {
    let node = record.node.clone();
    let is_news = edge.nodes().on_record(record);
    if is_news {
        info!(edge.logger, "node: known"; "peer" => node.as_str());
    }
    is_news
}

fn apply_removal(edge: &Edge, key: &StoreKey, doubtful: bool) -> bool {
    let is_gone = match key {
        StoreKey::Config => {
            warn!(edge.logger, "config: removed from the store; the last version stays in force");
            return false;
        }
        StoreKey::Upstream(instance) => edge.upstreams().on_removed(instance, doubtful),
        StoreKey::Node(node) if *node == edge.settings.node.node => {
            edge.announce.notify_one();
            return false;
        }
        StoreKey::Node(node) => edge.nodes().on_removed(node, doubtful),
        StoreKey::SpentBudget(_) => return false,
    };
    info!(edge.logger, "store: entry removed"; "entry" => entry_name(key),
        "doubtful" => doubtful, "given_up" => is_gone);
    is_gone
}

fn drop_unlisted(edge: &Edge, listed: &FastSet<InstanceId>, doubtful: bool) -> bool {
    let gone = edge.upstreams().on_listing(listed, doubtful);
    for instance in &gone {
        info!(edge.logger, "upstream: no longer listed"; "instance" => instance.as_str());
    }
    !gone.is_empty()
}

fn drop_unlisted_nodes(edge: &Edge, listed: &FastSet<NodeId>, doubtful: bool) -> bool {
    if !listed.contains(&edge.settings.node.node) {
        edge.announce.notify_one();
    }
    let gone = edge.nodes().on_listing(listed, doubtful);
    for node in &gone {
        info!(edge.logger, "node: no longer listed"; "peer" => node.as_str());
    }
    !gone.is_empty()
}

fn entry_name(key: &StoreKey) -> String {
    match key {
        StoreKey::Config => "config".to_owned(),
        StoreKey::Upstream(instance) => format!("upstream {instance}"),
        StoreKey::Node(node) => format!("node {node}"),
        StoreKey::SpentBudget(node) => format!("spent budget of {node}"),
    }
}
