//! The planned stop of a node.

use std::{sync::Arc, time::Duration};

use slog::info;

use crate::{Node, node::StopPhase};

const GOSSIP_MARGIN: Duration = Duration::from_secs(3); // Time for gossip to reach every node.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Minimum time in the rejecting phase, so that late requests receive a reply.
const REJECTING_TIME: Duration = Duration::from_millis(500);
const DEPART_TIME: Duration = Duration::from_millis(200);

/// Stops the node; returns when its listeners can be closed, or never if a stop has already begun.
///
/// The node is no longer advertised to callers from the start on. It admits queries until all
/// earlier address answers have expired, then rejects new ones as not run, and waits for those in
/// flight up to the drain limit. Queries that are still in flight then can be interrupted.
pub(crate) async fn stop_node(node: Arc<Node>) {
    if !node.stop_state().advance(StopPhase::Leaving) {
        return std::future::pending().await;
    }
    info!(node.logger(), "stop: leaving; queries are still admitted");
    node.gossip().announce_leaving();
    node.timer().sleep(node.max_address_lifetime() + GOSSIP_MARGIN).await;
    node.stop_state().advance(StopPhase::Rejecting);
    info!(node.logger(), "stop: new queries are rejected"; "in_flight" => node.queries_in_flight());
    node.timer().sleep(REJECTING_TIME).await;
    wait_for_queries(&node).await;
    node.gossip().announce_departure();
    node.timer().sleep(DEPART_TIME).await;
    info!(node.logger(), "stop: left the membership; closing listeners";
        "in_flight" => node.queries_in_flight());
}

async fn wait_for_queries(node: &Node) {
    let limit = Duration::from_millis(node.settings().timing.drain_limit_ms);
    let end = node.timer().now() + limit;
    while 0 < node.queries_in_flight() && node.timer().now() < end {
        node.timer().sleep(CHECK_PERIOD).await;
    }
}
