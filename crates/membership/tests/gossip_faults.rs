//! Membership under faults, with machines on a virtual clock.

#[path = "support/gossip_net.rs"]
mod gossip_net;

use std::time::Duration;

use googletest::prelude::*;
use gossip_net::{GossipNet, identity};
use mux_membership::{GossipEvent, GossipMachine, GossipSettings, MemberState};
use mux_model::{RevisionNumber, TimePoint, UpstreamId};

const SEED: u64 = 11;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
const CONTROL_LIMIT_BYTES_PER_SECOND: u64 = 3_000;
const DATAGRAM_LIMIT_BYTES: usize = 1_200;
/// Time in which the sides of a healed cut hear from one another; a suspicion raised during the
/// cut may still end in it.
const TWO_PROBE_PERIODS: Duration = Duration::from_secs(2);
const HEADER_BYTES: u64 = 28;

fn joined_net(count: usize, loss: f64) -> GossipNet {
    let mut net = GossipNet::start(count, SEED, GossipSettings::new("test"));
    let end = net.now + Duration::from_secs(60);
    assert!(net.run_until(end, GossipNet::converged), "the nodes did not find one another");
    net.loss = loss;
    net.run(Duration::from_secs(20));
    net
}

/// Returns the members that nodes removed since `since`, by observer and member.
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

fn state_seen(net: &mut GossipNet, observer: usize, member: usize) -> Option<MemberState> {
    net.view(observer).get(&identity(member).node).map(|it| it.state)
}

