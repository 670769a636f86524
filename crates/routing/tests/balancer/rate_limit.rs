//! Rate limits that upstreams state for all nodes together.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::{AvailabilityZone, FastMap, InstanceId, TimePoint, UpstreamId};
use mux_routing::{AcquireError, CallKind, CallOutcome, balancer::RateLimitChange};
use mux_sharing::{BoundKey, NodeShares, NodeStanding};

use crate::fixtures::{
    NO_LATENCY_LIMIT, OTHER_ZONE, OWN_ZONE, acquire_first, at, balancer, latency_estimate, limits,
    ms, record, reply, upstream,
};
use crate::test_balancer::TestBalancer;

/// Interval of the attempts of a node that presses; each makes as many calls as are granted.
const ATTEMPT_PERIOD_MS: u64 = 10;
const WINDOW: Duration = Duration::from_secs(4);

fn state_limit(balancer: &TestBalancer, idx: u16, now: u64, rate: f64) {
    let instance = InstanceId::from(format!("i-{idx}"));
    balancer.record_rate_limit(at(now), &instance, at(now), Some(rate));
}

/// Calls upstream 0, which replies at once; returns whether the call was made.
fn try_call(balancer: &TestBalancer, now: u64) -> bool {
    let acquired = acquire_first(balancer, at(now));
    acquired.is_ok_and(|it| {
        reply(balancer, it, now, now);
        it == upstream(0)
    })
}

/// Returns the shares of one node in `zone` in a fleet with nodes in these zones.
fn shares(zone: &str, nodes: &[(&str, u32)], standing: NodeStanding) -> NodeShares {
    let counts: FastMap<AvailabilityZone, u32> =
        nodes.iter().map(|(zone, count)| (AvailabilityZone::from(*zone), *count)).collect();
    NodeShares::new(&zone.into(), &counts, standing)
}

/// Returns one balancer for each node of a fleet, with upstream 0 in [`OWN_ZONE`].
fn fleet(nodes: &[(&str, u32)]) -> Vec<TestBalancer> {
    let of_zone = |(zone, count): &(&str, u32)| {
        let zone = (*zone).to_owned();
        (0..*count).map(move |_| zone.clone())
    };
    let balancers = nodes.iter().flat_map(of_zone).map(|zone| {
        let balancer = TestBalancer::new(limits(), zone.as_str().into());
        balancer.set_rate_shares(&shares(&zone, nodes, NodeStanding::Counted));
        balancer.set_upstreams(TimePoint::ZERO, &[&record(0, OWN_ZONE)]);
        balancer
    });
    balancers.collect()
}

/// Returns the largest number of calls in any window.
fn most_in_window(calls: &[u64]) -> usize {
    let within =
        |from: u64| calls.iter().filter(move |it| from <= **it && at(**it) < at(from) + WINDOW);
    calls.iter().map(|from| within(*from).count()).max().unwrap_or_default()
}

/// Returns the times of the calls of all nodes, each of which makes as many as are granted in these
/// periods.
fn press(balancers: &[TestBalancer], periods: &[(u64, u64)]) -> Vec<u64> {
    let mut calls = Vec::new();
    for (from, until) in periods {
        for now in (*from..*until).step_by(ATTEMPT_PERIOD_MS as usize) {
            for balancer in balancers {
                calls.extend(
                    std::iter::repeat_with(|| try_call(balancer, now))
                        .take_while(|it| *it)
                        .map(|_| now),
                );
            }
        }
    }
    calls
}

/// All nodes press a limited upstream, at once after a quiet time too.
#[gtest]
fn rate_limited_upstream_gets_its_rate_from_a_fleet_that_presses_it() {
    let fleets: [&[(&str, u32)]; 4] = [
        &[(OWN_ZONE, 1)],
        &[(OWN_ZONE, 3), (OTHER_ZONE, 2), ("nbg-a", 2)],
        &[(OTHER_ZONE, 9)],
        &[(OWN_ZONE, 3), (OTHER_ZONE, 3), ("nbg-a", 3), ("nbg-b", 3), ("rgb-a", 3)],
    ];
    for nodes in fleets {
        for rate in [3.0, 11.3, 30.0, 400.0] {
            let balancers = fleet(nodes);
            balancers.iter().for_each(|it| state_limit(it, 0, 0, rate));

            let calls = press(&balancers, &[(1_000, 13_000), (40_000, 46_000)]);

            let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
            let case = format!("{rate} requests/s, {nodes:?}");
            expect_that!(most_in_window(&calls) as f64, le(allowed), "{case}");
            let in_first_period = calls.iter().filter(|it| **it < 13_000).count();
            expect_that!(in_first_period as f64, ge(rate * 12.0 * 0.8), "{case}");
        }
    }
}

