//! Combination of verdicts, and coverage of an empty shard map.

use googletest::prelude::*;
use mux_model::{Coverage, Verdict};

#[gtest]
fn combined_verdict_is_not_run_only_if_neither_attempt_ran() {
    let cases = [
        (Verdict::NotRun, Verdict::NotRun, Verdict::NotRun),
        (Verdict::NotRun, Verdict::MayHaveRun, Verdict::MayHaveRun),
        (Verdict::MayHaveRun, Verdict::NotRun, Verdict::MayHaveRun),
        (Verdict::Done, Verdict::MayHaveRun, Verdict::MayHaveRun),
        (Verdict::Done, Verdict::Done, Verdict::Done),
    ];

    for (lhs, rhs, expected) in cases {
        let combined = lhs.combine(rhs);

        expect_that!(combined, eq(expected), "{lhs} and {rhs}");
    }
}

#[gtest]
fn coverage_of_an_empty_shard_map_is_zero() {
    let coverage = Coverage { contributed: 0, total: 0 };

    expect_that!(coverage.share(), eq(0.0));
    expect_that!(coverage.meets(0.5), eq(false));
}
