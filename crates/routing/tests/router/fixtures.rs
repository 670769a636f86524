//! Shared helpers of the tests: routers, policies, times and call outcomes.

use std::{net::SocketAddr, time::Duration};

use mux_model::{AvailabilityZone, CallFailure, NotRunReason, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, RoutingPolicy, ServiceRouter, UpstreamHint,
    UpstreamLocation, UpstreamReport,
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

pub fn location(number: u8, zone: &str) -> UpstreamLocation {
    UpstreamLocation { upstream: upstream(number), availability_zone: AvailabilityZone::from(zone) }
}

pub fn locations(count: u8) -> Vec<UpstreamLocation> {
    (0..count).map(|it| location(it, OWN_ZONE)).collect()
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

/// A policy without hedges and limits.
pub fn unlimited_policy() -> RoutingPolicy {
    RoutingPolicy {
        slots_per_upstream: None,
        queries_in_flight: u32::MAX,
        hedge: HedgePolicy::Off,
        extra_load_budget: None,
        ..policy()
    }
}

pub fn router(policy: &RoutingPolicy, count: u8) -> ServiceRouter {
    ServiceRouter::new(policy.clone(), &locations(count), 1)
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

pub fn acquire_first(
    router: &ServiceRouter,
    now: TimePoint,
    candidates: &[UpstreamId],
) -> Result<UpstreamId, AcquireError> {
    router.acquire(now, candidates, &[], CallKind::First)
}

/// Makes `count` sequential calls to one upstream that all end with `outcome`.
pub fn call_repeatedly(
    router: &ServiceRouter,
    now: TimePoint,
    number: u8,
    outcome: CallOutcome,
    count: u32,
) {
    for _ in 0..count {
        acquire_first(router, now, &[upstream(number)]).expect("the upstream accepts a call");
        router.release(now, upstream(number), outcome);
    }
}

/// Makes concurrent calls up to the limit of the upstream and ends them with `outcome`; returns
/// their number, at most 1000.
pub fn fill(router: &ServiceRouter, now: TimePoint, number: u8, outcome: CallOutcome) -> usize {
    let acquired_count =
        (0..1_000).take_while(|_| acquire_first(router, now, &[upstream(number)]).is_ok()).count();
    for _ in 0..acquired_count {
        router.release(now, upstream(number), outcome);
    }
    acquired_count
}

pub fn upstream_report(router: &ServiceRouter, now: TimePoint, number: u8) -> UpstreamReport {
    let reports = router.report(now).upstreams;
    reports.into_iter().find(|it| it.upstream == upstream(number)).expect("a known upstream")
}
