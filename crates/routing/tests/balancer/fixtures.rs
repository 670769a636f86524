//! Lanes and records for the tests.

use std::{net::SocketAddr, time::Duration};

use mux_model::{InstanceId, ServiceName, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome,
    balancer::{
        LatencyEstimate, RetryBudgetLimits, ServiceBalancer, UpstreamPhase, UpstreamRecord,
    },
};

pub(crate) const OWN_ZONE: &str = "muc-a";
pub(crate) const OTHER_ZONE: &str = "muc-b";
pub(crate) const PATIENT: Duration = Duration::from_secs(60);

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
        warmup_left: Duration::ZERO,
        started_ms: 1_000,
        sequence: 1,
    }
}

pub(crate) fn bounds() -> RetryBudgetLimits {
    RetryBudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 }
}

/// Calls that usually take 10 ms and are hedged after 20 ms.
pub(crate) fn pace() -> LatencyEstimate {
    LatencyEstimate { typical: ms(10), hedge_after: ms(20), zone_cost: ms(10) }
}

pub(crate) fn balancer(records: &[UpstreamRecord]) -> ServiceBalancer {
    let balancer = ServiceBalancer::new(bounds(), OWN_ZONE.into());
    balancer.set_upstreams(TimePoint::ZERO, &records.iter().collect::<Vec<_>>());
    balancer
}

pub(crate) fn first(
    balancer: &ServiceBalancer,
    now: TimePoint,
) -> Result<UpstreamId, AcquireError> {
    balancer.acquire(now, &[], CallKind::First, &pace(), PATIENT)
}

/// Ends the call that was made at `started` with a reply.
pub(crate) fn reply(balancer: &ServiceBalancer, upstream: UpstreamId, started: u64, now: u64) {
    balancer.end_call(upstream, at(started));
    let outcome = CallOutcome::Replied(at(now).since(at(started)));
    balancer.record(at(now), upstream, outcome, &pace());
}
