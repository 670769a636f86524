//! A pause of the process is counted even before the heartbeat runs after it.

use std::time::Duration;

use googletest::prelude::*;
use mux_timer::TimerService;
use tokio::time;

const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Advances the clock without running the heartbeat, as when the process is stopped.
#[gtest]
#[tokio::test(start_paused = true)]
async fn pause_is_counted_before_the_heartbeat_detects_it() {
    let timer = TimerService::start(PAUSE_LIMIT);
    timer.sleep(PAUSE_LIMIT).await;
    let before = timer.pause_count();

    time::advance(PAUSE_LIMIT * 3).await;
    let undetected = timer.pause_count();
    timer.sleep(PAUSE_LIMIT).await;
    let detected = timer.pause_count();

    expect_that!(before, eq(0));
    expect_that!(undetected, eq(1));
    expect_that!(detected, eq(1));
}
