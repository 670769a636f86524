//! Logs which upstreams are cold, and how this node uses the bounds on calls to them.

use std::{sync::Arc, time::Duration};

use mux_routing::balancer::WarmUpReport;
use slog::info;

use crate::edge_state::EdgeState;

/// Period of the checks for warm-ups that have begun or ended.
const WARM_UP_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Logs the begin and the end of warm-ups until the process ends.
pub(crate) async fn log_warm_ups(edge: Arc<EdgeState>) {
    let mut ticks = edge.timer.subscribe(WARM_UP_CHECK_PERIOD);
    loop {
        let now = ticks.next().await;
        edge.for_each_balancer(|balancer| {
            for report in balancer.take_warm_up_changes(now) {
                log_change(&edge, &report);
            }
        });
    }
}

fn log_change(edge: &EdgeState, report: &WarmUpReport) {
    let Some(suppressed) = edge.request_log.allow(edge.timer.now()) else {
        return;
    };
    let change = if report.is_cold { "started" } else { "ended" };
    info!(edge.logger, "upstream: warm-up"; "instance" => report.instance.as_str(),
        "change" => change, "per_s" => report.rate_per_s, "share" => report.share,
        "calls" => report.calls, "held_back" => report.held_back,
        "age_ms" => report.age.as_millis() as u64,
        "left_ms" => report.time_left.as_millis() as u64, "suppressed_lines" => suppressed);
}
