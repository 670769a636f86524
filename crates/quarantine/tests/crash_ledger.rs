//! Evidence against requests, and the admission of requests.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod fixtures;

use fixtures::{SERVICE, at, crash, due_trial, is_quarantined, ledger_with_crashes, request};
use googletest::prelude::*;
use mux_model::{FastSet, TimePoint};
use mux_quarantine::{
    CRASH_LIMIT, CrashLedger, EvidenceSource, IDLE_LIFETIME, MAX_REQUESTS, RequestAdmission,
    RequestFingerprint,
};

/// Marks all evidence as written to the store.
fn share(ledger: &mut CrashLedger, now: TimePoint) {
    let update = ledger.pending_update(now, 32);
    ledger.on_update_stored(now, &update);
}

#[gtest]
fn request_is_quarantined_after_the_third_crash() {
    let mut ledger = ledger_with_crashes(request("a"), 2);
    expect_that!(ledger.admit(at(3), request("a")), eq(&RequestAdmission::Suspect));

    ledger.record(at(3), crash(request("a"), 2));

    expect_true!(is_quarantined(&mut ledger, at(3), request("a")));
    expect_that!(ledger.admit(at(3), request("b")), eq(&RequestAdmission::Clear));
}

/// Two copies of a request may run on one upstream, and several nodes may report its crash.
#[gtest]
fn crash_of_one_process_counts_once() {
    let mut ledger = ledger_with_crashes(request("a"), 1);

    ledger.record(at(1), crash(request("a"), 0));
    ledger.on_peer_evidence(at(1), crash(request("a"), 0));
    ledger.on_stored(at(1), crash(request("a"), 0));

    expect_that!(ledger.crashes(request("a")), eq(1));
}

#[gtest]
fn crashes_seen_by_other_nodes_count() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);

    ledger.record(at(0), crash(request("a"), 0));
    ledger.on_stored(at(1), crash(request("a"), 1));
    ledger.on_peer_evidence(at(2), crash(request("a"), 2));

    expect_true!(is_quarantined(&mut ledger, at(3), request("a")));
}

/// A request that was at upstreams which fell for another reason is answered sooner or later.
#[gtest]
fn reply_to_a_later_call_clears_the_request() {
    let mut ledger = ledger_with_crashes(request("a"), 2);
    share(&mut ledger, at(5));

    ledger.on_reply(request("a"), &SERVICE.into(), at(5));

    expect_that!(ledger.admit(at(6), request("a")), eq(&RequestAdmission::Clear));
    expect_that!(ledger.pending_update(at(6), 32).withdrawals, len(eq(2)));
}

#[gtest]
fn reply_to_a_call_before_the_crash_or_of_another_service_proves_nothing() {
    let mut ledger = ledger_with_crashes(request("a"), 3);

    ledger.on_reply(request("a"), &"stock".into(), at(5));
    ledger.on_reply(request("a"), &SERVICE.into(), at(1));

    // The crash at second 0 is refuted by the reply to a call at second 1, the others are not.
    expect_that!(ledger.crashes(request("a")), eq(1));
}

#[gtest]
fn quarantined_request_gets_no_trial_after_two_that_ended_in_a_crash() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    expect_that!(due_trial(&mut ledger, at(21), request("a")), none());

    let first = due_trial(&mut ledger, at(22), request("a")).unwrap();
    expect_that!(first.key.source, eq(&EvidenceSource::Trial(3)));
    ledger.on_stored(at(22), first);
    ledger.record(at(23), crash(request("a"), 23));
    ledger.end_trial(at(23), request("a"));
    expect_that!(due_trial(&mut ledger, at(82), request("a")), none());

    let second = due_trial(&mut ledger, at(83), request("a")).unwrap();
    expect_that!(second.key.source, eq(&EvidenceSource::Trial(4)));
    ledger.on_stored(at(83), second);
    ledger.record(at(84), crash(request("a"), 84));
    ledger.end_trial(at(84), request("a"));
    let later = (85..7_200).map(|it| due_trial(&mut ledger, at(it), request("a")));
    expect_that!(later.flatten().count(), eq(0));
}

/// All nodes together make one trial at a time.
#[gtest]
fn trial_of_another_node_is_waited_for() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    let trial = due_trial(&mut ledger, at(22), request("a")).unwrap();

    ledger.on_stored(at(22), trial);

    expect_that!(due_trial(&mut ledger, at(51), request("a")), none());
    // Its node has stopped meanwhile.
    due_trial(&mut ledger, at(52), request("a"));
    expect_that!(due_trial(&mut ledger, at(54), request("a")), some(anything()));
}

