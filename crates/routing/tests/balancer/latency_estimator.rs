//! Estimate of the typical latency of a route.

use googletest::prelude::*;
use mux_routing::{
    AcquireError, CallKind,
    balancer::{LatencyEstimate, LatencyEstimator},
};

use crate::fixtures::{OWN_ZONE, at, balancer, ms, record};

/// Latency target of the route; calls are limited to seven tenths of it.
const TARGET_MS: u64 = 30;

/// Returns the estimator of a route that got a reply with 40 ms latency every 10 ms, the last at
/// `end_ms`.
fn slow_estimator(end_ms: u64) -> LatencyEstimator {
    let mut estimator = LatencyEstimator::new(ms(TARGET_MS));
    for now in (0..=end_ms).step_by(10) {
        estimator.record_latency(at(now), ms(40));
    }
    estimator
}

/// Returns whether a call to an upstream whose slots are all in use is rejected.
fn is_rejected_as_too_late(now_ms: u64, estimate: &LatencyEstimate) -> bool {
    let record = record(0, OWN_ZONE);
    let balancer = balancer(std::slice::from_ref(&record));
    balancer.record_load(at(now_ms), record.upstream, record.slots);
    let max_latency = ms(TARGET_MS).mul_f64(0.7);
    let acquired = balancer.acquire(at(now_ms), &[], CallKind::First, estimate, max_latency);
    acquired == Err(AcquireError::ReplyTooLate)
}

/// After a short overload, all calls are rejected as too late, so that no reply can show that the
/// overload is over.
#[gtest]
fn route_with_all_calls_rejected_recovers() {
    let mut estimator = slow_estimator(1_000);
    for now in (1_000..2_000).step_by(50) {
        estimator.record_too_late(at(now));
    }

    expect_that!(is_rejected_as_too_late(1_000, &estimator.current(at(1_000))), eq(true));
    expect_that!(is_rejected_as_too_late(1_100, &estimator.current(at(1_100))), eq(true));
    expect_that!(is_rejected_as_too_late(1_700, &estimator.current(at(1_700))), eq(false));
}

#[gtest]
fn confirmed_latency_does_not_decay() {
    let mut estimator = slow_estimator(2_000);
    estimator.record_too_late(at(2_005));
    estimator.record_latency(at(2_010), ms(40));

    expect_that!(is_rejected_as_too_late(3_000, &estimator.current(at(3_000))), eq(true));
}

#[gtest]
fn latency_of_an_idle_route_does_not_decay() {
    let estimator = slow_estimator(1_000);

    expect_that!(estimator.current(at(9_000)).typical, eq(estimator.current(at(1_000)).typical));
}
