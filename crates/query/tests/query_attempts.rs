//! Results of queries that restart on another snapshot.

mod fixtures;

use std::time::Duration;

use fixtures::SNAPSHOT;
use googletest::prelude::*;
use mux_model::{CallId, Coverage, SnapshotId, Verdict};
use mux_query::{FanOutResult, FanOutStopReason, QueryAttempts};

#[gtest]
fn verdict_and_calls_cover_every_fan_out() {
    let cases = [
        ("first ran, second did not", Verdict::MayHaveRun, Verdict::NotRun, Verdict::MayHaveRun),
        ("neither ran", Verdict::NotRun, Verdict::NotRun, Verdict::NotRun),
        ("second answers", Verdict::MayHaveRun, Verdict::Done, Verdict::Done),
    ];

    for (name, first, second, expected) in cases {
        let mut attempts = QueryAttempts::new();

        let restart =
            attempts.finish(result(SNAPSHOT, first, Some(FanOutStopReason::SnapshotUnavailable)));
        let next_call = attempts.next_call();
        let result = attempts.finish(result(SnapshotId(39), second, None));

        expect_that!(restart, none(), "{name}");
        expect_that!(attempts.unavailable_snapshots(), eq([SNAPSHOT]), "{name}");
        expect_that!(next_call, eq(CallId(5)), "{name}");
        expect_that!(result.as_ref().map(|it| it.verdict), some(eq(expected)), "{name}");
        expect_that!(result.map(|it| it.calls), some(eq(10)), "{name}");
    }
}

#[gtest]
fn restarts_are_limited() {
    let mut attempts = QueryAttempts::new();

    let results = [40, 39, 38].map(|it| {
        let stop = Some(FanOutStopReason::SnapshotUnavailable);
        attempts.finish(result(SnapshotId(it), Verdict::NotRun, stop))
    });

    expect_that!(results.map(|it| it.is_some()), eq([false, false, true]));
    expect_that!(attempts.into_last_result().map(|it| it.calls), some(eq(10)));
}

fn result(snapshot: SnapshotId, verdict: Verdict, stop: Option<FanOutStopReason>) -> FanOutResult {
    FanOutResult {
        verdict,
        snapshot,
        coverage: Coverage { contributed: 0, total: 5 },
        shards: Vec::new(),
        stop,
        retry_after: Some(Duration::from_millis(100)),
        calls: 5,
    }
}
