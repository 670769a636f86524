//! Asks upstreams for their status where replies do not already tell it.

use std::{sync::Arc, time::Duration};

use mux_model::{FastMap, TimePoint, UpstreamId};

use crate::{Node, dispatch::ServiceRuntime};

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const STALE_PERIOD: Duration = Duration::from_millis(100);

/// Polls the status of upstreams for as long as the node lives.
///
/// An upstream whose replies are recent is not asked, unless a reply has shown that its snapshots
/// changed: at full load the replies carry everything and polls cost nothing.
pub(crate) async fn poll_upstreams(node: Arc<Node>) {
    let mut ticks = node.timer().subscribe(CHECK_PERIOD);
    let mut asked: FastMap<UpstreamId, TimePoint> = FastMap::default();
    loop {
        let now = ticks.next().await;
        let services = node.registry().all();
        for service in services.iter().filter(|it| it.is_home()) {
            for upstream in due_upstreams(&node, service, &asked, now) {
                asked.insert(upstream, now);
                tokio::spawn(ask_status(Arc::clone(&node), Arc::clone(service), upstream));
            }
        }
    }
}

fn due_upstreams(
    node: &Node,
    service: &ServiceRuntime,
    asked: &FastMap<UpstreamId, TimePoint>,
    now: TimePoint,
) -> Vec<UpstreamId> {
    let period = Duration::from_millis(node.settings().timing.upstream_status_ms);
    let asked_before = |upstream: &UpstreamId, period: Duration| {
        asked.get(upstream).is_some_and(|at| now.since(*at) < period)
    };
    let stale = service.stale_sources();
    let upstreams = service.definition().upstreams.iter().map(|it| it.address);
    upstreams
        .filter(|it| {
            if stale.contains(it) {
                return !asked_before(it, STALE_PERIOD);
            }
            let quiet = service.reply_age(now, *it).is_none_or(|age| period <= age);
            quiet && !asked_before(it, period)
        })
        .collect()
}

async fn ask_status(node: Arc<Node>, service: Arc<ServiceRuntime>, upstream: UpstreamId) {
    let Ok(status) = node.pool().status(upstream).await else {
        service.observe_unreachable(upstream);
        return;
    };
    let now = node.timer().now();
    if let Some(draining) = service.observe_status(now, upstream, &status) {
        node.note_draining(upstream, draining);
    }
}
