//! Cold upstreams, to which all nodes together make a bounded number of calls.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::{AvailabilityZone, FastMap, FastSet, InstanceId, TimePoint, UpstreamId};
use mux_routing::{
    AcquireError, CallKind, CallOutcome,
    balancer::{NodePlace, UpstreamRecord, WarmUpBounds, WarmUpRule},
};
use mux_sharing::{BoundKey, NodeShares, NodeStanding};

use crate::fixtures::{
    NO_LATENCY_LIMIT, OTHER_ZONE, OWN_ZONE, acquire_first, at, latency_estimate, limits, ms,
    record, reply, upstream,
};
use crate::test_balancer::TestBalancer;

const BOUNDS: WarmUpBounds = WarmUpBounds { overage: 1.5, slack: 5.0 };
const PERIOD: Duration = Duration::from_secs(20);
/// Interval of the attempts of a node that presses.
const ATTEMPT_PERIOD_MS: u64 = 10;
/// Time from a call to its reply.
const REPLY_MS: u64 = 20;

/// Calls by upstream, with their times in milliseconds.
type Calls = FastMap<UpstreamId, Vec<u64>>;

fn rule(rate_per_s: f64) -> WarmUpRule {
    WarmUpRule { period: PERIOD, rate_per_s, bounds: BOUNDS, phase: 0.0 }
}

fn bound(rate_per_s: f64) -> f64 {
    rate_per_s * BOUNDS.overage + BOUNDS.slack
}

fn cold(idx: u16, zone: &str) -> UpstreamRecord {
    UpstreamRecord { warm_up_left: PERIOD, ..record(idx, zone) }
}

/// Returns the balancers of nodes in [`OWN_ZONE`] and [`OTHER_ZONE`] under the rule of a rate.
fn fleet(nodes: [u32; 2], rate_per_s: f64, records: &[UpstreamRecord]) -> Vec<TestBalancer> {
    let counts = [OWN_ZONE, OTHER_ZONE].into_iter().zip(nodes);
    let counts: FastMap<AvailabilityZone, u32> =
        counts.map(|(zone, count)| (AvailabilityZone::from(zone), count)).collect();
    let places = [OWN_ZONE, OTHER_ZONE].into_iter().zip(nodes).enumerate().flat_map(
        |(zone_rank, (zone, nodes))| {
            let place = move |rank: u32| NodePlace {
                rank: rank as usize,
                nodes: nodes as usize,
                zone_rank,
                zones: 2,
            };
            (0..nodes).map(move |rank| (AvailabilityZone::from(zone), place(rank)))
        },
    );
    let balancers = places.map(|(zone, place)| {
        let balancer = TestBalancer::new(limits(), zone.clone());
        balancer.set_rate_shares(&NodeShares::new(&zone, &counts, NodeStanding::Counted));
        balancer.set_warm_up_rule(
            TimePoint::ZERO,
            Some(WarmUpRule { phase: place.phase(), ..rule(rate_per_s) }),
        );
        balancer.set_upstreams(TimePoint::ZERO, &records.iter().collect::<Vec<_>>());
        balancer
    });
    balancers.collect()
}

/// Makes the calls of a node that are granted at `now`, `most` at the most.
fn call(balancer: &TestBalancer, now: u64, most: usize, calls: &mut Calls) -> usize {
    let granted = (0..most).map_while(|_| acquire_first(balancer, at(now)).ok());
    let granted: Vec<_> = granted.collect();
    for chosen in &granted {
        reply(balancer, *chosen, now, now);
        calls.entry(*chosen).or_default().push(now);
    }
    granted.len()
}

/// Returns the calls of nodes that press from `from` to `until`.
fn press(balancers: &[TestBalancer], from: u64, until: u64) -> Calls {
    let mut calls = Calls::default();
    for now in (from..until).step_by(ATTEMPT_PERIOD_MS as usize) {
        for balancer in balancers {
            call(balancer, now, 100, &mut calls);
        }
    }
    calls
}

/// Returns the largest number of calls in any second; `calls` are in order.
fn most_in_second(calls: &[u64]) -> usize {
    let within = |(idx, from): (usize, &u64)| calls.partition_point(|it| *it < from + 1_000) - idx;
    calls.iter().enumerate().map(within).max().unwrap_or_default()
}

