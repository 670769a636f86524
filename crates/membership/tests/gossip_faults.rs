//! Membership under faults, simulated on a virtual clock.

#[path = "support/gossip_net.rs"]
mod gossip_net;

use std::time::Duration;

use googletest::prelude::*;
use gossip_net::{GossipNet, identity};
use mux_membership::{GossipEvent, GossipMachine, GossipSettings, MemberState};
use mux_model::{RevisionNumber, TimePoint, UpstreamId};

const SEED: u64 = 11;
/// Time limit for a revision to be applied by all members, and for an isolated node to clear its
/// suspicions after the network heals.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
/// Time limit for all members to receive a drain state, or the departure of a member.
const STATE_CHANGE_LIMIT: Duration = Duration::from_secs(3);
const CONTROL_TRAFFIC_LIMIT_BYTES_PER_SECOND: u64 = 3_000;
const DATAGRAM_LIMIT_BYTES: usize = 1_200;
/// Grace period after a partition heals: until the sides have made contact, a suspicion raised
/// during the partition may still time out.
const REMOVAL_GRACE: Duration = Duration::from_secs(2);
const HEADER_BYTES: u64 = 28;

/// Returns a network that has converged without loss and then run for 20 s with `loss`.
fn converged_net(count: usize, loss: f64) -> GossipNet {
    converged_net_with_seed(SEED, count, loss)
}

fn converged_net_with_seed(seed: u64, count: usize, loss: f64) -> GossipNet {
    let mut net = GossipNet::start(count, seed, GossipSettings::new("test"));
    let end = net.now + Duration::from_secs(60);
    assert!(net.run_until(end, GossipNet::converged), "the nodes did not converge within 60 s");
    net.loss = loss;
    net.run(Duration::from_secs(20));
    net
}

/// Returns the removals after `since` as pairs of observer and removed member.
fn removals(net: &GossipNet, since: TimePoint) -> Vec<(usize, String)> {
    let mut removals = Vec::new();
    for (idx, node) in net.nodes.iter().enumerate() {
        for (at, event) in &node.events {
            if let (true, GossipEvent::MemberDown { member }) = (since < *at, event) {
                removals.push((idx, member.node().to_string()));
            }
        }
    }
    removals
}

fn observed_state(net: &mut GossipNet, observer: usize, member: usize) -> Option<MemberState> {
    net.view(observer).get(&identity(member).node).map(|it| it.state)
}

fn partition_zone(net: &mut GossipNet, zone: usize) {
    for idx in 0..net.nodes.len() {
        net.nodes[idx].group = u8::from(idx % 3 == zone);
    }
}

fn heal(net: &mut GossipNet) {
    for node in &mut net.nodes {
        node.group = 0;
    }
}

#[gtest]
fn killed_node_is_the_only_one_removed_by_all_members() {
    for (count, loss) in [(3, 0.0), (7, 0.0), (7, 0.05), (30, 0.05)] {
        let mut net = converged_net(count, loss);
        let killed_at = net.now;

        net.nodes[1].running = false;
        let removed = net.run_until(killed_at + Duration::from_secs(30), GossipNet::converged);

        let others = removals(&net, killed_at).into_iter().filter(|(_, it)| it != "node-001");
        expect_that!(removed, eq(true), "{count} nodes, loss {loss}");
        expect_that!(others.count(), eq(0), "{count} nodes, loss {loss}");
    }
}

#[gtest]
fn paused_node_removes_no_member_and_rejoins_with_a_higher_incarnation() {
    for count in [3, 7, 15] {
        let mut net = converged_net(count, 0.0);
        net.nodes[2].paused = true;
        net.run(Duration::from_secs(40));
        expect_that!(observed_state(&mut net, 0, 2), none(), "{count} nodes");
        let resumed_at = net.now;

        net.resume(2);
        net.run(Duration::from_secs(1));
        let rejoined = net.run_until(resumed_at + Duration::from_secs(30), GossipNet::converged);

        let record = net.view(0).get(&identity(2).node).cloned().unwrap();
        expect_that!(rejoined, eq(true), "{count} nodes");
        expect_that!(record.run, lt(record.incarnation), "{count} nodes");
        expect_that!(removals(&net, resumed_at), is_empty(), "{count} nodes");
    }
}

#[gtest]
fn view_is_unverified_after_a_pause_until_a_member_answers() {
    let mut net = converged_net(7, 0.0);
    net.nodes[0].paused = true;
    net.run(Duration::from_secs(5));

    net.resume(0);
    net.run(Duration::ZERO);
    let on_resume = net.view(0).verified;
    net.run(Duration::from_secs(1));

    expect_that!(on_resume, eq(false));
    expect_that!(net.view(0).verified, eq(true));
}

