//! Evidence that is passed on at once, and its place beside trials.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod fixtures;

use fixtures::{at, crash, crash_at, due_trial, ledger_with_crashes, request};
use googletest::prelude::*;
use mux_quarantine::{CrashLedger, IDLE_LIFETIME};

/// A caller repeats its request at another node before the store has the evidence.
#[gtest]
fn evidence_of_an_urgent_request_is_passed_on_at_once_and_once() {
    let mut ledger = ledger_with_crashes(request("a"), 1);
    expect_that!(ledger.take_notice(16), is_empty());

    ledger.mark_urgent(request("a"));
    expect_that!(ledger.take_notice(16), len(eq(1)));
    expect_that!(ledger.take_notice(16), is_empty());

    // Later evidence follows; what the store holds is known to all nodes.
    ledger.record(at(1), crash(request("a"), 1));
    ledger.on_stored(at(1), crash(request("a"), 2));
    expect_that!(ledger.take_notice(16), elements_are![eq(&crash(request("a"), 1))]);
}

/// In a fleet with more nodes than one notice reaches, those that it reaches pass it on.
#[gtest]
fn evidence_of_a_peer_is_passed_on_once() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);

    ledger.on_peer_evidence(at(0), crash(request("a"), 0));
    expect_that!(ledger.take_notice(16), len(eq(1)));

    ledger.on_peer_evidence(at(0), crash(request("a"), 0));
    expect_that!(ledger.take_notice(16), is_empty());
}

/// Upstreams come back and end again within the delay.
#[gtest]
fn second_crash_of_a_request_is_shared_without_a_delay() {
    let ledger = &mut ledger_with_crashes(request("a"), 2);

    expect_that!(ledger.pending_update(at(1), 32).writes, len(eq(2)));
}

/// Many processes ended in few crashes; the claim of a trial must not be forgotten for lack of room.
#[gtest]
fn trial_is_remembered_beside_much_evidence() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    (10..30).for_each(|it| ledger.on_stored(at(2), crash_at(request("a"), it, 2_000 + it)));
    let trial = due_trial(&mut ledger, at(22), request("a")).unwrap();

    ledger.on_stored(at(22), trial);

    expect_that!(due_trial(&mut ledger, at(23), request("a")), none());
}
