//! Pauses of the process count before any task has run after them.

use std::time::Duration;

use googletest::prelude::*;
use mux_timer::TimerService;
use tokio::time;

const LIMIT: Duration = Duration::from_millis(500);

/// The clock moves without the heartbeat having run, as after a process was stopped.
#[gtest]
#[tokio::test(start_paused = true)]
async fn pause_counts_before_the_heartbeat_has_noticed_it() {
    let timer = TimerService::start(LIMIT);
    timer.sleep(LIMIT).await;
    let before = timer.pause_count();

    time::advance(LIMIT * 3).await;
    let unnoticed = timer.pause_count();
    timer.sleep(LIMIT).await;
    let noticed = timer.pause_count();

    expect_that!(before, eq(0));
    expect_that!(unnoticed, eq(1));
    expect_that!(noticed, eq(1));
}
