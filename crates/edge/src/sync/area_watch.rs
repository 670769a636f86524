//! Follows one area of the store.

use std::{sync::Arc, time::Duration};

use slog::{info, warn};

use super::apply_news::{NewsKind, apply_news};
use crate::{AreaNews, ClusterStore, StoreArea, StoreFault, StoreMark, edge::Edge};

/// Time for which a watch waits for changes. An outage is noticed once a watch is overdue, which
/// has to be sooner than entries lapse that are not renewed meanwhile.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// First pause after a failed call; doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause after a failed call; a part of the time in which changes must be in force.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Period in which entries that did not come back are looked for.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);

/// Reads an area, then waits for its changes, until the process ends.
pub(crate) async fn watch_area<S: ClusterStore>(edge: Arc<Edge>, store: S, area: StoreArea) {
    let mut pauses = edge.timer.subscribe_pauses();
    let mut mark: Option<StoreMark> = None;
    let mut failures = 0_u32;
    loop {
        pauses.mark_unchanged();
        let read = async {
            match mark {
                Some(mark) => (NewsKind::Changes, store.watch(area, mark, WATCH_WAIT).await),
                None => (NewsKind::Listing, store.list(area).await),
            }
        };
        let (kind, result) = tokio::select! {
            it = read => it,
            // What is known may be old, and the connection of the watch dead.
            _ = pauses.changed() => {
                info!(edge.logger, "store: read again after a pause"; "area" => area.as_str());
                mark = None;
                continue;
            }
        };
        match result {
            Ok(news) => {
                failures = 0;
                mark = Some(news.mark);
                take_news(&edge, area, kind, news);
            }
            Err(StoreFault::HistoryGone) => {
                info!(edge.logger, "store: history gone, read again"; "area" => area.as_str());
                mark = None;
            }
            Err(fault) => {
                failures += 1;
                note_failure(&edge, area, failures, &fault);
                let pause = RETRY_PAUSE * (1 << failures.min(5));
                edge.timer.sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Gives up entries that did not come back after the store did, until the process ends.
pub(crate) async fn settle_missing(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(SETTLE_PERIOD);
    loop {
        let now = ticks.next().await;
        if !edge.contact(StoreArea::Upstreams, |it| it.is_absence_doubtful(now)) {
            let dropped = edge.upstreams().drop_missing();
            if !dropped.is_empty() {
                info!(edge.logger, "upstreams: given up, missing since the store is back";
                    "count" => dropped.len());
                edge.refresh_lanes(now);
            }
        }
        if !edge.contact(StoreArea::Nodes, |it| it.is_absence_doubtful(now)) {
            let dropped = edge.nodes().drop_missing();
            if !dropped.is_empty() {
                info!(edge.logger, "nodes: given up, missing since the store is back";
                    "count" => dropped.len());
                edge.refresh_lanes(now);
            }
        }
    }
}

fn take_news(edge: &Edge, area: StoreArea, kind: NewsKind, news: AreaNews) {
    let now = edge.timer.now();
    if edge.contact(area, |it| it.on_answer(now)) {
        info!(edge.logger, "store: reached"; "area" => area.as_str(), "mark" => news.mark.0);
    }
    apply_news(edge, now, area, kind, news.changes);
}

/// A single failure is no sign of an outage: a watch that waits may be cut at any time.
fn note_failure(edge: &Edge, area: StoreArea, failures: u32, fault: &StoreFault) {
    let label = crate::edge_metrics::AreaLabel { area: area.as_str() };
    edge.metrics.store_failures.get_or_create(&label).inc();
    let now = edge.timer.now();
    let is_overdue = matches!(fault, StoreFault::NoAnswer(_));
    if failures < 2 && !is_overdue {
        return;
    }
    if edge.contact(area, |it| it.on_failure(now)) {
        warn!(edge.logger, "store: lost"; "area" => area.as_str(), "cause" => fault.to_string());
    }
}
