//! Shared fixtures: balancers, records and estimates.

use std::{net::SocketAddr, time::Duration};

use mux_model::{InstanceId, ServiceName, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome,
    balancer::{LatencyEstimate, RetryBudgetLimits, UpstreamPhase, UpstreamRecord},
};

use crate::test_balancer::TestBalancer;

pub(crate) const OWN_ZONE: &str = "muc-a";
pub(crate) const OTHER_ZONE: &str = "muc-b";
pub(crate) const NO_LATENCY_LIMIT: Duration = Duration::from_secs(60);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

pub(crate) fn upstream(idx: u16) -> UpstreamId {
    UpstreamId(SocketAddr::from(([10, 0, 0, 2], 9_000 + idx)))
}

pub(crate) fn record(idx: u16, zone: &str) -> UpstreamRecord {
    UpstreamRecord {
        instance: InstanceId::from(format!("i-{idx}")),
        service: ServiceName::from("prints"),
        upstream: upstream(idx),
        availability_zone: zone.into(),
        slots: 3,
        phase: UpstreamPhase::Serving,
        started_ms: 1_000,
        sequence: 1,
        warm_up_left: Duration::ZERO,
    }
}

pub(crate) fn limits() -> RetryBudgetLimits {
    RetryBudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 }
}

/// Returns the estimate of a route with a typical latency of 10 ms and a hedge delay of 20 ms.
pub(crate) fn latency_estimate() -> LatencyEstimate {
    LatencyEstimate { typical: ms(10), hedge_delay: ms(20), cross_zone_penalty: ms(10) }
}

pub(crate) fn balancer(records: &[UpstreamRecord]) -> TestBalancer {
    let balancer = TestBalancer::new(limits(), OWN_ZONE.into());
    balancer.set_upstreams(TimePoint::ZERO, &records.iter().collect::<Vec<_>>());
    balancer
}

pub(crate) fn acquire_first(
    balancer: &TestBalancer,
    now: TimePoint,
) -> Result<UpstreamId, AcquireError> {
    balancer.acquire(now, &[], CallKind::First, &latency_estimate(), NO_LATENCY_LIMIT)
}

/// Completes the call that started at `started` with a reply at `now`.
pub(crate) fn reply(balancer: &TestBalancer, upstream: UpstreamId, started: u64, now: u64) {
    balancer.end_call(upstream, at(started));
    let outcome = CallOutcome::Replied(at(now).since(at(started)));
    balancer.record_outcome(at(now), upstream, outcome, &latency_estimate());
}
