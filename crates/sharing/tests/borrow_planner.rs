//! When and whom a node asks for grants.

use googletest::prelude::*;
use mux_model::{NodeId, TimePoint};
use mux_sharing::{BorrowPlanner, MAX_BOUNDS_PER_CALL};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn peers(count: u32) -> Vec<NodeId> {
    (0..count).map(|it| NodeId::from(format!("node-{it}"))).collect()
}

/// Shortages of many bounds at once must not lead to a message for each.
#[gtest]
fn shortages_of_several_bounds_share_messages() {
    let mut planner = BorrowPlanner::default();
    (0..10).for_each(|it| _ = planner.on_shortage(at(0), &it, 6));

    let calls = planner.plan_calls(at(0), &peers(5));

    expect_that!(calls.len(), eq(3));
    for call in calls {
        expect_that!(call.wanted.len(), eq(10));
        expect_true!(call.wanted.iter().all(|(_, count)| *count == 2));
    }
}

/// The number of bounds is up to the callers, and must not take all memory or the network.
#[gtest]
fn flood_of_bounds_is_limited_in_memory_and_calls() {
    let mut planner = BorrowPlanner::default();
    let peers = peers(40);
    let mut calls = Vec::new();
    for bound in 0..100_000 {
        planner.on_shortage(at(bound / 100), &bound, 1);
        if bound % 100 == 0 {
            calls.extend(planner.plan_calls(at(bound / 100), &peers));
        }
    }

    expect_that!(planner.bound_count(), le(1_024));
    expect_that!(calls.len(), le(24));
    expect_true!(calls.iter().all(|it| it.wanted.len() <= MAX_BOUNDS_PER_CALL));
    calls.iter().for_each(|it| planner.on_no_reply(at(1_200), it));
    planner.on_shortage(at(9_000), &u64::MAX, 1);
    expect_false!(planner.plan_calls(at(9_000), &peers).is_empty());
}

/// Nodes that are all short gain nothing from asking each other.
#[gtest]
fn rounds_without_a_grant_are_followed_by_growing_pauses() {
    let mut planner = BorrowPlanner::default();
    let mut rounds = Vec::new();
    for now in 0..3_000 {
        planner.on_shortage(at(now), &"bound", 1);
        let calls = planner.plan_calls(at(now), &peers(2));
        if !calls.is_empty() {
            rounds.push(now);
        }
        calls.iter().for_each(|it| _ = planner.on_reply(at(now), it, &[0]));
    }

    let pauses: Vec<_> = rounds.windows(2).map(|it| it[1] - it[0]).collect();
    expect_that!(pauses[0], le(45));
    expect_true!(pauses.is_sorted());
    expect_that!(pauses.last(), some(all![ge(&300), le(&340)]));
}

/// A node whose calls have ended must not ask for grants that it no longer needs.
#[gtest]
fn past_shortage_leads_to_no_calls() {
    let mut planner = BorrowPlanner::default();
    planner.on_shortage(at(0), &"bound", 5);

    expect_true!(planner.plan_calls(at(101), &peers(2)).is_empty());
}

/// Peers that are dead or cut off would use up the time of each round.
#[gtest]
fn silent_peer_is_passed_over() {
    let mut planner = BorrowPlanner::default();
    planner.on_shortage(at(0), &"bound", 1);
    let calls = planner.plan_calls(at(0), &peers(1));
    planner.on_no_reply(at(100), &calls[0]);

    planner.on_shortage(at(500), &"bound", 1);
    expect_true!(planner.plan_calls(at(500), &peers(1)).is_empty());
    planner.on_shortage(at(1_500), &"bound", 1);
    expect_that!(planner.plan_calls(at(1_500), &peers(1)).len(), eq(1));
}

/// A peer with a fault must not be able to raise the bound, nor a reply that waited in a frozen process.
#[gtest]
fn excess_and_late_grants_are_not_used() {
    for (replied_at, usable) in [(250, vec![("bound", 1)]), (251, vec![])] {
        let mut planner = BorrowPlanner::default();
        planner.on_shortage(at(0), &"bound", 1);
        let calls = planner.plan_calls(at(0), &peers(1));

        let received = planner.on_reply(at(replied_at), &calls[0], &[7, 9]);

        expect_that!(received, eq(&usable));
        let progress = planner.progress(at(replied_at), &"bound");
        expect_that!(progress.received, eq(usable.len() as u64));
    }
}
