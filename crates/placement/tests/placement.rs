//! Selection of home nodes, watchers and caller addresses.

use std::net::SocketAddr;

use googletest::prelude::*;
use mux_model::{AvailabilityZone, FastMap, FastSet, NodeId, ServiceName};
use mux_placement::{
    AddressPlanner, AddressQuery, CandidateNode, HomeLimits, home_nodes, watcher_nodes,
};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

fn candidate(idx: usize, zones: usize) -> CandidateNode {
    CandidateNode {
        node: format!("node-{idx}").into(),
        availability_zone: format!("zone-{}", idx % zones).into(),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 7_000 + idx as u16)),
        load: 10,
        available: true,
    }
}

fn candidates(count: usize, zones: usize) -> Vec<CandidateNode> {
    (0..count).map(|it| candidate(it, zones)).collect()
}

fn service(idx: usize) -> ServiceName {
    format!("service-{idx}").into()
}

fn zones_of(nodes: &[NodeId], members: &[CandidateNode]) -> FastMap<AvailabilityZone, usize> {
    let mut zones = FastMap::default();
    for member in members.iter().filter(|it| nodes.contains(&it.node)) {
        *zones.entry(member.availability_zone.clone()).or_insert(0) += 1;
    }
    zones
}

/// Returns how often each node is the first address, over 4,000 requests of 50 callers.
fn first_addresses(
    members: &[CandidateNode],
    near_zones: &[AvailabilityZone],
) -> FastMap<NodeId, usize> {
    let mut counts = FastMap::default();
    for seed in 0..4_000 {
        let caller = format!("caller-{}", seed % 50);
        let query = AddressQuery { caller: &caller, near_zones, seed };
        let answer = AddressPlanner::default().plan(&query, members);
        *counts.entry(answer.addresses[0].node.clone()).or_insert(0) += 1;
    }
    counts
}

#[gtest]
fn home_counts_follow_the_connection_limits() {
    let cases = [
        // Connections, reserve, live nodes, home nodes, connection share.
        (25, 4, 7, 7, 3),
        (30, 4, 7, 7, 3),
        (25, 4, 400, 10, 2),
        (100, 4, 400, 48, 2),
        (100, 4, 7, 7, 13),
        (1, 4, 400, 1, 1),
        (25, 4, 0, 0, 21),
    ];

    for (connections, reserve, live, homes, share) in cases {
        let limits = HomeLimits::new(connections, reserve);
        let count = limits.home_count(live);

        expect_that!(count, eq(homes), "{connections} connections, {live} nodes");
        expect_that!(limits.connection_share(count), eq(share), "{connections}, {live}");
    }
}

#[gtest]
fn shares_of_all_homes_stay_within_the_connection_limit() {
    for connections in 5..120 {
        for live in 1..60 {
            let limits = HomeLimits::new(connections, 4);
            let homes = limits.home_count(live);
            let total = limits.connection_share(homes) * homes as u32;

            expect_that!(total, le(connections), "{connections} connections, {live} nodes");
        }
    }
}

#[gtest]
fn home_nodes_are_spread_over_zones_and_services_over_nodes() {
    let members = candidates(400, 10);
    let mut services_per_node: FastMap<NodeId, usize> = FastMap::default();

    for idx in 0..400 {
        let homes = home_nodes(&service(idx), &members, 10);
        let zones = zones_of(&homes, &members);
        expect_that!(zones.len(), eq(10), "service {idx}");
        for home in homes {
            *services_per_node.entry(home).or_insert(0) += 1;
        }
    }

    let max_services = services_per_node.values().max().copied().unwrap_or(0);
    expect_that!(max_services, le(30), "10 services per node on average");
}