/// While a service has no upstream, a trial reaches none and proves nothing.
#[gtest]
fn trial_without_a_result_is_followed_by_another_one() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    let trial = due_trial(&mut ledger, at(22), request("a")).unwrap();
    ledger.on_stored(at(22), trial.clone());

    ledger.end_trial(at(23), request("a"));

    expect_that!(ledger.pending_update(at(23), 32).withdrawals, elements_are![eq(&trial.key)]);
    expect_that!(due_trial(&mut ledger, at(24), request("a")), none());
    expect_that!(due_trial(&mut ledger, at(25), request("a")), some(anything()));
}

#[gtest]
fn answered_trial_ends_the_quarantine() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    let trial = due_trial(&mut ledger, at(22), request("a")).unwrap();
    ledger.on_stored(at(22), trial);

    ledger.on_reply(request("a"), &SERVICE.into(), at(23));

    expect_true!(ledger.is_empty());
}

/// Each of a flood of different requests crashes one upstream.
#[gtest]
fn flood_of_requests_neither_grows_the_ledger_nor_frees_a_quarantined_one() {
    let mut ledger = ledger_with_crashes(request("a"), 3);

    for number in 0..3 * MAX_REQUESTS as u64 {
        let fingerprint = request(&format!("flood {number}"));
        ledger.record(at(10), crash(fingerprint, 100 + number));
        share(&mut ledger, at(11));
    }

    expect_that!(ledger.counts(), eq((MAX_REQUESTS, 1)));
    expect_true!(is_quarantined(&mut ledger, at(11), request("a")));
    expect_that!(ledger.summary(64), len(eq(64)));
    expect_that!(ledger.pending_update(at(20), 32).withdrawals.len(), le(32));
}

/// All of a flood of different requests are quarantined.
#[gtest]
fn flood_of_quarantined_requests_does_not_grow_the_ledger() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);

    for number in 0..2 * MAX_REQUESTS as u64 {
        let fingerprint = request(&format!("flood {number}"));
        for process in 0..20 {
            ledger.record(at(number), crash(fingerprint, process));
        }
    }

    expect_that!(ledger.counts().0, eq(MAX_REQUESTS));
    // Trials and a margin for crashes that nodes observed at the same time.
    let evidence = ledger.summary(usize::MAX).len();
    expect_that!(evidence, le(MAX_REQUESTS * (CRASH_LIMIT + 9)));
}

/// Most requests that were at a crashed upstream are answered by another one at once.
#[gtest]
fn evidence_is_shared_after_a_delay_and_once() {
    let mut ledger = ledger_with_crashes(request("a"), 1);

    expect_that!(ledger.pending_update(at(0), 32).writes, is_empty());
    expect_that!(ledger.pending_update(at(1), 32).writes, len(eq(1)));
    share(&mut ledger, at(1));
    expect_that!(ledger.pending_update(at(2), 32).writes, is_empty());
}

#[gtest]
fn evidence_against_the_worst_request_is_shared_first() {
    let mut ledger = ledger_with_crashes(request("a"), 1);
    (0..3).for_each(|it| ledger.record(at(5), crash(request("b"), 10 + it)));

    let update = ledger.pending_update(at(6), 3);

    let fingerprints: Vec<_> = update.writes.iter().map(|(it, _)| it.key.fingerprint).collect();
    expect_that!(fingerprints, each(eq(&request("b"))));
}

/// Evidence that is refuted while it is written would otherwise stay in the store.
#[gtest]
fn evidence_refuted_while_it_is_written_is_withdrawn() {
    let mut ledger = ledger_with_crashes(request("a"), 1);
    let update = ledger.pending_update(at(1), 32);

    ledger.on_reply(request("a"), &SERVICE.into(), at(1));
    ledger.on_update_stored(at(1), &update);

    expect_that!(ledger.pending_update(at(2), 32).withdrawals, len(eq(1)));
}

#[gtest]
fn store_restored_from_an_older_copy_gets_the_evidence_again() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    share(&mut ledger, at(5));

    ledger.on_store_restored();
    ledger.on_listing(&FastSet::default());

    expect_true!(is_quarantined(&mut ledger, at(6), request("a")));
    expect_that!(ledger.pending_update(at(6), 32).writes, len(eq(3)));
}

#[gtest]
fn evidence_that_another_node_removed_is_dropped() {
    let mut ledger = ledger_with_crashes(request("a"), 2);
    share(&mut ledger, at(5));
    ledger.record(at(6), crash(request("a"), 7));

    ledger.on_removed(&crash(request("a"), 0).key);
    ledger.on_listing(&FastSet::default());

    // What the store never held is kept.
    expect_that!(ledger.crashes(request("a")), eq(1));
}

