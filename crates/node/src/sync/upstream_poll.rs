//! Polls the status of upstreams whose state is not known from recent replies.

use std::{sync::Arc, time::Duration};

use mux_model::{FastMap, TimePoint, UpstreamId};

use crate::{Node, dispatch::ServiceRuntime};

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const OUTDATED_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Polls the status of upstreams for as long as the node runs.
///
/// An upstream that replied recently is not polled, unless a reply has shown that its snapshots
/// changed: at full load, the replies carry the same information and no polls are needed.
pub(crate) async fn poll_upstreams(node: Arc<Node>) {
    let mut ticks = node.timer().subscribe(CHECK_PERIOD);
    let mut last_polls: FastMap<UpstreamId, TimePoint> = FastMap::default();
    loop {
        let now = ticks.next().await;
        let services = node.registry().all();
        for service in services.iter().filter(|it| it.is_home()) {
            for upstream in due_upstreams(&node, service, &last_polls, now) {
                last_polls.insert(upstream, now);
                tokio::spawn(poll_status(Arc::clone(&node), Arc::clone(service), upstream));
            }
        }
    }
}

fn due_upstreams(
    node: &Node,
    service: &ServiceRuntime,
    last_polls: &FastMap<UpstreamId, TimePoint>,
    now: TimePoint,
) -> Vec<UpstreamId> {
    let period = Duration::from_millis(node.settings().timing.upstream_status_ms);
    let polled_within = |upstream: &UpstreamId, period: Duration| {
        last_polls.get(upstream).is_some_and(|at| now.since(*at) < period)
    };
    let outdated = service.outdated_upstreams();
    let upstreams = service.definition().upstreams.iter().map(|it| it.address);
    upstreams
        .filter(|it| {
            if outdated.contains(it) {
                return !polled_within(it, OUTDATED_POLL_PERIOD);
            }
            let idle = service.reply_age(now, *it).is_none_or(|age| period <= age);
            idle && !polled_within(it, period)
        })
        .collect()
}

async fn poll_status(node: Arc<Node>, service: Arc<ServiceRuntime>, upstream: UpstreamId) {
    let Ok(status) = node.pool().status(upstream).await else {
        service.record_status_failure(upstream);
        return;
    };
    let now = node.timer().now();
    if let Some(draining) = service.record_status(now, upstream, &status) {
        node.set_upstream_draining(upstream, draining);
    }
}
