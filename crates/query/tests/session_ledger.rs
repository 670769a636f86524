//! Each request of a session runs at most once.

use std::{collections::BTreeMap, thread, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use mux_model::{NodeId, NodeIncarnation, TimePoint, Verdict};
use mux_query::{
    BeginOutcome, LedgerLimits, RunTicket, SessionLedger, SessionMint, SessionToken, TokenError,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestCaseResult},
};

const LIFETIME_MS: u64 = 60_000;

#[gtest]
fn repeated_request_does_not_run_and_returns_the_stored_outcome() {
    let answer = Some(Bytes::from_static(b"refunded"));
    let finished = |verdict, answer| BeginOutcome::Finished { verdict, answer };
    let cases = [
        (None, BeginOutcome::InProgress),
        (Some((Verdict::Done, answer.clone())), finished(Verdict::Done, answer)),
        (Some((Verdict::MayHaveRun, None)), finished(Verdict::MayHaveRun, None)),
    ];

    for (end, expected) in cases {
        let ledger = ledger(LedgerLimits::default());
        let token = ledger.mint(at(0));

        let ticket = run(&ledger, at(1), &token, 1);
        if let Some((verdict, answer)) = end {
            ledger.complete(ticket, verdict, answer);
        }

        expect_that!(ledger.begin(at(2), &token, 1), eq(&expected));
    }
}

#[gtest]
fn request_that_did_not_run_may_reuse_its_sequence_number() {
    let ledger = ledger(LedgerLimits::default());
    let token = ledger.mint(at(0));

    let ticket = run(&ledger, at(1), &token, 1);
    ledger.complete(ticket, Verdict::NotRun, None);
    let repeat = ledger.begin(at(2), &token, 1);

    expect_that!(repeat, matches_pattern!(BeginOutcome::Run(_)));
}

#[gtest]
fn sequence_below_the_window_never_runs() {
    let ledger = ledger(LedgerLimits::default());
    let token = ledger.mint(at(0));
    let cases = [(100, true), (37, true), (36, false), (1, false), (100, false)];

    for (sequence, expected) in cases {
        let outcome = ledger.begin(at(1), &token, sequence);

        let runs = matches!(outcome, BeginOutcome::Run(_));
        expect_that!(runs, eq(expected), "sequence {sequence}");
    }
}

#[gtest]
fn expired_token_never_runs() {
    let ledger = ledger(LedgerLimits::default());
    let token = ledger.mint(at(0));

    let outcome = ledger.begin(at(LIFETIME_MS), &token, 1);

    expect_that!(outcome, eq(&BeginOutcome::Expired));
    expect_that!(outcome.verdict(), some(eq(Verdict::MayHaveRun)));
}

#[gtest]
fn concurrent_attempts_run_once() {
    let ledger = ledger(LedgerLimits::default());
    let token = ledger.mint(at(0));
    let begin = || ledger.begin(at(1), &token, 1);

    let outcomes: Vec<BeginOutcome> = thread::scope(|scope| {
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(begin)).collect();
        threads.into_iter().map(|it| it.join().unwrap()).collect()
    });

    let runs = outcomes.iter().filter(|it| matches!(it, BeginOutcome::Run(_))).count();
    expect_that!(runs, eq(1));
}

#[gtest]
fn stale_clock_reading_does_not_recreate_an_expired_session() {
    let ledger = ledger(LedgerLimits { sessions: 16, ..LedgerLimits::default() });
    let token = ledger.mint(at(0));
    let ticket = run(&ledger, at(1), &token, 1);
    ledger.complete(ticket, Verdict::Done, None);
    expire_sessions_in_every_stripe(&ledger);

    let outcome = ledger.begin(at(LIFETIME_MS - 1), &token, 1);

    expect_that!(outcome, eq(&BeginOutcome::Expired));
}

#[gtest]
fn token_of_another_mint_never_runs() {
    let own_ledger = ledger(LedgerLimits::default());
    let cases = [
        (mint("muc-a-1", 1), BeginOutcome::InvalidSignature),
        (mint("muc-a-1", 2), BeginOutcome::OtherOwner),
        (mint("muc-a-2", 1), BeginOutcome::OtherOwner),
    ];

    for (mint, expected) in cases {
        let outcome = own_ledger.begin(at(1), &mint.mint(at(0)), 1);

        expect_that!(outcome, eq(&expected));
        expect_that!(outcome.verdict(), some(eq(Verdict::MayHaveRun)));
    }
}

#[gtest]
fn full_ledger_refuses_new_sessions_as_not_run() {
    let ledger = ledger(LedgerLimits { sessions: 16, ..LedgerLimits::default() });
    let tokens: Vec<SessionToken> = (0..400).map(|_| ledger.mint(at(0))).collect();

    let outcomes: Vec<BeginOutcome> =
        tokens.iter().map(|it| ledger.begin(at(10_000), it, 1)).collect();

    let retry_after = Duration::from_millis(LIFETIME_MS - 10_000);
    let full = BeginOutcome::LedgerFull { retry_after };
    expect_that!(ledger.session_count(), eq(16));
    expect_that!(outcomes.iter().filter(|it| **it == full).count(), eq(384));
    expect_that!(full.verdict(), some(eq(Verdict::NotRun)));
}