/// A limit of zero must not keep an upstream out of service for good.
#[gtest]
fn rate_limited_upstream_that_takes_no_requests_is_called_rarely() {
    let balancers = fleet(&[(OWN_ZONE, 2)]);
    balancers.iter().for_each(|it| state_limit(it, 0, 0, 0.0));

    let calls = press(&balancers, &[(0, 60_000)]);

    expect_that!(calls.len(), all![ge(5), le(16)]);
}

#[gtest]
fn rate_limit_without_grant_is_refused_with_the_time_of_the_next_one() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    state_limit(&balancer, 0, 0, 4.0);
    while try_call(&balancer, 10_000) {}

    let refused = acquire_first(&balancer, at(10_000));

    let Err(AcquireError::RateLimited { retry_after }) = refused else {
        panic!("the call is refused because of the limit: {refused:?}");
    };
    expect_that!(retry_after, all![gt(ms(0)), le(ms(250))]);
    expect_true!(try_call(&balancer, 10_000 + retry_after.as_millis() as u64 + 1));
}

#[gtest]
fn rate_limited_upstream_leaves_the_rest_to_the_others() {
    let balancer = balancer(&[record(0, OWN_ZONE), record(1, OTHER_ZONE)]);
    state_limit(&balancer, 0, 0, 2.0);

    let mut by_upstream: FastMap<UpstreamId, u32> = FastMap::default();
    for now in (10_000..14_000).step_by(20) {
        let chosen = acquire_first(&balancer, at(now)).expect("one upstream has no limit");
        reply(&balancer, chosen, now, now + 10);
        *by_upstream.entry(chosen).or_default() += 1;
    }

    expect_that!(by_upstream[&upstream(0)], all![ge(7), le(10)]);
    expect_that!(by_upstream[&upstream(1)], ge(190));
}

/// Hedges reach the upstream as well, and must not use up what first calls need.
#[gtest]
fn rate_limit_counts_hedges_and_leaves_a_grant_for_a_first_call() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    state_limit(&balancer, 0, 0, 5.0);
    let acquire =
        |kind| balancer.acquire(at(10_000), &[], kind, &latency_estimate(), NO_LATENCY_LIMIT);

    let hedges = (0..100).take_while(|_| acquire(CallKind::Hedge).is_ok()).count();

    expect_that!(hedges, all![ge(3), le(5)]);
    expect_that!(acquire(CallKind::First), ok(eq(upstream(0))));
    expect_that!(acquire(CallKind::First), err(pat!(AcquireError::RateLimited { .. })));
}

/// A query that is refused because of one shard keeps the grants of the others.
#[gtest]
fn rate_limit_grant_of_a_withdrawn_call_is_used_by_the_next() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    state_limit(&balancer, 0, 0, 0.5);
    let now = (2_000..4_000).find(|it| acquire_first(&balancer, at(*it)).is_ok()).expect("a grant");

    balancer.record_outcome(at(now), upstream(0), CallOutcome::Withdrawn, &latency_estimate());

    expect_that!(acquire_first(&balancer, at(now)), ok(eq(upstream(0))));
    expect_that!(acquire_first(&balancer, at(now)), err(pat!(AcquireError::RateLimited { .. })));
}

#[gtest]
fn rate_limit_ends_with_a_reply_that_states_none() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    let instance = InstanceId::from("i-0");
    state_limit(&balancer, 0, 1_000, 2.0);

    // The upstream may have sent the reply to an earlier call before it stated the limit.
    let early = balancer.record_rate_limit(at(1_100), &instance, at(900), None);
    let late = balancer.record_rate_limit(at(1_200), &instance, at(1_050), None);

    expect_that!(early, none());
    expect_that!(late, some(pat!(RateLimitChange::Ended(_))));
    expect_that!((0..100).filter(|it| try_call(&balancer, 1_200 + it)).count(), eq(100));
}

/// The next grant under the former rate or share may be seconds away.
#[gtest]
fn rate_limit_change_takes_effect_at_once() {
    for calls_before in [0, 1] {
        let balancer = balancer(&[record(0, OWN_ZONE)]);
        state_limit(&balancer, 0, 0, 0.5);
        let now = (10_000..12_000).find(|it| calls_before == 0 || try_call(&balancer, *it));
        let now = now.expect("a grant within one period");
        state_limit(&balancer, 0, now, 100.0);

        let calls = press(&[balancer], &[(now, now + 1_000)]);

        expect_that!(calls.len(), ge(90), "{calls_before} calls before");
    }
}

