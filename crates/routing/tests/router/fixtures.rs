//! Routers, policies and times for the tests.

use std::{net::SocketAddr, time::Duration};

use mux_model::{AvailabilityZone, CallFailure, NotRunReason, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, ReplicaRouter, RoutingPolicy, ServiceRouter,
    UpstreamHint, UpstreamLocation, UpstreamReport,
};

pub const OWN_ZONE: &str = "muc-a";
pub const DRAINING: UpstreamHint = UpstreamHint { in_flight: None, draining: true };
pub const NOT_DRAINING: UpstreamHint = UpstreamHint { in_flight: None, draining: false };

pub fn upstream(number: u8) -> UpstreamId {
    UpstreamId(SocketAddr::from(([10, 0, 0, number], 80)))
}

pub fn upstreams(count: u8) -> Vec<UpstreamId> {
    (0..count).map(upstream).collect()
}

pub fn place(number: u8, zone: &str) -> UpstreamLocation {
    UpstreamLocation { upstream: upstream(number), availability_zone: AvailabilityZone::from(zone) }
}

pub fn places(count: u8) -> Vec<UpstreamLocation> {
    (0..count).map(|it| place(it, OWN_ZONE)).collect()
}

pub fn policy() -> RoutingPolicy {
    RoutingPolicy {
        slots_per_upstream: Some(2),
        sharing_nodes: 1,
        queries_in_flight: 256,
        hedge: HedgePolicy::Quantile(0.95),
        extra_load_budget: Some(0.04),
        availability_zone: AvailabilityZone::from(OWN_ZONE),
    }
}

/// No hedges, no limits.
pub fn plain() -> RoutingPolicy {
    RoutingPolicy {
        slots_per_upstream: None,
        queries_in_flight: u32::MAX,
        hedge: HedgePolicy::Off,
        extra_load_budget: None,
        ..policy()
    }
}

pub fn router(policy: &RoutingPolicy, count: u8) -> ServiceRouter {
    ServiceRouter::new(policy.clone(), &places(count), 1)
}

pub fn at_ms(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn shed(retry_after: Option<Duration>) -> CallOutcome {
    not_run(NotRunReason::Shed, retry_after)
}

pub fn not_run(reason: NotRunReason, retry_after: Option<Duration>) -> CallOutcome {
    CallOutcome::Failed(CallFailure::NotRun { reason, retry_after }, ms(1))
}

pub fn first(
    router: &ServiceRouter,
    now: TimePoint,
    candidates: &[UpstreamId],
) -> Result<UpstreamId, AcquireError> {
    router.acquire(now, candidates, &[], CallKind::First)
}

/// Makes `count` calls to one upstream, one after another, that all end with `outcome`.
pub fn call_in_turn(
    router: &ServiceRouter,
    now: TimePoint,
    number: u8,
    outcome: CallOutcome,
    count: u32,
) {
    for _ in 0..count {
        first(router, now, &[upstream(number)]).expect("the upstream takes a call");
        router.release(now, upstream(number), outcome);
    }
}

/// Makes calls until the upstream takes no more; returns their number and ends them with
/// `outcome`.
pub fn fill(router: &ServiceRouter, now: TimePoint, number: u8, outcome: CallOutcome) -> usize {
    let taken = (0..1_000).take_while(|_| first(router, now, &[upstream(number)]).is_ok()).count();
    for _ in 0..taken {
        router.release(now, upstream(number), outcome);
    }
    taken
}

pub fn upstream_report(router: &ServiceRouter, now: TimePoint, number: u8) -> UpstreamReport {
    let reports = router.report(now).upstreams;
    reports.into_iter().find(|it| it.upstream == upstream(number)).expect("a known upstream")
}
