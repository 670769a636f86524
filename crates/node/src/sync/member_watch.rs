//! Handles gossip events.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mux_config::UpdateOutcome;
use mux_membership::{GossipEvent, MemberRecord};
use mux_model::{RevisionNumber, TimePoint};
use slog::{info, warn};
use tokio::sync::mpsc;

use super::failed_members::FailedMembers;
use crate::{Node, node::CUT_LOAD};

const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Handles gossip events for as long as the node runs.
pub(crate) async fn watch_members(node: Arc<Node>, mut events: mpsc::Receiver<GossipEvent>) {
    let mut failed = FailedMembers::default();
    let mut ticks = node.timer().subscribe(CHECK_PERIOD);
    let mut pauses = node.timer().subscribe_pauses();
    loop {
        tokio::select! {
            Some(event) = events.recv() => handle_event(&node, &mut failed, event),
            now = ticks.next() => update_from_members(&node, &mut failed, now),
            Ok(()) = pauses.changed() => {
                warn!(
                    node.logger(),
                    "node: process was paused; rejecting queries until configuration and members \
                     are verified"
                );
                node.detect_pauses();
            }
        }
    }
}

/// Updates the inputs of the admission decision from the member table, and the advertised load.
fn update_from_members(node: &Node, failed: &mut FailedMembers, now: TimePoint) {
    let members = node.gossip().members();
    let others = members.members.iter().filter(|it| it.node() != node.name());
    let revision = others.clone().map(|it| it.revision).max().unwrap_or_default();
    node.on_other_nodes(others.count() + failed.count(now));
    if members.verified {
        node.on_peer_contact(members.last_contact, revision);
    }
    let load = match node.is_cut() {
        true => CUT_LOAD,
        false => u16::try_from(node.queries_in_flight()).unwrap_or(u16::MAX).min(CUT_LOAD - 1),
    };
    node.gossip().set_load(load);
}

fn handle_event(node: &Arc<Node>, failed: &mut FailedMembers, event: GossipEvent) {
    match event {
        GossipEvent::MemberUp { member } | GossipEvent::MemberChanged { member } => {
            failed.on_updated(&member);
            log_member(node, &member);
            node.on_members_changed();
        }
        GossipEvent::MemberDown { member } => {
            failed.on_removed(node.timer().now(), &member);
            log_member(node, &member);
            node.on_members_changed();
        }
        GossipEvent::PeerAhead { peer, revision, .. }
        | GossipEvent::RevisionAnnounced { peer, revision, .. } => {
            tokio::spawn(pull_config(Arc::clone(node), peer, revision));
        }
        GossipEvent::RevisionAcked { .. } => {}
        GossipEvent::UpstreamDrainChanged { drain_state } => {
            node.apply_upstream_draining(drain_state.upstream, drain_state.draining);
        }
        GossipEvent::NameConflict { other } => {
            warn!(node.logger(), "gossip: another process uses this node's name";
                "peer" => other.identity.peer.to_string());
        }
    }
}

/// Reads the configuration from a peer that has a higher revision.
async fn pull_config(node: Arc<Node>, peer: SocketAddr, revision: RevisionNumber) {
    if revision <= node.revision() {
        return;
    }
    let Ok(update) = node.peers().read_config(peer, node.revision()).await else {
        return;
    };
    if node.apply_config_update(&update) != UpdateOutcome::FullUpdateRequired {
        return;
    }
    if let Ok(full) = node.peers().read_config(peer, RevisionNumber::default()).await {
        node.apply_config_update(&full);
    }
}

fn log_member(node: &Node, member: &MemberRecord) {
    info!(node.logger(), "gossip: member changed";
        "member" => member.node().to_string(), "state" => format!("{:?}", member.state));
}
