//! Asks other nodes for the grants that this one misses.

use std::{sync::Arc, time::Duration};

use mux_model::NodeId;
use mux_placement::RelayPeer;
use mux_sharing::{BorrowCall, BoundKey};
use rand::seq::SliceRandom;
use slog::info;

use super::bound_owners::{add_borrowed, grant_request, total};
use crate::{edge_metrics::BoundLabel, edge_state::EdgeState};

/// Time limit of a call to a peer, the setup of a connection included.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);
/// Period of the checks for missing grants while upstreams have bounds.
const CHECK_PERIOD: Duration = Duration::from_millis(20);
/// Period of the checks while no upstream has a bound.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Asks peers for `wanted` grants of a bound for at most `limit`, adds what they lend to the bound, and
/// returns its number. Requests that miss grants of one bound at the same time share the search, so
/// that each of them has to look for a grant afterwards.
///
/// Returns 0 at once while a pause follows a search without a grant.
pub(crate) async fn borrow_grants(
    edge: &EdgeState,
    key: &BoundKey,
    wanted: u32,
    limit: Duration,
) -> u32 {
    let mut progress = edge.sharing.progress.subscribe();
    let before = edge.sharing.planner().on_shortage(edge.timer.now(), key, wanted);
    if !before.is_asking {
        return 0;
    }
    edge.sharing.wakeup.notify_one();
    let search = async {
        loop {
            // The sender is part of the node's state, which outlives this call.
            let _ = progress.changed().await;
            let current = edge.sharing.planner().progress(edge.timer.now(), key);
            let received = current.received.saturating_sub(before.received);
            if 0 < received || !current.is_asking {
                return u32::try_from(received).unwrap_or(u32::MAX);
            }
        }
    };
    // What arrives later is added to the bound all the same.
    edge.timer.timeout(limit, search).await.unwrap_or_default()
}

/// Asks peers for missing grants until the process ends.
pub(crate) async fn maintain_borrowing(edge: Arc<EdgeState>) {
    let mut period = IDLE_CHECK_PERIOD;
    loop {
        tokio::select! {
            () = edge.timer.sleep(period) => {}
            () = edge.sharing.wakeup.notified() => {}
        }
        period = if record_shortages(&edge) { CHECK_PERIOD } else { IDLE_CHECK_PERIOD };
        start_calls(&edge);
    }
}

/// Records the calls to upstreams that found no grant; returns whether any upstream has a bound.
fn record_shortages(edge: &EdgeState) -> bool {
    let now = edge.timer.now();
    let mut has_bounds = false;
    let mut missing = Vec::new();
    edge.for_each_balancer(|it| {
        has_bounds |= it.has_shared_bounds(now);
        missing.extend(it.take_missing_grants());
    });
    let mut planner = edge.sharing.planner();
    for (key, count) in missing {
        planner.on_shortage(now, &key, count);
    }
    has_bounds
}

fn start_calls(edge: &Arc<EdgeState>) {
    let mut lenders = edge.sharing.lenders().to_vec();
    lenders.shuffle(&mut rand::rng());
    let names: Vec<NodeId> = lenders.iter().map(|it| it.node.clone()).collect();
    let calls = edge.sharing.planner().plan_calls(edge.timer.now(), &names);
    for call in calls {
        if let Some(peer) = lenders.iter().find(|it| it.node == call.peer) {
            tokio::spawn(run_call(Arc::clone(edge), peer.clone(), call));
        }
    }
    edge.sharing.progress.send_replace(());
}

async fn run_call(edge: Arc<EdgeState>, peer: RelayPeer, call: BorrowCall<BoundKey>) {
    for (key, count) in &call.wanted {
        let label = BoundLabel { kind: key.kind() };
        edge.metrics.grants_asked.get_or_create(&label).inc_by(u64::from(*count));
    }
    let requests = call.wanted.iter().map(|(key, count)| grant_request(&edge, key, *count));
    let requests = requests.collect();
    let links = &edge.sharing.links;
    let result = Box::pin(links.borrow_grants(&edge.timer, &peer, requests, BORROW_TIMEOUT)).await;
    let now = edge.timer.now();
    let (received, failure) = match result {
        Ok(lent) => {
            let mut planner = edge.sharing.planner();
            let received = planner.on_reply(now, &call, &lent);
            // The planner shows waiting requests that there are grants, so these are added before it
            // is unlocked.
            received.iter().for_each(|(key, count)| add_borrowed(&edge, key, *count));
            (received, None)
        }
        Err(error) => {
            edge.sharing.planner().on_no_reply(now, &call);
            (Vec::new(), Some(error.to_string()))
        }
    };
    edge.sharing.wakeup.notify_one();
    let has_result = failure.is_some() || !received.is_empty();
    if let Some(suppressed) = has_result.then(|| edge.sharing.log.allow(now)).flatten() {
        info!(edge.logger, "sharing: grants borrowed"; "peer" => peer.node.as_str(),
            "bounds" => call.wanted.len(), "wanted" => total(call.wanted.iter().map(|(_, it)| *it)),
            "received" => total(received.iter().map(|(_, it)| *it)),
            "ms" => now.since(call.planned_at).as_millis() as u64,
            "failure" => failure.unwrap_or_default(), "suppressed_lines" => suppressed);
    }
}
