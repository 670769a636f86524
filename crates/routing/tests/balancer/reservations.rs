//! Connections that are reserved for calls, and those whose calls never begin.

use std::time::Duration;

use googletest::prelude::*;

use crate::fixtures::{OWN_ZONE, acquire_first, at, balancer, record, upstream};

const LIMIT: Duration = Duration::from_secs(2);

/// Reservations that were never released took upstreams out of use, and no log line said so.
#[gtest]
fn reservation_without_a_call_is_reported_once() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    acquire_first(&balancer, at(0)).unwrap();

    let early = balancer.take_lost_reservations(at(2_000), LIMIT);
    let lost = balancer.take_lost_reservations(at(2_001), LIMIT);
    let again = balancer.take_lost_reservations(at(9_000), LIMIT);

    expect_that!(early, is_empty());
    expect_that!(lost, len(eq(1)));
    expect_that!(lost[0].upstream, eq(upstream(0)));
    expect_that!((lost[0].reserved, lost[0].is_active), eq((1, true)));
    expect_that!(lost[0].age, eq(Duration::from_millis(2_001)));
    expect_that!(again, is_empty());
}

#[gtest]
fn reservation_of_a_call_that_has_begun_is_not_lost() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    acquire_first(&balancer, at(0)).unwrap();
    balancer.begin_call(upstream(0), at(0));

    let lost = balancer.take_lost_reservations(at(60_000), LIMIT);

    expect_that!(lost, is_empty());
}
