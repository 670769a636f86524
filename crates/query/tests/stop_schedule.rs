//! Which requests a stopping node still takes.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_query::StopSchedule;

const TARGET: Duration = Duration::from_millis(100);
const SCHEDULE: StopSchedule = StopSchedule { answer_by: TimePoint::from_millis(5_000) };

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// A request that must not be repeated needs more room than one whose caller can repeat it.
#[gtest]
fn requests_are_taken_as_long_as_they_can_be_complete_in_time() {
    let allowed = Duration::from_secs(20);
    for (now, repeatable, at_most_once) in [
        (0, true, true),
        (4_200, true, true),
        (4_201, true, false),
        (4_600, true, false),
        (4_601, false, false),
        (5_001, false, false),
    ] {
        let taken = SCHEDULE.takes_idempotent(at(now), allowed, TARGET);
        expect_that!(taken, eq(repeatable), "{now}");
        let taken = SCHEDULE.takes_at_most_once(at(now), allowed, TARGET);
        expect_that!(taken, eq(at_most_once), "{now}");
    }
}

/// A request that is answered at its deadline in any case needs no more time than that.
#[gtest]
fn request_with_little_time_left_is_taken_until_its_deadline_is_too_late() {
    let allowed = Duration::from_millis(50);

    expect_true!(SCHEDULE.takes_at_most_once(at(4_950), allowed, TARGET));
    expect_false!(SCHEDULE.takes_at_most_once(at(4_951), allowed, TARGET));
    expect_true!(SCHEDULE.takes_at_most_once(at(0), allowed, Duration::MAX));
}
