//! Whether the other nodes count this one.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_sharing::{NodeStanding, NodeVisibility};

const HOLD_TIME: Duration = Duration::from_secs(15);

/// Returns the visibility of an advertised node whose entry the store shows until 10 s.
fn visibility(store_reply_age: Duration) -> NodeVisibility {
    NodeVisibility {
        is_advertised: true,
        listed_until: Some(TimePoint::from_millis(10_000)),
        hold_time: HOLD_TIME,
        store_reply_age: Some(store_reply_age),
    }
}

fn standing_at(visibility: &NodeVisibility, millis: u64) -> NodeStanding {
    visibility.standing(TimePoint::from_millis(millis))
}

/// In an outage of the store, leases end some time before nodes notice that it answers none of them.
#[gtest]
fn node_is_counted_when_its_lease_ends_in_an_outage() {
    for (now, age_ms) in [(10_500, 1_900), (11_500, 2_900), (12_500, 3_900), (60_000, 51_400)] {
        let visibility = visibility(Duration::from_millis(age_ms));

        expect_that!(standing_at(&visibility, now), eq(NodeStanding::Counted), "at {now} ms");
    }
}

/// A store that hides one node answers it, and the others forget the node after a while.
#[gtest]
fn node_that_the_store_hides_is_counted_until_the_others_forget_it() {
    let visibility = visibility(Duration::from_millis(500));

    expect_that!(standing_at(&visibility, 24_999), eq(NodeStanding::Counted));
    expect_that!(standing_at(&visibility, 25_000), eq(NodeStanding::Hidden));
}

/// The others have never seen a node that has just been added.
#[gtest]
fn node_without_an_entry_is_not_counted() {
    let visibility = NodeVisibility { listed_until: None, ..visibility(Duration::ZERO) };

    expect_that!(standing_at(&visibility, 1_000), eq(NodeStanding::Hidden));
}

#[gtest]
fn node_to_which_callers_are_not_directed_is_not_advertised() {
    let visibility = NodeVisibility { is_advertised: false, ..visibility(Duration::ZERO) };

    expect_that!(standing_at(&visibility, 1_000), eq(NodeStanding::NotAdvertised));
}
