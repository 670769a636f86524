//! Routing of one query while the upstreams of its shards change.

use std::sync::{Arc, Mutex};

use googletest::prelude::*;
use mux_model::{ShardIndex, SnapshotId, TimePoint};
use mux_routing::{
    AcquireError, CallKind, CallOutcome, ReplicaRouter,
    balancer::{LatencyEstimator, QueryConstraints, QueryRouter, ServiceBalancer},
};

use crate::fixtures::{NO_LATENCY_LIMIT, OWN_ZONE, at, balancer, ms, record, upstream};

pub(crate) fn router(balancers: Vec<Arc<ServiceBalancer>>) -> QueryRouter {
    let constraints = QueryConstraints {
        rank: 0,
        started: TimePoint::ZERO,
        soft_deadline: TimePoint::ZERO + NO_LATENCY_LIMIT,
        deadline: TimePoint::ZERO + NO_LATENCY_LIMIT,
    };
    let estimator = Arc::new(Mutex::new(LatencyEstimator::new(ms(80))));
    QueryRouter::new(SnapshotId(1), balancers, estimator, constraints)
}

/// Without an entry for a shard that has no upstream, the log line of the refused query named no
/// cause.
#[gtest]
fn shard_without_an_upstream_is_listed_as_refused() {
    let router = router(vec![balancer(&[record(0, OWN_ZONE)]).shared(), balancer(&[]).shared()]);

    let expected = vec![(ShardIndex(1), AcquireError::NoReplica)];
    expect_that!(router.refusals(), eq(&expected));
}

/// The upstream of a query is replaced while it runs, and its second call goes to the new one. Its
/// outcome must reach the balancer.
#[gtest]
fn outcome_of_an_upstream_added_during_the_query_is_recorded() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let router = router(vec![balancer.shared()]);
    balancer.set_upstreams(at(1), &[&record(1, OWN_ZONE)]);

    let acquired =
        router.acquire(at(2), ShardIndex(0), &[upstream(0)], &[], CallKind::First).unwrap();
    router.release(at(3), acquired, CallOutcome::Withdrawn);

    expect_that!(acquired.upstream(), eq(upstream(1)));
    // An upstream without calls is forgotten once it is not active any more.
    balancer.set_upstreams(at(4), &[&record(0, OWN_ZONE)]);
    expect_that!(balancer.max_connections(upstream(1)), eq(0));
}