#[gtest]
fn loss_of_a_node_replaces_only_its_own_homes() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let inputs = (2_usize..60, 1_usize..6, 1_usize..20, 0_usize..1_000, 0_usize..1_000);

    let outcome = runner.run(&inputs, |(nodes, zones, count, lost, service_idx)| {
        let members = candidates(nodes, zones);
        let lost = candidate(lost % nodes, zones).node;
        let rest: Vec<_> = members.iter().filter(|it| it.node != lost).cloned().collect();
        let before = home_nodes(&service(service_idx), &members, count);
        let after = home_nodes(&service(service_idx), &rest, count);
        let dropped: Vec<_> = before.iter().filter(|it| !after.contains(it)).collect();
        let gained = after.iter().filter(|it| !before.contains(it)).count();
        let only_lost_replaced = dropped.iter().all(|it| **it == lost) && gained <= dropped.len();
        match only_lost_replaced {
            true => Ok(()),
            false => Err(TestCaseError::fail(format!(
                "home nodes {before:?}; without {lost}: {after:?}"
            ))),
        }
    });

    expect_that!(outcome, ok(anything()));
}

#[gtest]
fn watcher_count_depends_on_zones_not_on_fleet_size() {
    for (nodes, zones, expected) in
        [(1, 1, 1), (2, 1, 2), (7, 3, 6), (7, 1, 2), (60, 3, 6), (400, 3, 6), (400, 10, 20)]
    {
        let watchers = watcher_nodes(&candidates(nodes, zones));

        expect_that!(watchers.len(), eq(expected), "{nodes} nodes in {zones} zones");
    }
}

#[gtest]
fn first_address_is_near_and_two_zones_are_covered() {
    let members = candidates(7, 3);
    for zone in ["zone-0", "zone-1", "zone-2"] {
        for seed in 0..200 {
            let near_zones = [AvailabilityZone::from(zone)];
            let query = AddressQuery { caller: "shop", near_zones: &near_zones, seed };

            let answer = AddressPlanner::default().plan(&query, &members);

            let zones: FastSet<_> =
                answer.addresses.iter().map(|it| &it.availability_zone).collect();
            let nodes: FastSet<_> = answer.addresses.iter().map(|it| &it.node).collect();
            expect_that!(answer.addresses[0].availability_zone.as_str(), eq(zone));
            expect_that!(zones.len(), ge(2));
            expect_that!(nodes.len(), eq(3));
            expect_that!(answer.lifetime_ms, all![ge(8_000), le(12_000)]);
        }
    }
}

#[gtest]
fn unavailable_nodes_are_not_offered() {
    let mut members = candidates(7, 3);
    members[2].available = false;
    for seed in 0..200 {
        let query = AddressQuery { caller: "shop", near_zones: &[], seed };
        let answer = AddressPlanner::default().plan(&query, &members);
        let is_offered = answer.addresses.iter().any(|it| it.node == members[2].node);
        expect_that!(is_offered, eq(false));
    }
    members.iter_mut().for_each(|it| it.available = false);
    let query = AddressQuery { caller: "shop", near_zones: &[], seed: 1 };
    let answer = AddressPlanner::default().plan(&query, &members);
    expect_that!(answer.addresses, is_empty());
}

#[gtest]
fn least_loaded_node_gets_more_callers_but_not_all() {
    let mut members = candidates(7, 3);
    members[0].load = 0;
    members[1].load = 60;

    let counts = first_addresses(&members, &[]);

    let first_count = |idx: usize| counts.get(&members[idx].node).copied().unwrap_or(0);
    expect_that!(first_count(0), all![gt(first_count(2)), lt(4_000 / 3)]);
    expect_that!(first_count(1), all![lt(first_count(2)), gt(0)]);
}

#[gtest]
fn equally_loaded_nodes_get_equal_shares() {
    let counts = first_addresses(&candidates(7, 3), &[]);

    for (node, count) in counts {
        expect_that!(count, all![ge(400), le(750)], "{node}");
    }
}

#[gtest]
fn near_zone_with_far_more_load_is_no_longer_preferred() {
    let mut members = candidates(9, 3);
    members.iter_mut().for_each(|it| it.load = 2);
    let near = [AvailabilityZone::from("zone-0")];
    let first_count_in_zone_1 = |members: &[CandidateNode]| {
        let counts = first_addresses(members, &near);
        members.iter().skip(1).step_by(3).filter_map(|it| counts.get(&it.node)).sum::<usize>()
    };
    expect_that!(first_count_in_zone_1(&members), eq(0));

    members.iter_mut().step_by(3).for_each(|it| it.load = 100);

    expect_that!(first_count_in_zone_1(&members), gt(1_000));
}