/// All replicas of a shard are cold at once, and all nodes press them.
#[gtest]
fn cold_replicas_of_a_shard_get_what_they_sustain_from_all_nodes_together() {
    for nodes in [[1, 0], [2, 1], [3, 4], [0, 9]] {
        for rate_per_s in [4.0, 20.0, 60.0] {
            let records = [cold(0, OWN_ZONE), cold(1, OWN_ZONE), cold(2, OTHER_ZONE)];
            let balancers = fleet(nodes, rate_per_s, &records);

            let calls = press(&balancers, 0, 15_000);

            for (chosen, calls) in &calls {
                let case = format!("{chosen}: {rate_per_s} requests/s, {nodes:?} nodes");
                expect_that!(most_in_second(calls) as f64, le(bound(rate_per_s)), "{case}");
                expect_that!(calls.len() as f64, ge(rate_per_s * 15.0 * 0.8), "{case}");
            }
            expect_that!(calls.len(), eq(3));
        }
    }
}

/// Other replicas take what the bound holds back; without any, calls are refused at once.
#[gtest]
fn cold_upstream_leaves_the_rest_to_warm_ones() {
    let balancers = fleet([1, 0], 5.0, &[cold(0, OWN_ZONE), record(1, OTHER_ZONE)]);
    let mut calls = Calls::default();
    let made: usize =
        (1_000..6_000).step_by(10).map(|now| call(&balancers[0], now, 1, &mut calls)).sum();
    let alone = fleet([1, 0], 5.0, &[cold(0, OWN_ZONE)]);
    call(&alone[0], 3_000, 100, &mut Calls::default());

    expect_that!(made, eq(500));
    expect_that!(calls[&upstream(0)].len(), all![ge(20), le(26)]);
    expect_that!(
        acquire_first(&alone[0], at(3_000)),
        err(pat!(AcquireError::RateLimited { retry_after: le(ms(200)) }))
    );
    let reports = balancers[0].warm_up_reports(at(6_000));
    expect_that!(reports[0].calls, eq(calls[&upstream(0)].len() as u64));
    expect_that!(reports[0].held_back, ge(400));
}

/// An upstream turns cold under load. Each node learns of it by the reply to one of its calls, some only
/// a second later, and calls that it has made meanwhile must count.
#[gtest]
fn cold_upstream_is_spared_by_nodes_that_learn_late() {
    let rate_per_s = 20.0;
    let records = [0, 1, 2].map(|it| record(it, OWN_ZONE));
    let balancers = fleet([6, 0], rate_per_s, &records);
    let turns_cold_at = 2_000;
    let mut calls = Calls::default();
    let mut replies: Vec<(u64, usize, UpstreamId)> = Vec::new();
    for now in 0..8_000 {
        replies.retain(|(sent_at, node, chosen)| {
            if sent_at + REPLY_MS != now {
                return true;
            }
            reply(&balancers[*node], *chosen, *sent_at, now);
            if *chosen == upstream(0) && turns_cold_at <= *sent_at {
                let left = PERIOD.saturating_sub(ms(now - turns_cold_at));
                balancers[*node].record_warm_up(at(now), &"i-0".into(), at(*sent_at), left);
            }
            false
        });
        for (node, balancer) in balancers.iter().enumerate() {
            // Each node makes 20 calls a second, at times of its own.
            if !(now + 8 * node as u64).is_multiple_of(50) {
                continue;
            }
            let chosen = acquire_first(balancer, at(now)).expect("two upstreams are warm");
            calls.entry(chosen).or_default().push(now);
            replies.push((now, node, chosen));
        }
    }

    let cold_calls: Vec<_> =
        calls[&upstream(0)].iter().copied().filter(|it| turns_cold_at <= *it).collect();
    expect_that!(most_in_second(&cold_calls) as f64, le(bound(rate_per_s)));
    expect_that!(cold_calls.len(), ge(60));
}

/// A burst of calls that a node made just before it learnt of the warm-up counts against the bound.
#[gtest]
fn cold_upstream_is_spared_after_a_burst_before_a_node_learns() {
    let rate_per_s = 20.0;
    let balancers = fleet([1, 0], rate_per_s, &[record(0, OWN_ZONE)]);
    let mut calls = Calls::default();
    for now in 5_000..5_025 {
        call(&balancers[0], now, 1, &mut calls);
    }

    balancers[0].record_warm_up(at(5_025), &"i-0".into(), at(5_024), PERIOD);
    for now in 5_025..8_000 {
        call(&balancers[0], now, 1, &mut calls);
    }

    let calls = &calls[&upstream(0)];
    expect_that!(most_in_second(calls) as f64, le(bound(rate_per_s)));
    expect_that!(calls.len(), ge(55));
}

