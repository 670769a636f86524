//! The planned stop of a node.

use std::{sync::Arc, time::Duration};

use slog::info;

use crate::Node;

const GOSSIP_MARGIN: Duration = Duration::from_secs(3); // Time for gossip to reach every node.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Minimum time in the rejecting phase, so that late requests receive a reply.
const REJECTING_TIME: Duration = Duration::from_millis(500);
const DEPART_TIME: Duration = Duration::from_millis(200);

/// Stops the node; returns when its listeners can be closed, or never if a stop has already begun.
///
/// The node is no longer advertised to callers from the start on. It admits queries until all
/// earlier address answers have expired, except those that it cannot expect to complete, then rejects new
/// ones as not run, and waits for those in flight up to the drain limit. Queries that are still in flight
/// then are answered as interrupted.
pub(crate) async fn stop_node(node: Arc<Node>) {
    let leaving_time = node.max_address_lifetime() + GOSSIP_MARGIN;
    let drain_limit = Duration::from_millis(node.settings().timing.drain_limit_ms);
    let limit = leaving_time + REJECTING_TIME + drain_limit;
    if !node.stop_state().begin(node.timer().now(), limit) {
        return std::future::pending().await;
    }
    info!(node.logger(), "stop: leaving; queries are still admitted");
    node.gossip().announce_leaving();
    node.timer().sleep(leaving_time).await;
    node.stop_state().reject_queries();
    info!(node.logger(), "stop: new queries are rejected"; "in_flight" => node.queries_in_flight());
    node.timer().sleep(REJECTING_TIME).await;
    wait_for_queries(&node).await;
    node.gossip().announce_departure();
    node.timer().sleep(DEPART_TIME).await;
    info!(node.logger(), "stop: left the membership; closing listeners";
        "in_flight" => node.queries_in_flight());
}

async fn wait_for_queries(node: &Node) {
    let interruption = node.stop_state().schedule();
    let end = interruption.map_or(node.timer().now(), |it| it.answer_by);
    while 0 < node.queries_in_flight() && node.timer().now() < end {
        node.timer().sleep(CHECK_PERIOD).await;
    }
}
