//! Promises of the fan-out, one case each.

mod fixtures;

use fixtures::{Harness, plan, script};
use googletest::prelude::*;
use mux_model::{Coverage, Verdict};
use mux_query::FanOutStop;

#[gtest]
fn answers_at_once_when_every_shard_replied() {
    let mut harness = Harness::new(plan(3), script());

    harness.start(0);
    harness.reply(5, 2);
    harness.reply(6, 0);
    harness.reply(7, 1);

    let result = harness.result();
    expect_that!(result.verdict, eq(Verdict::Done));
    expect_that!(result.coverage, eq(Coverage { contributed: 3, total: 3 }));
    expect_that!(result.shards.iter().map(|it| it.shard.0).collect::<Vec<_>>(), eq(&vec![0, 1, 2]));
    expect_that!(harness.router.open_slots(), eq(0));
}

#[gtest]
fn deadline_below_the_minimum_is_a_final_failure() {
    let mut harness = Harness::new(plan(4), script());

    harness.start(0);
    harness.reply(5, 0);
    harness.wake(1_000);

    let result = harness.result();
    expect_that!(result.verdict, eq(Verdict::MayHaveRun));
    expect_that!(result.stop, some(eq(FanOutStop::DeadlinePassed)));
    expect_that!(harness.cancelled(), eq(&vec![1, 2, 3]));
    expect_that!(harness.router.open_slots(), eq(0));
}
