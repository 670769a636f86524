//! Reads the store and watches it for changes.

use std::{sync::Arc, time::Duration};

use slog::info;

use super::apply_update::{UpdateKind, apply_update};
use crate::{ClusterStore, ClusterStoreError, StoreRevision, edge_state::EdgeState};

/// Wait time of a watch as a fraction of the time in which a configuration has to become active.
///
/// If the store compacts its history during a watch, the watch may miss earlier changes, and only
/// the next watch returns [`ClusterStoreError::HistoryCompacted`]. A shorter wait costs more calls,
/// and is not needed to notice an outage: lease renewals do that, at a tenth of the cost of a watch
/// call.
const WATCH_WAIT_FRACTION: f64 = 0.85;
/// Delay after an update in which further changes accumulate, so that a burst does not need a call
/// for each change; a small part of the seconds in which changes have to become active.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Increase of [`BATCH_DELAY`] per node, which limits the load of all nodes on the store.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_millis(12);
/// Maximum batch delay of an advertised node.
const MAX_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Batch delay of a node that is not advertised to callers, as a fraction of the time in which a
/// configuration has to become active; the rest is left for the call and, on a slow store, for a
/// second one.
const UNADVERTISED_BATCH_FRACTION: f64 = 0.4;
/// Half of the delay after the first failed call; the delay doubles with each further failure in a
/// row, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay after a failed call; a part of the time in which changes have to become active.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Period of the checks whether entries that disappeared during an outage of the store may be
/// dropped.
const MISSING_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Lists the store's entries, then watches for changes, until the process ends.
pub(crate) async fn watch_store<S: ClusterStore>(edge: Arc<EdgeState>, store: S) {
    let mut pauses = edge.timer.subscribe_pauses();
    let wait = edge.settings.config_apply_limit.mul_f64(WATCH_WAIT_FRACTION);
    let mut revision: Option<StoreRevision> = None;
    let mut failures = 0_u32;
    loop {
        pauses.mark_unchanged();
        let read = async {
            match revision {
                Some(revision) => (UpdateKind::Changes, store.watch(revision, wait).await),
                None => (UpdateKind::Listing, store.list().await),
            }
        };
        let (kind, result) = tokio::select! {
            it = read => it,
            // The local state may be outdated, and the connection of the watch may be closed.
            _ = pauses.changed() => {
                info!(edge.logger, "store: listing again after a pause of this process");
                revision = None;
                continue;
            }
            () = edge.watch_restart.notified() => continue,
        };
        match result {
            Ok(update) => {
                failures = 0;
                revision = Some(update.revision);
                // The first update after an outage contains the entries that expired during it, so
                // the reply has to be recorded before the update is applied.
                edge.on_store_reply();
                apply_update(&edge, edge.timer.now(), kind, update.changes);
                edge.timer.sleep(batch_delay(&edge)).await;
            }
            Err(ClusterStoreError::HistoryCompacted) => {
                info!(edge.logger, "store: history compacted, listing again");
                revision = None;
            }
            Err(error) => {
                failures += 1;
                // A single watch may fail because its connection was closed; two failures in a row
                // are an outage.
                if 1 < failures
                    || matches!(error, ClusterStoreError::NoValidReply(_)) && revision.is_none()
                {
                    edge.on_store_failure("watch", &error);
                }
                let delay = RETRY_DELAY * (1 << failures.min(5));
                edge.timer.sleep(delay.min(MAX_RETRY_DELAY)).await;
            }
        }
    }
}

fn batch_delay(edge: &EdgeState) -> Duration {
    let (nodes, is_advertised) = {
        let registry = edge.nodes();
        (registry.node_count(), registry.is_advertised())
    };
    if !is_advertised {
        return edge.settings.config_apply_limit.mul_f64(UNADVERTISED_BATCH_FRACTION);
    }
    (BATCH_DELAY + BATCH_DELAY_PER_NODE * nodes).min(MAX_BATCH_DELAY)
}

/// Drops entries that are still missing some time after an outage of the store, until the process
/// ends.
pub(crate) async fn drop_missing_entries(edge: Arc<EdgeState>) {
    let mut ticks = edge.timer.subscribe(MISSING_CHECK_PERIOD);
    loop {
        let now = ticks.next().await;
        if edge.store_reachability().may_lack_live_entries(now) {
            continue;
        }
        let upstreams = edge.upstreams().drop_missing().len();
        let nodes = edge.nodes().drop_missing().len();
        if 0 < upstreams + nodes {
            info!(edge.logger, "store: dropped entries that were not restored after an outage";
                "upstreams" => upstreams, "nodes" => nodes);
            edge.refresh_balancers(now);
        }
    }
}
