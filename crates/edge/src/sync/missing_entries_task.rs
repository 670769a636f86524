//! Drops entries that are still missing some time after an outage of the store.

use std::{sync::Arc, time::Duration};

use slog::info;

use super::zone_evacuations::end_missing_evacuations;
use crate::edge_state::EdgeState;

/// Period of the checks whether entries that disappeared during an outage of the store may be
/// dropped.
const MISSING_CHECK_PERIOD: Duration = Duration::from_millis(250);

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
        }
        if end_missing_evacuations(&edge) || 0 < upstreams + nodes {
            edge.refresh_balancers(now);
        }
    }
}
