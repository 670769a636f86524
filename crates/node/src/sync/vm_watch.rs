//! Reads the platform's list of VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mux_logs::LogThrottle;
use mux_model::{FastSet, UpstreamId};
use mux_store::{KvStore, StoreError, VmEntry, VmList, VmState};
use slog::warn;

use crate::Node;

const WATCHER_PERIOD: Duration = Duration::from_secs(1);
const NO_PEERS_PERIOD: Duration = Duration::from_secs(2);
const LOG_PERIOD: Duration = Duration::from_secs(30);
const LOG_LINES: u32 = 2;
const NODE_ROLE: &str = "node";
const UPSTREAM_ROLE: &str = "upstream";

/// Joins the nodes in the list to the membership. Stops calls to upstreams whose VMs are leaving,
/// and resumes them when the VM is live again.
///
/// Because the list can be outdated, no member is removed when it is missing from the list. Only
/// watchers and nodes without known peers read it.
pub(crate) async fn watch_vms(node: Arc<Node>) {
    node.gossip().join(&node.settings().seeds);
    let mut leaving = FastSet::default();
    let throttle = LogThrottle::new(LOG_LINES, LOG_PERIOD);
    loop {
        let has_no_peers = node.gossip().members().members.len() <= 1;
        if has_no_peers || node.watches_store() {
            read_list(&node, &throttle, &mut leaving).await;
        }
        let period = if has_no_peers { NO_PEERS_PERIOD } else { WATCHER_PERIOD };
        node.timer().sleep(period).await;
    }
}

async fn read_list(node: &Node, throttle: &LogThrottle, leaving: &mut FastSet<UpstreamId>) {
    let list = match node.store().list_vms().await {
        Ok(list) => list,
        Err(error) => {
            // That the store does not answer is reported with the configuration.
            if matches!(error, StoreError::Unreadable(_)) {
                log_malformed(node, throttle, &error.to_string());
            }
            return;
        }
    };
    if 0 < list.skipped {
        log_malformed(node, throttle, &format!("{} malformed entries skipped", list.skipped));
    }
    let seeds = node_seeds(&list, node.settings().listen.peer);
    if !seeds.is_empty() {
        let all: Vec<_> = seeds.into_iter().chain(node.settings().seeds.iter().copied()).collect();
        node.gossip().join(&all);
    }
    for upstream in upstreams_in(&list, VmState::Live) {
        if leaving.remove(&upstream) {
            node.set_upstream_draining(upstream, false);
        }
    }
    for upstream in upstreams_in(&list, VmState::Leaving) {
        leaving.insert(upstream);
        node.set_upstream_draining(upstream, true);
    }
}

fn log_malformed(node: &Node, throttle: &LogThrottle, reason: &str) {
    if let Some(suppressed) = throttle.allow(node.timer().now()) {
        warn!(node.logger(), "vms: malformed list of VMs"; "reason" => reason,
            "suppressed_lines" => suppressed);
    }
}

fn node_seeds(list: &VmList, own: SocketAddr) -> Vec<SocketAddr> {
    let nodes = list.vms.iter().filter(|it| it.role == NODE_ROLE);
    nodes.filter_map(first_address).filter(|it| *it != own).collect()
}

fn upstreams_in(list: &VmList, state: VmState) -> impl Iterator<Item = UpstreamId> {
    list.vms
        .iter()
        .filter(move |it| it.role == UPSTREAM_ROLE && it.state == state)
        .flat_map(|vm| vm.ports.iter().map(|port| UpstreamId(SocketAddr::new(vm.ip, *port))))
}

fn first_address(vm: &VmEntry) -> Option<SocketAddr> {
    let port = vm.ports.first()?;
    Some(SocketAddr::new(vm.ip, *port))
}
