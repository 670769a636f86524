//! Goodput, latency and extra load of routers in simulations.

use googletest::prelude::*;
use mux_routing::{HedgePolicy, RoutingPolicy};

use crate::{
    fixtures::{ms, policy, unlimited_policy},
    service_model::{ServiceModel, ServiceOutcome, ServiceSetup},
    upstream_model::UpstreamSetup,
};

const SEEDS: [u64; 3] = [11, 12, 13];
const UPSTREAM_COUNT: usize = 3;
const SHARD_COUNT: usize = 3;
const SERVICE_US: f64 = 10_000.0;
const SECONDS: u64 = 20;

fn upstream_setup() -> UpstreamSetup {
    UpstreamSetup {
        slots: 2,
        queue_limit: 8,
        service_us: SERVICE_US,
        straggler_share: 0.0,
        straggler_factor: 1.0,
        sheds_until_us: 0,
    }
}

/// Runs the service at `load` times its capacity.
fn run_setup(
    policy: &RoutingPolicy,
    upstream_setups: &[UpstreamSetup],
    setup: ServiceSetup,
    load: f64,
    seed: u64,
) -> ServiceOutcome {
    let slots: usize = upstream_setups.iter().map(|it| it.slots).sum();
    let capacity = slots as f64 / SERVICE_US * 1e6 / setup.shards as f64;
    let policy = RoutingPolicy { sharing_nodes: setup.nodes as u32, ..policy.clone() };
    ServiceModel::new(&policy, upstream_setups, setup, seed).run(capacity * load, SECONDS, capacity)
}

fn run(
    policy: &RoutingPolicy,
    upstream_setups: &[UpstreamSetup],
    load: f64,
    seed: u64,
) -> ServiceOutcome {
    let setup = ServiceSetup { nodes: 1, shards: SHARD_COUNT, replicas: UPSTREAM_COUNT };
    run_setup(policy, upstream_setups, setup, load, seed)
}

#[gtest]
fn goodput_stays_high_at_twice_the_capacity() {
    for seed in SEEDS {
        let outcome = run(&policy(), &[upstream_setup(); UPSTREAM_COUNT], 2.0, seed);

        expect_that!(outcome.goodput_ratio, ge(0.9), "seed {seed}");
        expect_that!(outcome.extra_load, lt(0.01), "seed {seed}");
        expect_that!(outcome.failed, lt(outcome.answered / 100), "seed {seed}");
    }
}

#[gtest]
fn goodput_stays_high_at_twice_the_capacity_with_shared_upstreams() {
    for (nodes, shards) in [(3, 12), (7, 12)] {
        let setup = ServiceSetup { nodes, shards, replicas: 2 };

        let outcome = run_setup(&policy(), &[upstream_setup(); 12], setup, 2.0, SEEDS[0]);

        expect_that!(outcome.goodput_ratio, ge(0.9), "{nodes} nodes");
        expect_that!(outcome.extra_load, lt(0.01), "{nodes} nodes");
    }
}

#[gtest]
fn hedging_halves_tail_latency_within_the_extra_load_budget() {
    let straggling =
        UpstreamSetup { straggler_share: 0.01, straggler_factor: 20.0, ..upstream_setup() };
    for seed in SEEDS {
        let without = run(&unlimited_policy(), &[straggling; UPSTREAM_COUNT], 0.3, seed);
        let with = run(&policy(), &[straggling; UPSTREAM_COUNT], 0.3, seed);

        expect_that!(with.p99_ms, le(without.p99_ms / 2.0), "seed {seed}");
        expect_that!(with.extra_load, le(0.05), "seed {seed}");
        expect_that!(with.failed, le(without.failed), "seed {seed}");
    }
}

#[gtest]
fn one_shedding_upstream_fails_few_queries() {
    let shedding = UpstreamSetup { sheds_until_us: u64::MAX, ..upstream_setup() };
    for seed in SEEDS {
        let outcome = run(&policy(), &[shedding, upstream_setup(), upstream_setup()], 0.3, seed);

        expect_that!(outcome.failed + outcome.refused, le(outcome.answered / 100), "seed {seed}");
        expect_that!(outcome.extra_load, le(0.05), "seed {seed}");
    }
}

#[gtest]
fn fixed_delay_without_budget_hedges_every_slow_call() {
    let baseline = RoutingPolicy {
        hedge: HedgePolicy::Fixed(ms(1)),
        extra_load_budget: None,
        ..unlimited_policy()
    };

    let outcome = run(&baseline, &[upstream_setup(); UPSTREAM_COUNT], 0.2, SEEDS[0]);

    expect_that!(outcome.extra_load, gt(0.9));
}
