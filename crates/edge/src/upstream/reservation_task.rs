//! Releases connections that stay reserved without a call.

use std::{sync::Arc, time::Duration};

use slog::warn;

use crate::edge_state::EdgeState;

/// Period of the checks for connections that are reserved without a call.
const RESERVATION_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Time within which a call begins after its connection was reserved, also on a slow machine.
const MAX_UNUSED_RESERVATION: Duration = Duration::from_secs(2);
/// Maximum number of log lines of one check.
const MAX_LOG_LINES: usize = 20;

/// Releases, logs and counts connections that are reserved for calls that never began, until the process
/// ends.
///
/// Such a reservation is a fault of this program. It would take a part of an upstream's limit from all
/// later calls, and in a process that has just started all of it.
pub(crate) async fn release_lost_reservations(edge: Arc<EdgeState>) {
    let mut ticks = edge.timer.subscribe(RESERVATION_CHECK_PERIOD);
    loop {
        let now = ticks.next().await;
        let mut lost = Vec::new();
        edge.for_each_balancer(|it| {
            lost.extend(it.release_lost_reservations(now, MAX_UNUSED_RESERVATION));
        });
        edge.metrics.lost_reservations.inc_by(u64::try_from(lost.len()).unwrap_or(u64::MAX));
        for it in lost.iter().take(MAX_LOG_LINES) {
            warn!(edge.logger, "upstream: connection reserved without a call; released";
                "instance" => it.instance.as_str(), "upstream" => it.upstream.to_string(),
                "active" => it.is_active, "age_ms" => it.age.as_millis() as u64,
                "reserved" => it.reserved, "max_connections" => it.max_connections,
                "suppressed_lines" => lost.len().saturating_sub(MAX_LOG_LINES));
        }
    }
}
