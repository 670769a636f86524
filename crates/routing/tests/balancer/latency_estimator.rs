//! What a route takes for its usual latency.

use googletest::prelude::*;
use mux_routing::{
    AcquireError, CallKind,
    balancer::{LatencyEstimate, LatencyEstimator},
};

use crate::fixtures::{OWN_ZONE, at, balancer, ms, record};

/// Latency target of the route; a reply is of use for seven tenths of the time left.
const TARGET_MS: u64 = 30;

/// Returns a route whose replies took 40 ms until `end_ms`.
fn slow_route(end_ms: u64) -> LatencyEstimator {
    let mut pace = LatencyEstimator::new(ms(TARGET_MS));
    for now in (0..=end_ms).step_by(10) {
        pace.record(at(now), ms(40));
    }
    pace
}

fn is_refused(now_ms: u64, pace: &LatencyEstimate) -> bool {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let patience = ms(TARGET_MS).mul_f64(0.7);
    let acquired = balancer.acquire(at(now_ms), &[], CallKind::First, pace, patience);
    acquired == Err(AcquireError::TooLate)
}

/// Load pattern: a moment of overload after which every call would be taken for late, so that no
/// reply could show that it is over.
#[gtest]
fn route_whose_calls_are_all_refused_tries_again() {
    let mut pace = slow_route(1_000);
    for now in (1_000..2_000).step_by(50) {
        pace.record_late(at(now));
    }

    expect_that!(is_refused(1_000, &pace.current(at(1_000))), eq(true));
    expect_that!(is_refused(1_100, &pace.current(at(1_100))), eq(true));
    expect_that!(is_refused(1_700, &pace.current(at(1_700))), eq(false));
}

#[gtest]
fn replies_that_confirm_the_latency_keep_it() {
    let mut pace = slow_route(2_000);
    pace.record_late(at(2_005));
    pace.record(at(2_010), ms(40));

    expect_that!(is_refused(3_000, &pace.current(at(3_000))), eq(true));
}

#[gtest]
fn route_with_few_requests_keeps_its_latency() {
    let pace = slow_route(1_000);

    expect_that!(pace.current(at(9_000)).typical, eq(pace.current(at(1_000)).typical));
}
