//! Reports of outages of the store, and whether a missing entry proves that its writer has stopped.

use std::time::Duration;

use googletest::prelude::*;
use mux_config::StoreReachability;
use mux_model::TimePoint;

/// Outcome of a call to the store.
#[derive(Debug, Clone, Copy)]
enum Event {
    Reply,
    Failure,
}

fn reachability(events: &[(u64, Event)]) -> StoreReachability {
    let mut reachability = StoreReachability::default();
    for (millis, event) in events {
        let at = TimePoint::from_millis(*millis);
        match event {
            Event::Reply => _ = reachability.on_reply(at),
            Event::Failure => _ = reachability.on_failure(at),
        }
    }
    reachability
}

#[gtest]
fn live_entries_may_be_missing_during_and_just_after_an_outage() {
    use Event::{Failure, Reply};
    let outage = [(0, Reply), (9_000, Reply), (10_000, Failure), (14_000, Reply)];
    let cases = [
        ("no call yet", &outage[..0], 0, true),
        ("first reply just received", &outage[..1], 100, true),
        ("first reply some time ago", &outage[..1], 8_000, false),
        ("unreachable", &outage[..3], 13_000, true),
        ("just reachable again", &outage[..], 14_100, true),
        ("reachable again for the time that the platform specifies", &outage[..], 16_000, true),
        ("reachable again for longer", &outage[..], 17_100, false),
        ("unreachable again", &[(0, Reply), (5_000, Failure)][..], 60_000, true),
    ];
    for (name, events, now, expected) in cases {
        let reachability = reachability(events);

        let may_lack = reachability.may_lack_live_entries(TimePoint::from_millis(now));

        expect_that!(may_lack, eq(expected), "{name}");
    }
}

#[gtest]
fn outage_and_recovery_are_reported_once() {
    let at = TimePoint::from_millis;
    let mut reachability = StoreReachability::default();

    expect_that!(reachability.on_reply(at(1)), eq(true));
    expect_that!(reachability.on_reply(at(2)), eq(false));
    expect_that!(reachability.on_failure(at(3)), eq(true));
    expect_that!(reachability.on_failure(at(4)), eq(false));
    expect_that!(reachability.on_reply(at(5)), eq(true));
}

#[gtest]
fn report_carries_the_age_of_the_last_reply_to_another_node() {
    let mut reachability = StoreReachability::default();
    reachability.on_failure(TimePoint::from_millis(1_000));
    reachability.on_reply(TimePoint::from_millis(2_000));
    let report = reachability.report(TimePoint::from_millis(2_800));

    let adopted =
        StoreReachability::from_report(&report, TimePoint::from_millis(50_000), Duration::ZERO);

    let now = TimePoint::from_millis(50_200);
    expect_that!(adopted.time_since_reply(now), some(eq(Duration::from_millis(1_000))));
    expect_that!(adopted.is_unreachable(), eq(false));
    expect_that!(adopted.may_lack_live_entries(now), eq(true));
    expect_that!(adopted.may_lack_live_entries(TimePoint::from_millis(53_000)), eq(false));
}

#[gtest]
fn report_of_an_unreachable_store_is_adopted_as_such() {
    let mut reachability = StoreReachability::default();
    reachability.on_reply(TimePoint::from_millis(1_000));
    reachability.on_failure(TimePoint::from_millis(2_000));
    let report = reachability.report(TimePoint::from_millis(9_000));

    let adopted =
        StoreReachability::from_report(&report, TimePoint::from_millis(50_000), Duration::ZERO);

    expect_that!(adopted.is_unreachable(), eq(true));
    let now = TimePoint::from_millis(50_000);
    expect_that!(adopted.time_since_reply(now), some(eq(Duration::from_secs(8))));
}

/// A young process cannot represent times before its start and must not take them for recent ones.
#[gtest]
fn reply_from_before_the_start_of_this_process_counts_as_none() {
    let mut reachability = StoreReachability::default();
    reachability.on_reply(TimePoint::from_millis(1_000));
    let report = reachability.report(TimePoint::from_millis(9_000));

    let adopted =
        StoreReachability::from_report(&report, TimePoint::from_millis(500), Duration::ZERO);

    expect_that!(adopted.time_since_reply(TimePoint::from_millis(500)), none());
}
