//! How far a missing entry can be trusted to be gone.

use googletest::prelude::*;
use mux_config::StoreReachability;
use mux_model::TimePoint;

/// What the store does, in the order of time.
#[derive(Debug, Clone, Copy)]
enum Event {
    Answer,
    Failure,
}

fn contact(events: &[(u64, Event)]) -> StoreReachability {
    let mut contact = StoreReachability::default();
    for (millis, event) in events {
        let at = TimePoint::from_millis(*millis);
        match event {
            Event::Answer => _ = contact.on_reply(at),
            Event::Failure => _ = contact.on_failure(at),
        }
    }
    contact
}

#[gtest]
fn absence_is_doubtful_while_the_store_is_away_and_until_writers_are_back() {
    use Event::{Answer, Failure};
    let outage = [(0, Answer), (9_000, Answer), (10_000, Failure), (14_000, Answer)];
    let cases = [
        ("never asked", &outage[..0], 0, true),
        ("first answer just now", &outage[..1], 100, true),
        ("first answer a while ago", &outage[..1], 8_000, false),
        ("away", &outage[..3], 13_000, true),
        ("just back", &outage[..], 14_100, true),
        ("back for the time that the platform promises", &outage[..], 16_000, true),
        ("back for longer", &outage[..], 17_100, false),
        ("away again", &[(0, Answer), (5_000, Failure)][..], 60_000, true),
    ];
    for (name, events, now, expected) in cases {
        let contact = contact(events);

        let doubtful = contact.may_lack_live_entries(TimePoint::from_millis(now));

        expect_that!(doubtful, eq(expected), "{name}");
    }
}

#[gtest]
fn loss_and_return_are_told_once() {
    let at = TimePoint::from_millis;
    let mut contact = StoreReachability::default();

    expect_that!(contact.on_reply(at(1)), eq(true));
    expect_that!(contact.on_reply(at(2)), eq(false));
    expect_that!(contact.on_failure(at(3)), eq(true));
    expect_that!(contact.on_failure(at(4)), eq(false));
    expect_that!(contact.on_reply(at(5)), eq(true));
}