/// A zone returns with upstreams that may have turned cold before it was evacuated.
#[gtest]
fn cold_upstreams_of_a_returned_zone_are_bounded_under_a_burst() {
    let rate_per_s = 10.0;
    let old = record(0, OWN_ZONE);
    let balancers = fleet([2, 2], rate_per_s, &[old.clone(), record(1, OTHER_ZONE)]);
    let closed: FastSet<AvailabilityZone> = [OWN_ZONE.into()].into_iter().collect();
    let update = |now: u64, closed: &FastSet<_>, records: &[&UpstreamRecord]| {
        for balancer in &balancers {
            balancer.set_closed_zones(at(now), closed);
            balancer.set_upstreams(at(now), records);
        }
    };
    press(&balancers, 0, 100);
    update(1_000, &closed, &[&record(1, OTHER_ZONE)]);
    // This entry was read during the evacuation, so that it may be outdated at its end.
    let during = UpstreamRecord { sequence: 2, ..old.clone() };
    update(30_000, &FastSet::default(), &[&during, &record(1, OTHER_ZONE)]);

    let calls = press(&balancers, 30_000, 40_000);
    let returned = &calls[&upstream(0)];
    expect_that!(most_in_second(returned) as f64, le(bound(rate_per_s)));
    expect_that!(returned.len(), ge(70));

    let after = UpstreamRecord { sequence: 3, ..old };
    update(40_000, &FastSet::default(), &[&after, &record(1, OTHER_ZONE)]);
    let calls = press(&balancers, 40_000, 41_000);
    expect_that!(calls[&upstream(0)].len(), ge(1_000));
}

#[gtest]
fn cold_upstream_without_a_rule_is_called_as_before() {
    let balancers = fleet([1, 0], 5.0, &[cold(0, OWN_ZONE)]);
    balancers[0].set_warm_up_rule(TimePoint::ZERO, None);

    let calls = press(&balancers, 0, 100);

    // Each of ten attempts uses all connections: three for each of three slots.
    expect_that!(calls[&upstream(0)].len(), eq(90));
}

/// What is stated may be older than what is known.
#[gtest]
fn cold_upstream_stays_cold_in_spite_of_older_statements() {
    let instance = InstanceId::from("i-0");
    let balancers = fleet([1, 0], 5.0, &[record(0, OWN_ZONE)]);
    let balancer = &balancers[0];
    let is_cold = |now: u64| !balancer.warm_up_reports(at(now)).is_empty();
    balancer.record_warm_up(at(1_000), &instance, at(990), PERIOD);

    // The reply to an earlier call arrives late, and so does an earlier entry.
    balancer.record_warm_up(at(1_010), &instance, at(980), Duration::ZERO);
    expect_true!(is_cold(1_010));
    let entry = UpstreamRecord { sequence: 2, ..record(0, OWN_ZONE) };
    balancer.set_upstreams(at(1_020), &[&entry]);
    expect_true!(is_cold(1_020));

    balancer.record_warm_up(at(1_050), &instance, at(1_030), Duration::ZERO);
    expect_false!(is_cold(1_050));
    // The entry is listed again, which shows nothing new.
    balancer.record_warm_up(at(2_000), &instance, at(1_990), PERIOD);
    balancer.set_upstreams(at(9_000), &[&entry]);
    expect_true!(is_cold(9_000));
    expect_false!(is_cold(2_000 + PERIOD.as_millis() as u64));
}

/// Nodes without calls give their grants to those that need them.
#[gtest]
fn cold_upstream_gets_calls_by_borrowed_grants() {
    let balancers = fleet([2, 0], 40.0, &[cold(0, OWN_ZONE)]);
    let key = BoundKey::WarmUp(InstanceId::from("i-0"));
    let [busy, idle] = &balancers[..] else {
        panic!("there are two nodes");
    };
    while acquire_first(busy, at(5_000)).is_ok() {}

    let lent = idle.lend_grants(at(5_000), &key, 10);
    busy.add_borrowed(at(5_000), &key, lent);

    expect_that!(lent, ge(1));
    let made = (0..10).take_while(|_| acquire_first(busy, at(5_000)).is_ok()).count();
    expect_that!(made, eq(lent as usize));
    expect_that!(idle.lend_grants(at(5_000), &key, 10), eq(0));
}

/// A query that is refused because of another shard keeps the grant; a hedge leaves one.
#[gtest]
fn cold_upstream_keeps_grants_for_first_calls() {
    let balancers = fleet([1, 0], 5.0, &[cold(0, OWN_ZONE)]);
    let balancer = &balancers[0];
    let hedge = |now: u64| {
        let kind = CallKind::Hedge;
        balancer.acquire(at(now), &[], kind, &latency_estimate(), NO_LATENCY_LIMIT).is_ok()
    };
    let now = (0..1_000).find(|it| acquire_first(balancer, at(*it)).is_ok()).expect("a grant");

    balancer.record_outcome(at(now), upstream(0), CallOutcome::Withdrawn, &latency_estimate());

    expect_false!(hedge(now));
    expect_that!(acquire_first(balancer, at(now)), ok(eq(upstream(0))));
    expect_that!(acquire_first(balancer, at(now)), err(anything()));
}