#[gtest]
fn suspicion_timeout_excludes_the_observers_own_pause() {
    let observers = [0, 2, 4, 6, 8, 10];
    let cases = [SEED, SEED + 1, SEED + 2].map(|seed| observers.map(|it| (seed, it)));
    for (seed, observer) in cases.into_iter().flatten() {
        let mut net = converged_net_with_seed(seed, 30, 0.0);
        net.nodes[5].group = 1;
        let suspected = net.run_until(net.now + Duration::from_secs(10), |net| {
            observed_state(net, observer, 5) == Some(MemberState::Suspect)
        });
        net.nodes[observer].paused = true;
        heal(&mut net);
        net.run(Duration::from_secs(20));
        let resumed_at = net.now;
        net.drop_deferred_except_ticks(observer);

        net.loss = 0.4;
        net.resume(observer);
        net.run(Duration::from_secs(20));

        // With this loss, other members remove one another by chance; the pause concerns only the
        // removals by the observer.
        let mut by_observer = removals(&net, resumed_at - Duration::from_millis(1));
        by_observer.retain(|(idx, _)| *idx == observer);
        expect_that!(suspected, eq(true), "seed {seed}, observer {observer}");
        expect_that!(by_observer, is_empty(), "seed {seed}, observer {observer}");
    }
}

#[gtest]
fn healed_partition_merges_without_further_removals() {
    let no_grace = Duration::ZERO;
    let cases =
        [(7, 30, no_grace), (9, 120, no_grace), (30, 40, no_grace), (30, 14, REMOVAL_GRACE)];
    for (count, partition_seconds, grace) in cases {
        let mut net = converged_net(count, 0.0);
        for idx in 0..count {
            net.step(idx, |machine, now, actions| machine.join(now, &[], actions));
        }
        partition_zone(&mut net, 1);
        net.run(Duration::from_secs(partition_seconds));
        let healed_at = net.now;

        heal(&mut net);
        let converged = net.run_until(healed_at + Duration::from_secs(60), GossipNet::converged);
        let took = net.now.since(healed_at);
        net.run(Duration::from_secs(60));

        println!("{count} nodes, partitioned for {partition_seconds} s: converged after {took:?}");
        let later_removals = removals(&net, healed_at + grace);
        expect_that!(converged, eq(true), "{count} nodes, partitioned for {partition_seconds} s");
        expect_that!(later_removals, is_empty(), "{count} nodes, {partition_seconds} s");
    }
}

#[gtest]
fn isolated_node_removes_no_member_and_soon_clears_its_suspicions() {
    let mut net = converged_net(60, 0.0);
    net.nodes[0].group = 1;
    let isolated_at = net.now;

    net.run(Duration::from_secs(40));
    heal(&mut net);
    let all_alive = net.run_until(net.now + IN_FORCE_LIMIT, |net| {
        net.view(0).in_state(MemberState::Alive).count() == 60
    });
    let converged = net.run_until(net.now + Duration::from_secs(30), GossipNet::converged);

    let by_isolated_node = removals(&net, isolated_at).into_iter().filter(|(it, _)| *it == 0);
    expect_that!(by_isolated_node.count(), eq(0));
    expect_that!(all_alive, eq(true));
    expect_that!(converged, eq(true));
}

#[gtest]
fn packet_loss_removes_no_live_member() {
    for loss in [0.02, 0.1, 0.2] {
        let mut net = converged_net(15, 0.0);
        net.loss = loss;
        let since = net.now;

        net.run(Duration::from_secs(300));

        expect_that!(removals(&net, since), is_empty(), "loss {loss}");
    }
}

#[gtest]
fn broken_link_between_two_nodes_raises_no_suspicion() {
    let mut net = converged_net(7, 0.0);
    net.broken_links = vec![(0, 1), (1, 0)];
    let since = net.now;

    net.run(Duration::from_secs(60));

    let changes =
        net.nodes.iter().flat_map(|it| &it.events).filter(|(at, event)| {
            since < *at && matches!(event, GossipEvent::MemberChanged { .. })
        });
    expect_that!(changes.count(), eq(0));
}

#[gtest]
fn restarted_node_replaces_its_previous_run() {
    for downtime in [Duration::from_millis(200), Duration::from_secs(30)] {
        let mut net = converged_net(7, 0.0);
        net.pull_revisions = false;
        let previous = net.view(0).get(&identity(3).node).cloned().unwrap();
        net.step(3, |machine, now, actions| machine.set_revision(now, RevisionNumber(9), actions));
        net.nodes[3].running = false;
        net.run(downtime);

        net.restart(3);
        let replaced = net.run_until(net.now + Duration::from_secs(10), |net| {
            let views: Vec<_> = (0..7).map(|it| net.view(it)).collect();
            let records = views.iter().filter_map(|it| it.get(&identity(3).node));
            let current = records.filter(|it| previous.run < it.run && it.is_available());
            current.filter(|it| it.revision == RevisionNumber(0)).count() == 7
        });

        expect_that!(replaced, eq(true), "down for {downtime:?}");
    }
}

#[gtest]
fn leaving_node_is_listed_as_leaving_and_is_removed_soon_after_its_departure() {
    let mut net = converged_net(15, 0.0);
    net.step(4, GossipMachine::announce_leaving);
    net.run(Duration::from_secs(2));
    let states: Vec<_> = (0..15).map(|it| observed_state(&mut net, it, 4)).collect();
    expect_that!(states, each(eq(&Some(MemberState::Leaving))));
    net.run(Duration::from_secs(30));
    expect_that!(observed_state(&mut net, 0, 4), some(eq(MemberState::Leaving)));

    net.step(4, GossipMachine::announce_departure);
    net.nodes[4].running = false;
    let departed = net.run_until(net.now + STATE_CHANGE_LIMIT, GossipNet::converged);

    expect_that!(departed, eq(true));
}

