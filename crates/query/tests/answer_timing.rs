//! Latency targets and deadlines of answers.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_query::AnswerTiming;

const ARRIVED: TimePoint = TimePoint::from_millis(1_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the times from arrival to target and deadline, in milliseconds.
fn due(time_left: Option<u64>, time_limit: u64, target: u64) -> (u128, u128) {
    let timing = AnswerTiming::new(ARRIVED, time_left.map(ms), ms(time_limit), ms(target));
    let after = |it: TimePoint| it.since(ARRIVED).as_millis();
    (after(timing.target), after(timing.deadline))
}

#[gtest]
fn answers_leave_time_for_the_response_transit() {
    let cases = [
        ("first attempt", Some(800), (70, 790)),
        ("no time limit in the request", None, (70, 790)),
        ("more time than the route allows", Some(5_000), (70, 790)),
        ("second attempt, 30 ms later", Some(770), (40, 760)),
        ("second attempt after the target", Some(700), (70, 690)),
        ("nearly no time left", Some(8), (6, 6)),
        ("no time left", Some(0), (0, 0)),
    ];
    for (name, time_left, expected) in cases {
        expect_that!(due(time_left, 800, 80), eq(expected), "{name}");
    }
}

#[gtest]
fn short_target_keeps_most_of_its_time_for_the_upstreams() {
    expect_that!(due(None, 400, 16).0, eq(12));
}

#[gtest]
fn target_is_never_after_the_deadline() {
    for time_left in [0, 1, 20, 60, 90, 400] {
        let (target, deadline) = due(Some(time_left), 400, 300);

        expect_that!(target, le(deadline), "{time_left}");
    }
}