#[gtest]
fn request_without_activity_is_forgotten_and_one_that_comes_again_is_not() {
    let mut ledger = ledger_with_crashes(request("idle"), 3);
    (0..3).for_each(|it| ledger.record(at(2), crash(request("busy"), 10 + it)));
    share(&mut ledger, at(5));
    let end = at(5) + IDLE_LIFETIME;

    is_quarantined(&mut ledger, at(300), request("busy"));
    let renewed = ledger.pending_update(at(300), 32).writes;
    ledger.expire(end);

    // The others are told that it still comes.
    expect_that!(renewed, len(eq(3)));
    expect_that!(ledger.admit(end, request("idle")), eq(&RequestAdmission::Clear));
    expect_true!(is_quarantined(&mut ledger, end, request("busy")));
    expect_that!(ledger.pending_update(end, 32).withdrawals, len(eq(3)));
}

/// A frequent request runs on all upstreams that fall, and is answered by the others all the time.
#[gtest]
fn request_that_was_answered_lately_is_not_the_cause_of_a_crash() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);
    ledger.on_answered(at(100), request("a"), Some(&SERVICE.into()));
    ledger.on_answered(at(100), request("query"), None);
    ledger.on_answered(at(100), request("other"), Some(&"stock".into()));

    for name in ["a", "query", "other"] {
        (0..3).for_each(|it| ledger.record(at(101 + it), crash(request(name), it)));
    }

    expect_that!(ledger.crashes(request("a")), eq(0));
    expect_that!(ledger.crashes(request("query")), eq(0));
    expect_that!(ledger.crashes(request("other")), eq(3));
    // What a node without that knowledge has shared is withdrawn.
    ledger.on_stored(at(105), crash(request("a"), 9));
    expect_that!(ledger.pending_update(at(106), 32).withdrawals, len(eq(1)));
    // An answer does not protect the request for long.
    ledger.record(at(110), crash(request("a"), 10));
    expect_that!(ledger.crashes(request("a")), eq(1));
}

/// The answers that are remembered are bounded as well.
#[gtest]
fn oldest_answers_are_forgotten_first() {
    let mut ledger = CrashLedger::new(IDLE_LIFETIME);
    ledger.on_answered(at(1), request("old"), None);
    ledger.on_answered(at(1), request("frequent"), None);
    for number in 0..5_000 {
        ledger.on_answered(at(1), request(&format!("flood {number}")), None);
        if number == 4_000 {
            ledger.on_answered(at(2), request("frequent"), None);
        }
    }

    ledger.record(at(3), crash(request("old"), 1));
    ledger.record(at(3), crash(request("frequent"), 1));

    expect_that!(ledger.crashes(request("old")), eq(1));
    expect_that!(ledger.crashes(request("frequent")), eq(0));
}

/// Of hundreds of nodes, few remove from the store what all of them forget.
#[gtest]
fn node_that_does_not_keep_the_store_forgets_without_removing() {
    let mut ledger = ledger_with_crashes(request("a"), 3);
    share(&mut ledger, at(5));
    ledger.set_keeps_store(false);

    ledger.expire(at(5) + IDLE_LIFETIME);

    expect_true!(ledger.is_empty());
    expect_that!(ledger.pending_update(at(700), 32).withdrawals, is_empty());
}

#[gtest]
fn fingerprint_and_source_are_read_back_from_their_text() {
    let key = crash(request("a"), 7).key;
    let trial = EvidenceSource::Trial(2);

    expect_that!(
        RequestFingerprint::parse(&key.fingerprint.to_string()),
        some(eq(key.fingerprint))
    );
    expect_that!(EvidenceSource::parse(&key.source.to_string()), some(eq(&key.source)));
    expect_that!(EvidenceSource::parse(&trial.to_string()), some(eq(&trial)));
    expect_that!(EvidenceSource::parse("something"), none());
    expect_that!(RequestFingerprint::parse("+0000000000000000000000000000001"), none());
}

/// Parts must not be mistaken for others with the same bytes in sequence.
#[gtest]
fn fingerprint_depends_on_each_part() {
    let of = RequestFingerprint::of_parts;

    expect_that!(of(&[b"ab", b"c"]), not(eq(of(&[b"a", b"bc"]))));
    expect_that!(of(&[b"ada", b"/x", b"body"]), not(eq(of(&[b"bob", b"/x", b"body"]))));
    expect_that!(of(&[b"ada", b"/x", b"body"]), eq(of(&[b"ada", b"/x", b"body"])));
}
