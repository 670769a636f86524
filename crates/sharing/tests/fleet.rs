//! Nodes that lend each other the grants of one bound, without a network.

mod simulated_fleet;

use googletest::prelude::*;
use simulated_fleet::Fleet;

/// Rate of the bound, per second.
const RATE: f64 = 100.0;
/// Calls per second of a node that needs the whole bound.
const PRESSURE: f64 = 200.0;

/// Returns a fleet whose node 0 needs the whole bound.
fn pressed_fleet(nodes: usize, rate_per_s: f64) -> Fleet {
    let mut fleet = Fleet::start(nodes, rate_per_s);
    fleet.set_demand(0, PRESSURE);
    fleet
}

/// Nearly all calls reach one node, which must get the shares that the others leave unused.
#[gtest]
fn node_with_all_calls_gets_the_unused_shares() {
    for (nodes, rate, least) in [(2, RATE, 0.9), (9, RATE, 0.85), (9, 5.0, 0.75)] {
        let mut fleet = pressed_fleet(nodes, rate);
        fleet.run(12_000);
        expect_that!(fleet.used_by(0), ge(rate * 12.0 * least), "{nodes} nodes, {rate} per s");
        fleet.expect_bound_kept();
    }
}

/// The other nodes must find their grants when they need them.
#[gtest]
fn nodes_with_a_few_calls_are_served_while_another_borrows() {
    let mut fleet = pressed_fleet(4, RATE);
    (1..4).for_each(|it| fleet.set_demand(it, 15.0));
    fleet.run(12_000);
    for node in 1..4 {
        expect_that!(fleet.used_by(node), ge(15.0 * 12.0 * 0.9), "node {node}");
    }
    expect_that!(fleet.used_by(0), ge(12.0 * 25.0 * 1.5));
    fleet.expect_bound_kept();
}

/// The calls under a bound move from zone to zone.
#[gtest]
fn bound_follows_calls_that_move_from_node_to_node() {
    let mut fleet = Fleet::start(6, RATE);
    for node in [0, 3, 5, 1, 4, 2] {
        fleet.set_demand(node, PRESSURE);
        fleet.run(2_000);
        fleet.set_demand(node, 0.0);
    }
    expect_that!(fleet.used(), ge(960));
    fleet.expect_bound_kept();
}

/// All nodes are short: questions bring nothing, and must not take up the nodes.
#[gtest]
fn nodes_that_are_all_short_ask_rarely() {
    let mut fleet = Fleet::start(9, RATE);
    (0..9).for_each(|it| fleet.set_demand(it, PRESSURE));
    fleet.run(12_000);
    // Per node, a round of three questions each 0.32 s, and some at the start.
    expect_that!(fleet.asked, le(9 * 3 * 50));
    expect_that!(fleet.used(), ge(1_080));
    fleet.expect_bound_kept();
}

/// A node whose calls are within the bound must get nearly all of its grants with few messages.
#[gtest]
fn node_within_the_bound_misses_few_grants_and_asks_rarely() {
    let mut fleet = Fleet::start(9, RATE);
    fleet.set_demand(0, 80.0);
    fleet.run(12_000);
    // It makes 960 calls, of which its own share serves 133. A call that finds no grant is not repeated.
    expect_that!(fleet.used_by(0), ge(816.0));
    expect_that!(fleet.asked, le(480));
    fleet.expect_bound_kept();
}

/// Nodes join: the shares of all become smaller.
#[gtest]
fn joining_nodes_do_not_raise_the_bound() {
    let mut fleet = pressed_fleet(2, RATE);
    for _ in 0..4 {
        fleet.run(1_500);
        fleet.join();
    }
    fleet.run(6_000);
    expect_that!(fleet.used_by(0), ge(1_200.0 * 0.85));
    fleet.expect_bound_kept();
}

/// Dead nodes take their grants with them until they are no longer counted, and do not answer.
#[gtest]
fn deaths_do_not_raise_the_bound_and_the_rest_is_lent() {
    let mut fleet = pressed_fleet(6, RATE);
    fleet.run(3_000);
    (3..6).for_each(|it| fleet.kill(it));
    let used_before = fleet.used_by(0);
    fleet.run(3_000);
    let used_with_dead = fleet.used_by(0);
    fleet.set_counted(3);
    fleet.run(3_000);
    expect_that!(used_with_dead - used_before, ge(3.0 * 50.0 * 0.8));
    expect_that!(fleet.used_by(0) - used_with_dead, ge(3.0 * 100.0 * 0.85));
    fleet.expect_bound_kept();
}

/// A lost message loses the grants that it carried.
#[gtest]
fn lost_messages_lead_to_fewer_calls_never_to_more() {
    let mut fleet = pressed_fleet(4, RATE);
    fleet.loss = 0.2;
    fleet.run(12_000);
    expect_that!(fleet.used_by(0), ge(12.0 * 25.0 * 1.2));
    fleet.expect_bound_kept();
}

/// A node that wakes finds old replies, whose grants belong to a time that is over.
#[gtest]
fn frozen_nodes_do_not_raise_the_bound() {
    for frozen in [0, 1] {
        let mut fleet = pressed_fleet(3, RATE);
        fleet.set_demand(2, 20.0);
        for _ in 0..3 {
            fleet.run(2_000);
            fleet.freeze(frozen, 1_700);
        }
        fleet.run(4_000);
        expect_that!(fleet.used(), ge(400), "node {frozen} frozen");
        fleet.expect_bound_kept();
    }
}

/// All processes are replaced at once: none of them knows what the ones before it used.
#[gtest]
fn restart_of_all_nodes_does_not_raise_the_bound() {
    let mut fleet = pressed_fleet(5, RATE);
    for _ in 0..3 {
        fleet.run(3_000);
        (0..5).for_each(|it| fleet.restart(it));
    }
    fleet.run(3_000);
    expect_that!(fleet.used_by(0), ge(1_200.0 * 0.75));
    fleet.expect_bound_kept();
}