#[gtest]
fn answers_stay_within_their_limit() {
    let ledger = ledger(LedgerLimits { answer_bytes: 16 * 100, ..LedgerLimits::default() });
    let token = ledger.mint(at(0));

    for sequence in 1..=50 {
        let ticket = run(&ledger, at(1), &token, sequence);
        ledger.complete(ticket, Verdict::Done, Some(Bytes::from(vec![0; 30])));
    }

    let oldest = ledger.begin(at(2), &token, 1);
    let newest = ledger.begin(at(2), &token, 50);
    expect_that!(ledger.answer_bytes(), eq(90));
    expect_that!(oldest, eq(&BeginOutcome::Finished { verdict: Verdict::Done, answer: None }));
    expect_that!(newest, matches_pattern!(BeginOutcome::Finished { answer: some(anything()), .. }));
}

#[gtest]
fn token_round_trips_through_its_text_form() {
    let token = mint("muc-a-1", 9).mint(at(5));

    let parsed = SessionToken::parse(&token.to_string());

    expect_that!(parsed, ok(eq(&token)));
    expect_that!(token.owner().as_str(), eq("muc-a-1"));
    expect_that!(token.incarnation(), eq(NodeIncarnation(9)));
}

#[gtest]
fn token_with_a_changed_character_is_rejected() {
    let mint = mint("muc-a-1", 1);
    let text = mint.mint(at(5)).to_string();

    for position in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[position] = if changed[position] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).unwrap();

        let verified = SessionToken::parse(&changed).and_then(|it| mint.verify(&it));

        expect_that!(verified, err(anything()), "position {position}");
    }
}

#[gtest]
fn malformed_text_is_rejected() {
    for text in ["", "A", "not a token", "AQ", &"A".repeat(2_000)] {
        expect_that!(SessionToken::parse(text), err(eq(&TokenError::Malformed)), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_runs_twice(steps in prop::collection::vec(step(), 1..200)) {
        check_at_most_once(&steps)?;
    }
}

/// One attempt: session, sequence number, time in seconds, and verdict (`None`: still running).
type Step = (usize, u64, u64, Option<Verdict>);

fn step() -> impl Strategy<Value = Step> {
    let verdict =
        prop_oneof![Just(Verdict::Done), Just(Verdict::MayHaveRun), Just(Verdict::NotRun)];
    (0..40_usize, 0..200_u64, 0..120_u64, prop::option::of(verdict))
}

/// Runs steps whose times are not monotonic, like clock readings of concurrent threads.
fn check_at_most_once(steps: &[Step]) -> TestCaseResult {
    let limits = LedgerLimits { sessions: 16, answer_bytes: 160, max_bytes_per_answer: 10 };
    let ledger = ledger(limits);
    let tokens: Vec<SessionToken> = (0..40).map(|it| ledger.mint(at(it * 1_000))).collect();
    let mut runs: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    for (session, sequence, second, end) in steps {
        let outcome = ledger.begin(at(second * 1_000), &tokens[*session], *sequence);
        let BeginOutcome::Run(ticket) = outcome else {
            let not_run = outcome.verdict() == Some(Verdict::NotRun);
            prop_assert!(!not_run || !runs.contains_key(&(*session, *sequence)));
            continue;
        };
        if *end != Some(Verdict::NotRun) {
            *runs.entry((*session, *sequence)).or_default() += 1;
        }
        if let Some(verdict) = end {
            ledger.complete(ticket, *verdict, Some(Bytes::from_static(b"answer")));
        }
        prop_assert!(ledger.session_count() <= 16);
        prop_assert!(ledger.answer_bytes() <= 160);
    }
    prop_assert!(runs.values().all(|it| *it == 1), "{runs:?}");
    Ok(())
}

/// Starts sessions late enough that every stripe of the ledger removes the sessions minted at time
/// zero.
fn expire_sessions_in_every_stripe(ledger: &SessionLedger) {
    for _ in 0..400 {
        let token = ledger.mint(at(LIFETIME_MS));
        ledger.begin(at(LIFETIME_MS), &token, 1);
    }
}

fn run(ledger: &SessionLedger, now: TimePoint, token: &SessionToken, sequence: u64) -> RunTicket {
    match ledger.begin(now, token, sequence) {
        BeginOutcome::Run(ticket) => ticket,
        outcome => panic!("expected to run: {outcome:?}"),
    }
}

fn ledger(limits: LedgerLimits) -> SessionLedger {
    SessionLedger::new(mint("muc-a-1", 1), limits)
}

fn mint(owner: &str, incarnation: u64) -> SessionMint {
    let lifetime = Duration::from_millis(LIFETIME_MS);
    SessionMint::new(NodeId::from(owner), NodeIncarnation(incarnation), lifetime)
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}
