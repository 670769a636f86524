//! Reports of outages of the store, and whether a missing entry proves that its writer has stopped.

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
