//! Rules of the service router.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_model::{AvailabilityZone, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, ReplicaRouter, RoutingPolicy, ServiceRouter,
    UpstreamHint, UpstreamPlace,
};

const T0: TimePoint = TimePoint::ZERO;

fn upstream(number: u8) -> UpstreamId {
    UpstreamId(SocketAddr::from(([10, 0, 0, number], 80)))
}

fn places(numbers: &[u8]) -> Vec<UpstreamPlace> {
    let place = |&it| UpstreamPlace {
        upstream: upstream(it),
        availability_zone: AvailabilityZone::from("muc-a"),
    };
    numbers.iter().map(place).collect()
}

fn policy() -> RoutingPolicy {
    RoutingPolicy {
        slots_per_upstream: Some(2),
        sharing_nodes: 1,
        queries_in_flight: 2,
        hedge: HedgePolicy::Off,
        extra_load_budget: Some(0.04),
        availability_zone: AvailabilityZone::from("muc-a"),
    }
}

#[gtest]
fn admission_is_bounded_and_finish_frees_a_place() {
    let router = ServiceRouter::new(policy(), &places(&[1]), 1);

    let admitted = [router.admit(T0), router.admit(T0)];
    let refused = router.admit(T0);
    router.finish(T0);
    let later = router.admit(T0);

    expect_that!(admitted, each(ok(anything())));
    expect_that!(refused, err(field!(mux_routing::QueryRefusal.retry_after, gt(Duration::ZERO))));
    expect_that!(later, ok(anything()));
}

#[gtest]
fn a_draining_upstream_gets_no_new_work_of_any_kind() {
    let router = ServiceRouter::new(policy(), &places(&[1]), 1);
    router.observe(T0, upstream(1), UpstreamHint { in_flight: None, draining: true });

    for kind in [CallKind::First, CallKind::Hedge, CallKind::Retry] {
        let acquired = router.acquire(T0, &[upstream(1)], &[], kind);

        expect_that!(acquired, err(eq(AcquireError::NoReplica)), "{kind:?}");
    }
}

#[gtest]
fn an_update_keeps_calls_in_flight_and_stops_new_ones_at_removed_upstreams() {
    let router = ServiceRouter::new(policy(), &places(&[1]), 1);
    let held = router.acquire(T0, &[upstream(1)], &[], CallKind::First);

    router.update(policy(), &places(&[2]));
    let removed = router.acquire(T0, &[upstream(1)], &[], CallKind::First);
    router.release(T0, upstream(1), CallOutcome::Replied(Duration::from_millis(5)));
    let added = router.acquire(T0, &[upstream(1), upstream(2)], &[], CallKind::First);

    expect_that!(held, ok(eq(upstream(1))));
    expect_that!(removed, err(eq(AcquireError::NoReplica)));
    expect_that!(added, ok(eq(upstream(2))));
}