#[gtest]
fn rate_share_change_takes_effect_at_once() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    balancer.set_rate_shares(&shares(OWN_ZONE, &[(OWN_ZONE, 200)], NodeStanding::Counted));
    state_limit(&balancer, 0, 0, 100.0);
    let now = (10_000..12_000).find(|it| try_call(&balancer, *it)).expect("a grant");

    balancer.set_rate_shares(&shares(OWN_ZONE, &[(OWN_ZONE, 1)], NodeStanding::Counted));
    let with_all = press(&[balancer], &[(now, now + 1_000)]);

    expect_that!(with_all.len(), ge(90));
}

#[gtest]
fn rate_limit_of_a_former_process_does_not_apply() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    state_limit(&balancer, 0, 0, 0.5);
    let mut restarted = record(0, OWN_ZONE);
    restarted.started_ms += 1;

    balancer.set_upstreams(at(10), &[&restarted]);

    expect_that!((0..100).filter(|it| try_call(&balancer, 10 + it)).count(), eq(100));
}

/// The record of an upstream may vanish and reappear while its limit holds.
#[gtest]
fn rate_limit_is_remembered_while_the_record_is_absent() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    state_limit(&balancer, 0, 0, 0.5);

    balancer.set_upstreams(at(10), &[]);
    balancer.set_upstreams(at(20), &[&record(0, OWN_ZONE)]);

    expect_that!((0..100).filter(|it| try_call(&balancer, 20 + it)).count(), le(1));
}

#[gtest]
fn rate_shares_of_all_nodes_add_up_to_one() {
    let zones = [OWN_ZONE, OTHER_ZONE, "nbg-a"];
    for nodes in [[1, 0, 0], [3, 2, 2], [1, 9, 0], [100, 1, 30]] {
        let counts: Vec<(&str, u32)> = zones.into_iter().zip(nodes).collect();
        for upstream_zone in zones.into_iter().chain(["without-nodes"]) {
            let of_zone = |(zone, count): &(&str, u32)| {
                let shares = shares(zone, &counts, NodeStanding::Counted);
                shares.share(&upstream_zone.into()) * f64::from(*count)
            };

            let sum: f64 = counts.iter().map(of_zone).sum();

            expect_that!(sum, approx_eq(1.0), "{counts:?}, upstream in {upstream_zone}");
        }
    }
}

/// Nodes that the store hides or callers do not use share what the margin of the limit leaves.
#[gtest]
fn rate_share_of_an_uncounted_node_is_a_part_of_a_counted_one() {
    let nodes = [(OWN_ZONE, 4)];
    let zone = OWN_ZONE.into();

    let counted = shares(OWN_ZONE, &nodes, NodeStanding::Counted).share(&zone);
    let uncounted = shares(OWN_ZONE, &nodes, NodeStanding::Hidden).share(&zone);

    expect_that!(uncounted, approx_eq(counted / 4.0));
}

/// One node makes all calls: the others lend it what they do not use, and the upstream gets its rate.
#[gtest]
fn rate_limit_grants_move_to_the_node_that_misses_them() {
    let nodes = [(OWN_ZONE, 4)];
    let balancers = fleet(&nodes);
    state_limit(&balancers[0], 0, 0, 20.0);
    let key = BoundKey::UpstreamRate(InstanceId::from("i-0"));
    let rate = balancers[0].stated_rate(&key).expect("a limit");
    expect_true!(balancers[1..].iter().all(|it| it.learn_rate_limit(at(0), &key, rate)));
    let mut calls = Vec::new();

    for now in (1_000..13_000).step_by(ATTEMPT_PERIOD_MS as usize) {
        calls.extend(try_call(&balancers[0], now).then_some(now));
        for (missing, count) in balancers[0].take_missing_grants() {
            expect_that!(missing, eq(&key));
            let lenders = balancers[1..].iter();
            let lent = lenders.map(|it| it.lend_grants(at(now), &key, count)).sum();
            balancers[0].add_borrowed(at(now), &key, lent);
        }
    }

    expect_that!(calls.len(), ge(200));
    // One and a half times the rate, and five requests.
    expect_that!(most_in_window(&calls), le(125));
}
