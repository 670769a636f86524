//! This node's part of the quotas of workspaces.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_config::traffic::{RouteTable, TrafficConfig};
use mux_model::{TimePoint, WorkspaceName};
use mux_sharing::BoundKey;
use mux_workspaces::QuotaTable;
use slog::{info, warn};
use tokio::sync::Notify;

use crate::{edge_metrics::WorkspaceLabels, edge_state::EdgeState, sharing::borrow_grants};

/// Time limit of a round in which other nodes are asked for grants.
const ASK_TIME_LIMIT: Duration = Duration::from_millis(30);
/// Results of requests of a workspace, as in the metrics.
const RESULTS: [&str; 2] = ["admitted", "over_quota"];

/// The quotas of workspaces at this node.
#[derive(Debug)]
pub(crate) struct WorkspaceQuotas {
    table: Mutex<QuotaTable>,
    /// Wakes the requests that wait for grants of other nodes.
    pub(crate) round_ended: Notify,
}

impl Default for WorkspaceQuotas {
    fn default() -> Self {
        let table = QuotaTable::new(None, 1.0, rand::random());
        Self { table: Mutex::new(table), round_ended: Notify::new() }
    }
}

impl WorkspaceQuotas {
    /// Returns the quotas.
    pub(crate) fn table(&self) -> MutexGuard<'_, QuotaTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the workspaces of a configuration that is about to become active, so that no request is
/// judged by its keys before its quotas are known. Returns the names of those that were removed.
pub(crate) fn set_workspaces(edge: &EdgeState, config: &TrafficConfig) -> Vec<WorkspaceName> {
    let now = edge.timer.now();
    refresh_quotas(edge, now);
    edge.workspace_quotas.table().set_workspaces(now, &config.workspaces)
}

/// Records the workspaces of the configuration that has become active.
pub(crate) fn record_workspaces(edge: &EdgeState, table: &RouteTable, removed: &[WorkspaceName]) {
    for name in removed {
        for result in RESULTS {
            let labels = WorkspaceLabels { workspace: name.as_str().to_owned(), result };
            edge.metrics.workspace_requests.remove(&labels);
        }
    }
    let (directory, version) = (table.workspaces(), table.version().0);
    if directory.is_empty() && removed.is_empty() {
        return;
    }
    let limited = edge.workspace_quotas.table().limited_workspaces();
    edge.metrics.workspaces.set(i64::try_from(directory.len()).unwrap_or(i64::MAX));
    info!(edge.logger, "config: workspaces"; "version" => version,
        "workspaces" => directory.len(), "limited" => limited, "removed" => removed.len());
    if 0 < directory.ambiguous_keys() {
        warn!(edge.logger, "config: keys stand in several workspaces; the first one has them";
            "version" => version, "keys" => directory.ambiguous_keys());
    }
    if directory.is_empty() {
        warn!(edge.logger, "config: no workspaces any more; requests need no key";
            "version" => version);
    }
}

/// Applies the current limits and share of this node; to be called periodically, and when the known
/// nodes have changed.
pub(crate) fn refresh_quotas(edge: &EdgeState, now: TimePoint) {
    let share = edge.sharing.shares().uniform_share();
    edge.workspace_quotas.table().set_share(now, edge.limits().quota, share);
}

/// Asks other nodes for grants of a workspace if this one has few, unless it is asking already.
pub(crate) fn ask_for_grants(edge: &Arc<EdgeState>, name: &WorkspaceName) {
    let wanted = edge.workspace_quotas.table().begin_asking(edge.timer.now(), name);
    let Some(wanted) = wanted else {
        return;
    };
    let (edge, name) = (Arc::clone(edge), name.clone());
    tokio::spawn(async move {
        let key = BoundKey::Workspace(name.clone());
        let borrowed = borrow_grants(&edge, &key, wanted, ASK_TIME_LIMIT).await;
        edge.workspace_quotas.table().end_asking(&name, borrowed);
        edge.workspace_quotas.round_ended.notify_waiters();
    });
}
