//! Follows the store.

use std::{sync::Arc, time::Duration};

use slog::info;

use super::apply_news::{NewsKind, apply_news};
use crate::{ClusterStore, ClusterStoreError, StoreRevision, edge::Edge};

/// Part of the time for a configuration to be in force for which a watch waits.
///
/// A watch that waits while the store drops its history may hear nothing of the changes before,
/// and only the next one is told that they are gone. A shorter wait costs more calls; whether the
/// store is there at all is learnt from the renewals of this node's lease, which cost a tenth.
const WATCH_SHARE: f64 = 0.85;
/// Time after news in which more of them gather, so that a burst does not cost a call each; a
/// small part of the seconds in which changes must be in force.
const GATHER_TIME: Duration = Duration::from_millis(250);
/// What each node adds to [`GATHER_TIME`], as each adds to the calls of the fleet.
const GATHER_TIME_PER_NODE: Duration = Duration::from_millis(12);
/// Longest time in which news gather.
const MAX_GATHER_TIME: Duration = Duration::from_secs(1);
/// Time in which news gather at a node that callers are not sent to, as a part of the time in which
/// a configuration has to be in force; the rest is for the call, on a slow store for a second one.
const IDLE_GATHER_SHARE: f64 = 0.4;
/// First pause after a failed call; doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause after a failed call; a part of the time in which changes must be in force.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Period in which entries that did not come back are looked for.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);

/// Reads the store, then waits for its changes, until the process ends.
pub(crate) async fn watch_store<S: ClusterStore>(edge: Arc<Edge>, store: S) {
    let mut pauses = edge.timer.subscribe_pauses();
    let wait = edge.settings.config_apply_limit.mul_f64(WATCH_SHARE);
    let mut revision: Option<StoreRevision> = None;
    let mut failures = 0_u32;
    loop {
        pauses.mark_unchanged();
        let read = async {
            match revision {
                Some(revision) => (NewsKind::Changes, store.watch(revision, wait).await),
                None => (NewsKind::Listing, store.list().await),
            }
        };
        let (kind, result) = tokio::select! {
            it = read => it,
            // What is known may be old, and the connection of the watch dead.
            _ = pauses.changed() => {
                info!(edge.logger, "store: read again after a pause of this process");
                revision = None;
                continue;
            }
            () = edge.watch_again.notified() => continue,
        };
        match result {
            Ok(news) => {
                failures = 0;
                revision = Some(news.revision);
                // The entries that lapsed in an outage come with the first news after it, which
                // must be seen as such.
                edge.on_store_answer();
                apply_news(&edge, edge.timer.now(), kind, news.changes);
                edge.timer.sleep(gather_time(&edge)).await;
            }
            Err(ClusterStoreError::HistoryCompacted) => {
                info!(edge.logger, "store: history gone, read again");
                revision = None;
            }
            Err(fault) => {
                failures += 1;
                // A watch that waits may be cut at any time; twice in a row is an outage.
                if 1 < failures
                    || matches!(fault, ClusterStoreError::NoAnswer(_)) && revision.is_none()
                {
                    edge.on_store_failure("watch", &fault);
                }
                let pause = RETRY_PAUSE * (1 << failures.min(5));
                edge.timer.sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

fn gather_time(edge: &Edge) -> Duration {
    let (nodes, is_advertised) = {
        let registry = edge.nodes();
        (registry.node_count(), registry.is_advertised())
    };
    if !is_advertised {
        return edge.settings.config_apply_limit.mul_f64(IDLE_GATHER_SHARE);
    }
    (GATHER_TIME + GATHER_TIME_PER_NODE * nodes).min(MAX_GATHER_TIME)
}

/// Gives up entries that did not come back after the store did, until the process ends.
pub(crate) async fn settle_missing(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(SETTLE_PERIOD);
    loop {
        let now = ticks.next().await;
        if edge.contact().may_lack_live_entries(now) {
            continue;
        }
        let upstreams = edge.upstreams().drop_missing().len();
        let nodes = edge.nodes().drop_missing().len();
        if 0 < upstreams + nodes {
            info!(edge.logger, "store: entries given up that did not come back";
                "upstreams" => upstreams, "nodes" => nodes);
            edge.refresh_balancers(now);
        }
    }
}