fn cut_by_zone(net: &mut GossipNet, zone: usize) {
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
fn killed_node_is_removed_everywhere_and_no_other() {
    for (count, loss) in [(3, 0.0), (7, 0.0), (7, 0.05), (30, 0.05)] {
        let mut net = joined_net(count, loss);
        let killed_at = net.now;

        net.nodes[1].running = false;
        let removed = net.run_until(killed_at + Duration::from_secs(30), GossipNet::converged);

        let others = removals(&net, killed_at).into_iter().filter(|(_, it)| it != "node-001");
        expect_that!(removed, eq(true), "{count} nodes, loss {loss}");
        expect_that!(others.count(), eq(0), "{count} nodes, loss {loss}");
    }
}

#[gtest]
fn paused_node_removes_nobody_and_returns_with_a_higher_incarnation() {
    for count in [3, 7, 15] {
        let mut net = joined_net(count, 0.0);
        net.nodes[2].paused = true;
        net.run(Duration::from_secs(40));
        expect_that!(state_seen(&mut net, 0, 2), none(), "{count} nodes");
        let woken_at = net.now;

        net.wake(2);
        net.run(Duration::from_secs(1));
        let returned = net.run_until(woken_at + Duration::from_secs(30), GossipNet::converged);

        let record = net.view(0).get(&identity(2).node).cloned().unwrap();
        expect_that!(returned, eq(true), "{count} nodes");
        expect_that!(record.run, lt(record.incarnation), "{count} nodes");
        expect_that!(removals(&net, woken_at), is_empty(), "{count} nodes");
    }
}

#[gtest]
fn view_is_unverified_after_a_pause_until_a_member_answers() {
    let mut net = joined_net(7, 0.0);
    net.nodes[0].paused = true;
    net.run(Duration::from_secs(5));

    net.wake(0);
    net.run(Duration::ZERO);
    let on_waking = net.view(0).verified;
    net.run(Duration::from_secs(1));

    expect_that!(on_waking, eq(false));
    expect_that!(net.view(0).verified, eq(true));
}

#[gtest]
fn suspicion_does_not_run_out_during_the_observers_own_pause() {
    for observer in [0, 2, 4, 6, 8, 10] {
        let mut net = joined_net(30, 0.0);
        net.nodes[5].group = 1;
        let suspected = net.run_until(net.now + Duration::from_secs(10), |net| {
            state_seen(net, observer, 5) == Some(MemberState::Suspect)
        });
        net.nodes[observer].paused = true;
        heal(&mut net);
        net.run(Duration::from_secs(20));
        let woken_at = net.now;
        net.drop_waiting(observer);

        net.loss = 0.4;
        net.wake(observer);
        net.run(Duration::from_secs(20));

        let by_observer = removals(&net, woken_at - Duration::from_millis(1));
        expect_that!(suspected, eq(true), "observer {observer}");
        expect_that!(by_observer, is_empty(), "observer {observer}");
    }
}

#[gtest]
fn sides_of_a_cut_remove_each_other_and_reunite_without_further_removals() {
    let long = Duration::ZERO;
    let cases = [(7, 30, long), (9, 120, long), (30, 40, long), (30, 14, TWO_PROBE_PERIODS)];
    for (count, cut_seconds, grace) in cases {
        let mut net = joined_net(count, 0.0);
        for idx in 0..count {
            net.step(idx, |machine, now, actions| machine.join(now, &[], actions));
        }
        cut_by_zone(&mut net, 1);
        net.run(Duration::from_secs(cut_seconds));
        let healed_at = net.now;

        heal(&mut net);
        let reunited = net.run_until(healed_at + Duration::from_secs(60), GossipNet::converged);
        let took = net.now.since(healed_at);
        net.run(Duration::from_secs(60));

        println!("{count} nodes, cut for {cut_seconds} s: reunited after {took:?}");
        let flaps = removals(&net, healed_at + grace);
        expect_that!(reunited, eq(true), "{count} nodes, cut for {cut_seconds} s");
        expect_that!(flaps, is_empty(), "{count} nodes, {cut_seconds} s");
    }
}

#[gtest]
fn isolated_node_removes_nobody_and_trusts_all_again_soon() {
    let mut net = joined_net(60, 0.0);
    net.nodes[0].group = 1;
    let isolated_at = net.now;

    net.run(Duration::from_secs(40));
    heal(&mut net);
    let trusting = net.run_until(net.now + IN_FORCE_LIMIT, |net| {
        net.view(0).in_state(MemberState::Alive).count() == 60
    });
    let reunited = net.run_until(net.now + Duration::from_secs(30), GossipNet::converged);

    let by_isolated = removals(&net, isolated_at).into_iter().filter(|(it, _)| *it == 0);
    expect_that!(by_isolated.count(), eq(0));
    expect_that!(trusting, eq(true));
    expect_that!(reunited, eq(true));
}

#[gtest]
fn lossy_links_remove_no_live_member() {
    for loss in [0.02, 0.1, 0.2] {
        let mut net = joined_net(15, 0.0);
        net.loss = loss;
        let since = net.now;

        net.run(Duration::from_secs(300));

        expect_that!(removals(&net, since), is_empty(), "loss {loss}");
    }
}

#[gtest]
fn link_cut_between_two_nodes_raises_no_suspicion() {
    let mut net = joined_net(7, 0.0);
    net.cut_links = vec![(0, 1), (1, 0)];
    let since = net.now;

    net.run(Duration::from_secs(60));

    let changes =
        net.nodes.iter().flat_map(|it| &it.events).filter(|(at, event)| {
            since < *at && matches!(event, GossipEvent::MemberChanged { .. })
        });
    expect_that!(changes.count(), eq(0));
}

#[gtest]
fn restarted_node_replaces_its_former_run() {
    for downtime in [Duration::from_millis(200), Duration::from_secs(30)] {
        let mut net = joined_net(7, 0.0);
        net.pulls = false;
        let former = net.view(0).get(&identity(3).node).cloned().unwrap();
        net.step(3, |machine, now, actions| machine.set_revision(now, RevisionNumber(9), actions));
        net.nodes[3].running = false;
        net.run(downtime);

        net.restart(3);
        let replaced = net.run_until(net.now + Duration::from_secs(10), |net| {
            let views: Vec<_> = (0..7).map(|it| net.view(it)).collect();
            let records = views.iter().filter_map(|it| it.get(&identity(3).node));
            let current = records.filter(|it| former.run < it.run && it.is_available());
            current.filter(|it| it.revision == RevisionNumber(0)).count() == 7
        });

        expect_that!(replaced, eq(true), "down for {downtime:?}");
    }
}

#[gtest]
fn leaving_node_is_seen_as_leaving_and_goes_without_suspicion() {
    let mut net = joined_net(15, 0.0);
    net.step(4, GossipMachine::leave);
    net.run(Duration::from_secs(2));
    let states: Vec<_> = (0..15).map(|it| state_seen(&mut net, it, 4)).collect();
    expect_that!(states, each(eq(&Some(MemberState::Leaving))));
    net.run(Duration::from_secs(30));
    expect_that!(state_seen(&mut net, 0, 4), some(eq(MemberState::Leaving)));

    net.step(4, GossipMachine::depart);
    net.nodes[4].running = false;
    let gone = net.run_until(net.now + DRAIN_LIMIT, GossipNet::converged);

    expect_that!(gone, eq(true));
}

#[gtest]
fn node_joins_through_outdated_seeds_once_one_is_live() {
    let mut net = joined_net(7, 0.0);
    let seeds = [150, 151, 5].map(|it| identity(it).peer);
    net.nodes[5].running = false;
    net.add_node(7, &seeds);
    net.run(Duration::from_secs(5));

    net.restart(5);
    let joined = net.run_until(net.now + Duration::from_secs(10), GossipNet::converged);

    expect_that!(joined, eq(true));
}

#[gtest]
fn announced_revision_is_applied_and_acknowledged_in_time() {
    for (count, loss) in [(3, 0.0), (7, 0.05), (60, 0.0), (60, 0.05)] {
        let mut net = joined_net(count, loss);
        let revision = RevisionNumber(5);
        let announced_at = net.now;

        net.step(0, |machine, now, actions| machine.announce_revision(now, revision, actions));
        let in_force = net.run_until(announced_at + IN_FORCE_LIMIT, |net| {
            net.view(0).in_force(revision) == (count, count)
        });

        println!("{count} nodes, loss {loss}: {:?}", net.now.since(announced_at));
        expect_that!(in_force, eq(true), "{count} nodes, loss {loss}");
    }
}

#[gtest]
fn revision_reaches_all_without_an_announcement() {
    let mut net = joined_net(60, 0.05);
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
fn upstream_note_reaches_all_in_time_and_is_replaced() {
    let upstream = UpstreamId("10.9.0.1:80".parse().unwrap());
    let mut net = joined_net(60, 0.05);

    for draining in [true, false, true] {
        let end = net.now + DRAIN_LIMIT;
        net.step(7, |machine, now, _| machine.set_upstream_draining(now, upstream, draining));
        let heard = net.run_until(end, |net| {
            net.nodes.iter().all(|it| {
                let notes = it.machine.upstream_drain_states();
                notes.iter().any(|it| it.upstream == upstream && it.draining == draining)
            })
        });

        expect_that!(heard, eq(true), "draining {draining}");
    }
}

#[gtest]
fn note_made_by_all_nodes_at_once_costs_little_and_expires() {
    let upstream = UpstreamId("10.9.0.1:80".parse().unwrap());
    let mut net = joined_net(60, 0.0);
    net.run(Duration::from_secs(10));
    let before: u64 = net.nodes.iter().map(|it| it.datagrams_out).sum();

    for idx in 0..60 {
        net.step(idx, |machine, now, _| machine.set_upstream_draining(now, upstream, true));
        net.run(Duration::from_millis(1));
    }
    net.run(Duration::from_secs(10));
    let sent = net.nodes.iter().map(|it| it.datagrams_out).sum::<u64>() - before;
    let times_told = net.nodes.iter().map(|it| {
        let events = it.events.iter();
        events
            .filter(|(_, event)| matches!(event, GossipEvent::UpstreamDrainChanged { .. }))
            .count()
    });
    expect_that!(times_told.max(), some(le(1)));
    net.run(Duration::from_secs(660));

    let notes: usize = net.nodes.iter().map(|it| it.machine.upstream_drain_states().len()).sum();
    expect_that!(sent / 60, le(40));
    expect_that!(notes, eq(0));
}

#[gtest]
fn traffic_stays_within_the_control_limit() {
    for loss in [0.0, 0.02] {
        let mut net = joined_net(120, loss);
        let total = |net: &GossipNet| -> Vec<u64> {
            let bytes = |it: &gossip_net::NetNode| {
                let datagrams = it.datagrams_in + it.datagrams_out;
                it.bytes_in + it.bytes_out + datagrams * HEADER_BYTES
            };
            net.nodes.iter().map(bytes).collect()
        };
        let before = total(&net);

        net.run(Duration::from_secs(30));

        let after = total(&net);
        let most = before.iter().zip(after).map(|(before, after)| after - before).max().unwrap();
        expect_that!(most / 30, le(CONTROL_LIMIT_BYTES_PER_SECOND), "loss {loss}");
        expect_that!(net.longest_datagram, le(DATAGRAM_LIMIT_BYTES));
    }
}
