//! Acts on what gossip hears.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mux_config::UpdateOutcome;
use mux_membership::{GossipEvent, MemberRecord};
use mux_model::{RevisionNumber, TimePoint};
use slog::{info, warn};
use tokio::sync::mpsc;

use super::lost_members::LostMembers;
use crate::Node;

const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Acts on gossip for as long as the node lives.
pub(crate) async fn watch_members(node: Arc<Node>, mut events: mpsc::Receiver<GossipEvent>) {
    let mut lost = LostMembers::default();
    let mut ticks = node.timer().subscribe(CHECK_PERIOD);
    let mut pauses = node.timer().subscribe_pauses();
    loop {
        tokio::select! {
            Some(event) = events.recv() => handle_event(&node, &mut lost, event),
            now = ticks.next() => report_contacts(&node, &mut lost, now),
            Ok(()) = pauses.changed() => {
                warn!(node.logger(), "node: was paused, verifies before it admits");
                node.notice_pauses();
            }
        }
    }
}

/// Feeds what the members say into the decision whether to admit.
fn report_contacts(node: &Node, lost: &mut LostMembers, now: TimePoint) {
    let members = node.gossip().members();
    let others = members.members.iter().filter(|it| it.node() != node.name());
    let revision = others.clone().map(|it| it.revision).max().unwrap_or_default();
    node.on_other_nodes(others.count() + lost.count(now));
    if members.verified {
        node.on_peer_contact(members.last_contact, revision);
    }
    let load = u16::try_from(node.queries_in_flight()).unwrap_or(u16::MAX);
    node.gossip().set_load(load);
}

fn handle_event(node: &Arc<Node>, lost: &mut LostMembers, event: GossipEvent) {
    match event {
        GossipEvent::MemberUp { member } | GossipEvent::MemberChanged { member } => {
            lost.on_present(&member);
            log_member(node, &member);
            node.on_members_changed();
        }
        GossipEvent::MemberDown { member } => {
            lost.on_removed(node.timer().now(), &member);
            log_member(node, &member);
            node.on_members_changed();
        }
        GossipEvent::PeerAhead { peer, revision, .. }
        | GossipEvent::RevisionAnnounced { peer, revision, .. } => {
            tokio::spawn(pull_config(Arc::clone(node), peer, revision));
        }
        GossipEvent::RevisionAcked { .. } => {}
        GossipEvent::UpstreamDrainChanged { drain_state } => {
            node.observe_draining(drain_state.upstream, drain_state.draining);
        }
        GossipEvent::NameConflict { other } => {
            warn!(node.logger(), "gossip: another process has this node's name";
                "peer" => other.identity.peer.to_string());
        }
    }
}

/// Pulls the configuration from a peer that has a higher revision.
async fn pull_config(node: Arc<Node>, peer: SocketAddr, revision: RevisionNumber) {
    if revision <= node.revision() {
        return;
    }
    let Ok(update) = node.peers().read_config(peer, node.revision()).await else {
        return;
    };
    if node.offer_config(&update) != UpdateOutcome::FullUpdateRequired {
        return;
    }
    if let Ok(whole) = node.peers().read_config(peer, RevisionNumber::default()).await {
        node.offer_config(&whole);
    }
}

fn log_member(node: &Node, member: &MemberRecord) {
    info!(node.logger(), "gossip: member changed";
        "member" => member.node().to_string(), "state" => format!("{:?}", member.state));
}
