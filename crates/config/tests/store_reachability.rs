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

/// A node that took over from the peer whose copy it had read took its first reply for the end of an outage,
/// and kept upstreams whose entries were removed for three more seconds.
#[gtest]
fn first_reply_after_reading_the_copy_of_a_peer_ends_no_outage() {
    let at = TimePoint::from_millis;
    let mut peer = StoreReachability::default();
    peer.on_reply(at(1_000));
    peer.on_reply(at(20_000));
    let mut own = StoreReachability::default();

    own.adopt(&StoreReachability::from_report(
        &peer.report(at(20_400)),
        at(50_000),
        Duration::ZERO,
    ));
    let has_recovered = own.on_reply(at(52_500));

    expect_that!(has_recovered, eq(false));
    expect_that!(own.may_lack_live_entries(at(52_500)), eq(false));
}

/// What the peer had heard of an outage holds for the reader as well, also if the peer is cut off now.
#[gtest]
fn outage_that_the_peer_had_seen_is_adopted_with_its_age() {
    let at = TimePoint::from_millis;
    let mut peer = StoreReachability::default();
    peer.on_reply(at(1_000));
    peer.on_failure(at(18_000));
    peer.on_reply(at(20_000));
    peer.on_failure(at(20_300));
    let mut own = StoreReachability::default();

    own.adopt(&StoreReachability::from_report(
        &peer.report(at(20_400)),
        at(50_000),
        Duration::ZERO,
    ));

    expect_that!(own.is_unreachable(), eq(false));
    expect_that!(own.on_reply(at(50_100)), eq(false));
    expect_that!(own.may_lack_live_entries(at(52_500)), eq(true));
    expect_that!(own.may_lack_live_entries(at(52_700)), eq(false));
}

/// A node that failed to reach the store itself has seen an outage, unless a peer heard the store later.
#[gtest]
fn own_failure_is_an_outage_unless_a_peer_heard_the_store_later() {
    let at = TimePoint::from_millis;
    for (failed_at, expected) in [(4_000, false), (6_000, true)] {
        let mut own = StoreReachability::default();
        own.on_reply(at(1_000));
        own.on_failure(at(failed_at));
        let mut peer = StoreReachability::default();
        peer.on_reply(at(500));
        peer.on_reply(at(5_000));

        own.adopt(&peer);

        expect_that!(own.on_reply(at(6_500)), eq(expected), "{failed_at}");
    }
}