#[gtest]
fn node_joins_through_outdated_seeds_once_one_is_live() {
    let mut net = converged_net(7, 0.0);
    let seeds = [150, 151, 5].map(|it| identity(it).peer);
    net.nodes[5].running = false;
    net.add_node(7, &seeds);
    net.run(Duration::from_secs(5));

    net.restart(5);
    let joined = net.run_until(net.now + Duration::from_secs(10), GossipNet::converged);

    expect_that!(joined, eq(true));
}

#[gtest]
fn announced_revision_is_applied_and_acknowledged_within_the_limit() {
    for (count, loss) in [(3, 0.0), (7, 0.05), (60, 0.0), (60, 0.05)] {
        let mut net = converged_net(count, loss);
        let revision = RevisionNumber(5);
        let announced_at = net.now;

        net.step(0, |machine, now, actions| machine.announce_revision(now, revision, actions));
        let in_force = net.run_until(announced_at + IN_FORCE_LIMIT, |net| {
            net.view(0).applied_and_total(revision) == (count, count)
        });

        println!("{count} nodes, loss {loss}: {:?}", net.now.since(announced_at));
        expect_that!(in_force, eq(true), "{count} nodes, loss {loss}");
    }
}

#[gtest]
fn revision_reaches_all_members_without_an_announcement() {
    let mut net = converged_net(60, 0.05);
    let revision = RevisionNumber(5);
    let end = net.now + IN_FORCE_LIMIT;

    net.step(0, |machine, now, actions| machine.set_revision(now, revision, actions));
    let in_force = net.run_until(end, |net| {
        let own = |net: &mut GossipNet, idx| net.view(idx).get(&identity(idx).node).cloned();
        (0..60).all(|idx| own(net, idx).is_some_and(|it| it.revision == revision))
    });

    expect_that!(in_force, eq(true));
}

#[gtest]
fn drain_state_changes_reach_all_members_within_the_limit() {
    let upstream = UpstreamId("10.9.0.1:80".parse().unwrap());
    let mut net = converged_net(60, 0.05);

    for draining in [true, false, true] {
        let end = net.now + STATE_CHANGE_LIMIT;
        net.step(7, |machine, now, _| machine.set_upstream_draining(now, upstream, draining));
        let received = net.run_until(end, |net| {
            net.nodes.iter().all(|it| {
                let drain_states = it.machine.upstream_drain_states();
                drain_states.iter().any(|it| it.upstream == upstream && it.draining == draining)
            })
        });

        expect_that!(received, eq(true), "draining {draining}");
    }
}

#[gtest]
fn drain_state_set_by_all_nodes_at_once_is_sent_few_times_and_expires() {
    let upstream = UpstreamId("10.9.0.1:80".parse().unwrap());
    let mut net = converged_net(60, 0.0);
    net.run(Duration::from_secs(10));
    let before: u64 = net.nodes.iter().map(|it| it.datagrams_out).sum();

    for idx in 0..60 {
        net.step(idx, |machine, now, _| machine.set_upstream_draining(now, upstream, true));
        net.run(Duration::from_millis(1));
    }
    net.run(Duration::from_secs(10));
    let sent = net.nodes.iter().map(|it| it.datagrams_out).sum::<u64>() - before;
    let event_counts = net.nodes.iter().map(|it| {
        let events = it.events.iter();
        events
            .filter(|(_, event)| matches!(event, GossipEvent::UpstreamDrainChanged { .. }))
            .count()
    });
    expect_that!(event_counts.max(), some(le(1)));
    net.run(Duration::from_secs(660));

    let drain_states: usize =
        net.nodes.iter().map(|it| it.machine.upstream_drain_states().len()).sum();
    expect_that!(sent / 60, le(40));
    expect_that!(drain_states, eq(0));
}

#[gtest]
fn traffic_stays_within_the_control_traffic_limit() {
    for loss in [0.0, 0.02] {
        let mut net = converged_net(120, loss);
        let total = |net: &GossipNet| -> Vec<u64> {
            let bytes = |it: &gossip_net::SimulatedNode| {
                let datagrams = it.datagrams_in + it.datagrams_out;
                it.bytes_in + it.bytes_out + datagrams * HEADER_BYTES
            };
            net.nodes.iter().map(bytes).collect()
        };
        let before = total(&net);

        net.run(Duration::from_secs(30));

        let after = total(&net);
        let max_bytes =
            before.iter().zip(after).map(|(before, after)| after - before).max().unwrap();
        expect_that!(max_bytes / 30, le(CONTROL_TRAFFIC_LIMIT_BYTES_PER_SECOND), "loss {loss}");
        expect_that!(net.longest_datagram, le(DATAGRAM_LIMIT_BYTES));
    }
}
