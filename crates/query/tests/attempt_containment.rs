//! Reactions of one attempt to crashes of upstreams.

use googletest::prelude::*;
use mux_model::{ShardIndex, TimePoint};
use mux_query::{AttemptContainment, CrashReaction};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1_000)
}

/// A rack loses its power: calls to several shards are lost at once, and only one counts.
#[gtest]
fn calls_lost_together_wait_for_one_that_is_made_again() {
    let mut containment = AttemptContainment::new(false);

    let first = containment.on_crash(at(10), ShardIndex(0), at(0));
    let second = containment.on_crash(at(10), ShardIndex(1), at(0));
    let third = containment.on_crash(at(11), ShardIndex(2), at(0));
    containment.end_canary();
    let late = containment.on_crash(at(15), ShardIndex(3), at(0));

    expect_that!(first, eq(CrashReaction::Retry));
    expect_that!(second, eq(CrashReaction::Hold));
    expect_that!(third, eq(CrashReaction::Hold));
    expect_that!(late, eq(CrashReaction::Retry));
    expect_false!(containment.is_evidence(at(0)));
    expect_true!(containment.is_evidence(at(10)));
}

#[gtest]
fn call_that_crashes_upstreams_twice_in_a_row_stops_the_attempt() {
    let mut containment = AttemptContainment::new(false);
    containment.on_crash(at(10), ShardIndex(0), at(0));
    containment.on_crash(at(10), ShardIndex(1), at(0));

    let again = containment.on_crash(at(20), ShardIndex(0), at(10));

    expect_that!(again, eq(CrashReaction::Stop));
}

#[gtest]
fn suspect_request_is_not_sent_again_after_a_crash() {
    let mut containment = AttemptContainment::new(true);

    let first = containment.on_crash(at(10), ShardIndex(0), at(0));

    expect_that!(first, eq(CrashReaction::Stop));
}
