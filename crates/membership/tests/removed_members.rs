//! Members that were removed, simulated on a virtual clock.

#[path = "support/gossip_net.rs"]
mod gossip_net;

use std::time::Duration;

use googletest::prelude::*;
use gossip_net::{GossipNet, identity};
use mux_membership::{GossipEvent, GossipSettings};
use mux_model::TimePoint;

/// Returns the nodes that took back `member`, which they had removed after `since`.
fn taken_back(net: &GossipNet, since: TimePoint, member: usize) -> Vec<usize> {
    let is_about = |it: &GossipEvent| match it {
        GossipEvent::MemberUp { member: other } | GossipEvent::MemberChanged { member: other } => {
            *other.node() == identity(member).node
        }
        _ => false,
    };
    let is_removal = |it: &GossipEvent| match it {
        GossipEvent::MemberDown { member: other } => *other.node() == identity(member).node,
        _ => false,
    };
    let observers = net.nodes.iter().enumerate().filter(|(_, node)| {
        let mut events = node.events.iter().filter(|(at, _)| since < *at).map(|(_, it)| it);
        events.any(is_removal) && events.any(is_about)
    });
    observers.map(|(idx, _)| idx).collect()
}

/// Before it is killed, a node refutes a false suspicion, and the refutation reaches only some of
/// the others. Those that have removed the node must not take it back when they hear of the
/// refutation from the others, as callers would be directed to it again.
#[gtest]
fn removed_node_is_not_taken_back_from_a_member_that_still_has_it() {
    for seed in 0..300 {
        let mut net = GossipNet::start(4, seed, GossipSettings::new("test"));
        let end = net.now + Duration::from_secs(60);
        assert!(net.run_until(end, GossipNet::converged), "the nodes did not converge within 60 s");
        net.loss = 0.35;
        net.run(Duration::from_secs(20));
        let killed_at = net.now;

        net.nodes[3].running = false;
        net.run(Duration::from_secs(40));

        expect_that!(taken_back(&net, killed_at, 3), is_empty(), "seed {seed}");
    }
}
