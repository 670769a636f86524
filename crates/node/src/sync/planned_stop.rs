//! The planned stop of a node.

use std::{sync::Arc, time::Duration};

use slog::info;

use crate::{Node, node::StopPhase};

const GOSSIP_MARGIN: Duration = Duration::from_secs(3); // News of the stop reaches every node.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
const REFUSING_TIME: Duration = Duration::from_millis(500); // Late callers get a clean refusal.
const DEPART_TIME: Duration = Duration::from_millis(200);

/// Takes the node out of use without cutting a query; returns when the process may end.
///
/// The node leaves new address answers at once, serves until the answers given out have expired
/// and its queries are done, and refuses as not run what still comes.
pub(crate) async fn stop_node(node: Arc<Node>) {
    if !node.stop().advance(StopPhase::Leaving) {
        return std::future::pending().await;
    }
    info!(node.logger(), "stop: leaving, still serves");
    node.gossip().leave();
    node.timer().sleep(node.longest_address_lifetime() + GOSSIP_MARGIN).await;
    node.stop().advance(StopPhase::Refusing);
    info!(node.logger(), "stop: refuses new queries"; "in_flight" => node.queries_in_flight());
    node.timer().sleep(REFUSING_TIME).await;
    wait_for_queries(&node).await;
    node.gossip().depart();
    node.timer().sleep(DEPART_TIME).await;
    info!(node.logger(), "stop: done"; "in_flight" => node.queries_in_flight());
}

async fn wait_for_queries(node: &Node) {
    let limit = Duration::from_millis(node.settings().timing.drain_limit_ms);
    let end = node.timer().now() + limit;
    while 0 < node.queries_in_flight() && node.timer().now() < end {
        node.timer().sleep(CHECK_PERIOD).await;
    }
}
