//! Processes that end close to one another: which of them count as crashes of their own.

mod fixtures;

use fixtures::{at, crash_at, is_quarantined, ledger_with_crashes, request};
use googletest::prelude::*;
use mux_quarantine::{
    CrashLedger, Evidence, EvidenceKey, EvidenceSource, IDLE_LIFETIME, RequestAdmission,
    UpstreamProcess,
};

/// Upstreams of one rack fall together, and a frequent request may run on all of them, from all nodes.
#[gtest]
fn processes_that_end_at_the_same_moment_do_not_quarantine_a_request() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);

    ledger.on_stored(at(1), crash_at(request("a"), 0, 5_000));
    expect_that!(ledger.crashes(request("a")), eq(1));
    for process in 1..40 {
        ledger.on_stored(at(1), crash_at(request("a"), process, 5_000 + process));
    }
    expect_that!(ledger.admit(at(1), request("a")), eq(&RequestAdmission::Suspect));
    expect_that!(ledger.crashes(request("a")), eq(2));

    // Later crashes find room although many processes ended in the first one.
    ledger.record(at(2), crash_at(request("a"), 50, 5_600));
    ledger.record(at(3), crash_at(request("a"), 51, 6_200));
    expect_that!(ledger.crashes(request("a")), eq(4));
}

/// Several nodes of the own interface may report the end of one process under different times.
#[gtest]
fn upstream_that_ends_once_at_a_moment_counts_once() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);
    let seen_later = |evidence: Evidence, started_ms| {
        let process = UpstreamProcess { instance: "i-1".into(), started_ms };
        let key = EvidenceKey { source: EvidenceSource::Crash(process), ..evidence.key };
        Evidence { key, ..evidence }
    };

    for millis in [5_000, 5_004, 5_020] {
        ledger.record(at(1), seen_later(crash_at(request("a"), 1, millis), millis));
    }

    expect_that!(ledger.crashes(request("a")), eq(1));
}

/// An attempt that makes its calls one at a time loses no upstream by the cause of earlier ends.
#[gtest]
fn crash_of_a_contained_attempt_counts_although_others_have_just_ended() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);
    for process in 0..10 {
        ledger.record(at(1), crash_at(request("a"), process, 5_000 + process));
    }

    ledger.record_contained(at(2), at(1), crash_at(request("a"), 20, 5_090));

    expect_true!(is_quarantined(&mut ledger, at(2), request("a")));
}

#[gtest]
fn crashes_of_one_contained_attempt_count_once() {
    let mut ledger = ledger_with_crashes(request("a"), 1);

    for process in 0..4 {
        let evidence = crash_at(request("a"), 20 + process, 90 + process);
        ledger.record_contained(at(2), at(1), evidence);
    }

    expect_that!(ledger.crashes(request("a")), eq(2));
}

/// The evidence that a node gets during an attempt is not the reason to contain it.
#[gtest]
fn contained_crash_belongs_to_the_moment_of_ends_that_became_known_during_its_attempt() {
    let mut ledger = ledger_with_crashes(request("a"), 1);
    ledger.on_peer_evidence(at(3), crash_at(request("a"), 20, 2_000));

    ledger.record_contained(at(3), at(2), crash_at(request("a"), 21, 2_050));

    expect_that!(ledger.crashes(request("a")), eq(2));
}
