//! Readiness of a node by the freshness of its configuration, and tracking of a revision's rollout.

use std::time::Duration;

use googletest::prelude::*;
use mux_config::{
    FreshnessGuard, FreshnessLimits, InForceProgress, InForceTracker, ReadyState, UnreadyReason,
};
use mux_model::{RevisionNumber, TimePoint};

const FIVE: RevisionNumber = RevisionNumber(5);

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

fn not_ready(reason: UnreadyReason) -> ReadyState {
    ReadyState::NotReady { reason, retry_after: Duration::from_secs(1) }
}

/// Creates the guard of a node that applied revision 5 at second 0 and has six peers.
fn guard() -> FreshnessGuard {
    let mut guard = FreshnessGuard::new(FreshnessLimits::default());
    guard.on_other_nodes(6);
    guard.on_store_contact(at(0), FIVE);
    guard.on_applied(FIVE);
    guard
}

#[gtest]
fn readiness_follows_contacts_and_pauses() {
    type Events = fn(&mut FreshnessGuard);
    let cases: [(&str, Events, ReadyState); 15] = [
        ("reply of a peer", |it| it.on_peer_contact(at(7), FIVE), ReadyState::Ready),
        ("reply of the store", |it| it.on_store_contact(at(7), FIVE), ReadyState::Ready),
        ("no reply", |_| {}, not_ready(UnreadyReason::Isolated)),
        (
            "late reply to an old request",
            |it| it.on_peer_contact(at(4), FIVE),
            not_ready(UnreadyReason::Isolated),
        ),
        ("no other nodes, store unreachable", |it| it.on_other_nodes(0), ReadyState::Ready),
        ("paused", |it| it.on_pause(at(6)), not_ready(UnreadyReason::Unverified)),
        (
            "paused, peer with an older revision",
            |it| {
                it.on_pause(at(6));
                it.on_peer_contact(at(7), RevisionNumber(4));
            },
            not_ready(UnreadyReason::Unverified),
        ),
        (
            "paused, peer with the same revision",
            |it| {
                it.on_pause(at(6));
                it.on_peer_contact(at(7), FIVE);
            },
            ReadyState::Ready,
        ),
        (
            "paused, peer with a newer revision",
            |it| {
                it.on_pause(at(6));
                it.on_peer_contact(at(7), RevisionNumber(6));
            },
            not_ready(UnreadyReason::Unverified),
        ),
        (
            "paused, peer with a newer revision, then applied",
            |it| {
                it.on_pause(at(6));
                it.on_peer_contact(at(7), RevisionNumber(6));
                it.on_applied(RevisionNumber(6));
            },
            ReadyState::Ready,
        ),
        (
            "paused, late reply of the store to a request before the pause",
            |it| {
                it.on_pause(at(6));
                it.on_store_contact(at(5), FIVE);
            },
            not_ready(UnreadyReason::Unverified),
        ),
        (
            "pause count read before the task that waits for pauses has run",
            |it| {
                it.on_pause_count(at(6), 1);
                it.on_store_contact(at(5), FIVE);
            },
            not_ready(UnreadyReason::Unverified),
        ),
        (
            "same pause count read again after verification",
            |it| {
                it.on_pause_count(at(6), 1);
                it.on_store_contact(at(7), FIVE);
                it.on_pause_count(at(7), 1);
            },
            ReadyState::Ready,
        ),
        (
            "newer revision not applied in time",
            |it| {
                it.on_peer_contact(at(3), RevisionNumber(6));
                it.on_peer_contact(at(7), FIVE);
            },
            not_ready(UnreadyReason::Behind),
        ),
        (
            "newer revision applied",
            |it| {
                it.on_peer_contact(at(3), RevisionNumber(6));
                it.on_peer_contact(at(7), RevisionNumber(7));
                it.on_applied(RevisionNumber(6));
            },
            ReadyState::Ready,
        ),
    ];
    for (name, events, expected) in cases {
        let mut guard = guard();
        events(&mut guard);
        expect_that!(guard.readiness(at(8)), eq(expected), "{name}");
    }
}

#[gtest]
fn node_without_configuration_is_not_ready() {
    let mut guard = FreshnessGuard::new(FreshnessLimits::default());
    guard.on_store_contact(at(0), RevisionNumber(0));
    expect_that!(guard.readiness(at(0)), eq(not_ready(UnreadyReason::NoConfiguration)));
}

#[gtest]
fn revision_is_in_force_once_every_live_member_has_applied_it() {
    let members = ["n1", "n2", "n3"].map(Into::into);
    let mut tracker = InForceTracker::start(FIVE, members);
    tracker.on_ack(&"n1".into(), FIVE);
    tracker.on_ack(&"n1".into(), RevisionNumber(4));
    tracker.on_ack(&"n2".into(), RevisionNumber(4));
    tracker.on_ack(&"stranger".into(), FIVE);
    expect_that!(tracker.progress(), eq(InForceProgress { in_force: 1, members: 3 }));
    tracker.on_ack(&"n2".into(), RevisionNumber(6));
    expect_that!(tracker.missing().collect::<Vec<_>>(), elements_are![eq(&&"n3".into())]);
    tracker.on_member_removed(&"n3".into());
    expect_that!(tracker.is_done(), eq(true));
    expect_that!(tracker.progress(), eq(InForceProgress { in_force: 2, members: 2 }));
}
