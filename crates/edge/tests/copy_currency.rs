//! How long nodes that read each other's copies of the store use a copy that may lack changes.

use std::time::Duration;

use googletest::prelude::*;
use mux_edge::{CopyCurrency, CopyLease};
use mux_model::TimePoint;

/// Time within which the operators' changes have to take effect.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);
/// Longest time for which a call to a peer waits for changes.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Time that a reply takes.
const TRANSIT: Duration = Duration::from_millis(3);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// A reader of one peer, whose copy was current at the moments that `current_at` returns.
struct ReaderRun<F> {
    /// Returns up to which time the peer's copy is current at a time.
    current_at: F,
    change_limit: Duration,
}

impl<F: Fn(TimePoint) -> TimePoint> ReaderRun<F> {
    /// Reads from `start` on, until the lease of the copy ends or `end`; returns that time and the
    /// number of calls.
    fn run(&self, start: TimePoint, end: TimePoint) -> (TimePoint, u32) {
        let lease = |replied_at: TimePoint| {
            let elapsed = replied_at.since((self.current_at)(replied_at));
            CopyLease::new(replied_at + TRANSIT, elapsed, TRANSIT, self.change_limit)
        };
        let mut now = start + TRANSIT;
        let mut current = lease(start);
        let mut calls = 0;
        while now < end
            && let Some(wait) = current.next_wait(now, LONGEST_WAIT)
        {
            calls += 1;
            let replied_at = now + wait + TRANSIT;
            if current.time_left(now) < (replied_at + TRANSIT).since(now) {
                // No reply arrives in time.
                return (now + current.time_left(now), calls);
            }
            now = replied_at + TRANSIT;
            current = lease(replied_at);
        }
        (now, calls)
    }
}

/// A node that read the copy of a peer went on for up to 3.5 s after that peer was cut from the store:
/// the age of the copy was looked at only when a call ended, which waits for a second. Some time has to
/// be left for another peer or the store.
#[gtest]
fn reader_leaves_a_peer_that_lost_the_store_before_changes_are_due() {
    for change_limit in [CHANGE_LIMIT, ms(2_500), ms(5_000)] {
        let last_start = change_limit - ms(600);
        for start in (0..last_start.as_millis() as u64).step_by(7) {
            let run = ReaderRun { current_at: |_| at(10_000), change_limit };

            let (left_at, _) = run.run(at(10_000 + start), at(60_000));

            let since_contact = left_at.since(at(10_000));
            expect_that!(since_contact, le(change_limit - ms(400)), "{change_limit:?} {start}");
        }
    }
}

/// A peer of a large fleet renews its lease every two seconds. Its readers keep it, and ask it more
/// often only shortly before its copy would be stale.
#[gtest]
fn reader_keeps_a_peer_that_hears_the_store() {
    for phase in (0..2_000).step_by(90) {
        let current_at = |now: TimePoint| {
            let cycles = (now.since(at(phase))).as_millis() as u64 / 2_000;
            at(phase + cycles * 2_000)
        };
        let run = ReaderRun { current_at, change_limit: CHANGE_LIMIT };

        let (left_at, calls) = run.run(at(phase + 100), at(phase + 60_100));

        expect_that!(left_at, ge(at(phase + 60_100)), "phase {phase}");
        expect_that!(calls, le(180), "phase {phase}");
    }
}

/// A copy that is handed on keeps the age that it had at its source.
#[gtest]
fn age_adds_up_over_two_readers() {
    let at_source = ms(1_200);
    let at_first_reader = at_source + ms(900);

    let lease = CopyLease::new(at(5_000), at_first_reader, ms(100), CHANGE_LIMIT);

    expect_that!(lease.time_left(at(5_000)), eq(ms(300)));
    expect_that!(lease.is_stale(at(5_299)), eq(false));
    expect_that!(lease.is_stale(at(5_300)), eq(true));
}

/// While a node pauses between two watches, its copy may lack changes although its lease renewals are
/// answered.
#[gtest]
fn renewal_shows_a_current_copy_only_while_a_watch_is_pending() {
    let mut currency = CopyCurrency::default();
    expect_that!(currency.age(at(100)), none());

    currency.on_watch_sent(at(100));
    currency.on_watch_ended();
    currency.on_copied(at(1_000));
    currency.on_other_reply(at(1_500));
    expect_that!(currency.age(at(1_600)), some(eq(ms(600))));

    currency.on_watch_sent(at(2_000));
    // A renewal that was sent before the watch shows nothing of it.
    currency.on_other_reply(at(1_900));
    expect_that!(currency.age(at(2_100)), some(eq(ms(1_100))));
    currency.on_other_reply(at(2_050));
    expect_that!(currency.age(at(2_100)), some(eq(ms(50))));
}

#[gtest]
fn copy_is_of_unknown_age_after_a_pause_of_the_process() {
    let mut currency = CopyCurrency::default();
    currency.on_copied(at(1_000));

    currency.on_pause();

    expect_that!(currency.age(at(1_001)), none());
}
