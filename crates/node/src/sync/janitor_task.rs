//! Deletes stored values that are no longer needed; one node at a time does so.

use std::{sync::Arc, time::Duration};

use mux_config::{ConfigJanitor, LeaseHolder, RetentionLimits, storage_keys::JANITOR_KEY};
use slog::{debug, info};

use crate::Node;

const LEASE_TTL: Duration = Duration::from_secs(60);
const CHECK_PERIOD: Duration = Duration::from_secs(15);

/// On watcher nodes, periodically acquires or renews the janitor's lease, and runs the janitor
/// while holding it.
pub(crate) async fn run_janitor(node: Arc<Node>) {
    let store = node.store().clone();
    let mut holder = LeaseHolder::new(store.clone(), JANITOR_KEY, node.name().clone(), LEASE_TTL);
    let janitor = ConfigJanitor::new(store, RetentionLimits::default());
    let mut pauses = node.timer().subscribe_pauses();
    loop {
        node.timer().sleep(CHECK_PERIOD).await;
        if pauses.has_changed().unwrap_or(false) {
            pauses.mark_unchanged();
            holder.on_pause();
        }
        if !node.watches_store() || holder.renew_or_acquire(node.timer().now()).await.is_err() {
            continue;
        }
        let Some(lease) = holder.lease(node.timer().now()) else {
            continue;
        };
        match janitor.run(lease).await {
            Ok(report) if 0 < report.definitions + report.audit_records => {
                info!(node.logger(), "janitor: deleted obsolete values";
                    "definitions" => report.definitions,
                    "audit_records" => report.audit_records);
            }
            Ok(_) => {}
            Err(error) => debug!(node.logger(), "janitor: run ended early: {}", error),
        }
    }
}
