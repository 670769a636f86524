//! Delays between two reads of the store.

use std::time::Duration;

use googletest::prelude::*;
use mux_edge::ReadPacing;

const NODES: u32 = 30;

fn pacing() -> ReadPacing {
    ReadPacing { config_apply_limit: Duration::from_secs(6) }
}

/// Replays a node that was rejected by the store for 7 s while 3,000 changes were made, which a
/// watch returns in pages of 500: with a delay after each page, it was behind by 13 s and served
/// old routes.
#[gtest]
fn missed_history_is_read_without_delays_between_its_pages() {
    let pages = [500, 500, 500, 500, 500, 500, 188];

    let delay: Duration = pages.iter().map(|it| pacing().delay_after(*it, NODES, false)).sum();

    expect_that!(delay, eq(Duration::ZERO));
}

#[gtest]
fn burst_of_single_changes_costs_few_calls() {
    let announced = pacing().delay_after(1, NODES, true);
    let others = pacing().delay_after(1, NODES, false);

    expect_that!(announced, all![ge(Duration::from_millis(250)), le(Duration::from_secs(1))]);
    expect_that!(others, all![gt(announced), lt(pacing().config_apply_limit)]);
}

#[gtest]
fn watch_ends_before_a_configuration_has_to_be_active() {
    expect_that!(pacing().watch_wait(true), lt(pacing().config_apply_limit));
}

/// Replays a store that receives calls and never answers them: only lease renewals show that it is
/// back, so a node without a lease must not wait for a watch that began before.
#[gtest]
fn watch_of_a_node_without_a_lease_is_short() {
    let longest_call = pacing().watch_wait(false) + pacing().delay_after(0, NODES, false);

    expect_that!(longest_call, lt(pacing().config_apply_limit / 2));
}
