//! Invariants that hold after any sequence of events.

use std::collections::BTreeMap;

use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};
use mux_routing::{CallKind, CallOutcome, RoutingPolicy, SlotShare};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::fixtures::{
    DRAINING, NOT_DRAINING, ms, not_run, policy, router, shed, upstream, upstreams,
};

const UPSTREAM_COUNT: u8 = 3;

#[derive(Debug, Clone)]
enum Step {
    Acquire(CallKind),
    Release(usize, CallOutcome),
    Draining(u8, bool),
    Advance(u64),
}

fn any_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => (1..200_u64).prop_map(|it| CallOutcome::Replied(ms(it))),
        1 => (0..200_u64).prop_map(|it| CallOutcome::Cancelled(ms(it))),
        1 => proptest::option::of(any::<u64>()).prop_map(|it| shed(it.map(ms))),
        1 => Just(not_run(NotRunReason::NotSent, None)),
        1 => Just(CallOutcome::Failed(CallFailure::ConnectionLost, ms(1))),
        1 => Just(CallOutcome::Failed(CallFailure::DeadlinePassed, ms(900))),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![Just(CallKind::First), Just(CallKind::Hedge), Just(CallKind::Retry)];
    prop_oneof![
        4 => kind.prop_map(Step::Acquire),
        4 => (any::<usize>(), any_outcome()).prop_map(|(call, it)| Step::Release(call, it)),
        1 => (0..UPSTREAM_COUNT, any::<bool>()).prop_map(|(it, is_on)| Step::Draining(it, is_on)),
        2 => (0..3_000_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn calls_in_flight_are_counted_and_stay_within_the_limit(
        steps in collection::vec(any_step(), 1..200),
        slots in 1..8_u32,
        sharing_nodes in 1..8_u32,
    ) {
        let policy =
            RoutingPolicy { slots_per_upstream: Some(slots), sharing_nodes, ..policy() };
        let max_in_flight = SlotShare::new(slots, sharing_nodes).max_in_flight;
        let router = router(&policy, UPSTREAM_COUNT);
        let mut now = TimePoint::ZERO;
        let mut calls: Vec<UpstreamId> = Vec::new();
        let mut drained_at = BTreeMap::new();

        for step in steps {
            match step {
                Step::Acquire(kind) => {
                    if let Ok(chosen) = router.acquire(now, &upstreams(UPSTREAM_COUNT), &[], kind) {
                        prop_assert!(!drained_at.contains_key(&chosen));
                        calls.push(chosen);
                    }
                }
                Step::Release(_, _) if calls.is_empty() => {}
                Step::Release(call, outcome) => {
                    let ended = calls.swap_remove(call % calls.len());
                    router.release(now, ended, outcome);
                }
                Step::Draining(number, true) => {
                    router.observe(now, upstream(number), DRAINING);
                    drained_at.insert(upstream(number), now);
                }
                Step::Draining(number, false) => {
                    router.observe(now, upstream(number), NOT_DRAINING);
                    drained_at.retain(|it, at| *it != upstream(number) || now < *at + ms(2_000));
                }
                Step::Advance(millis) => now = now + ms(millis),
            }
            for report in router.report(now).upstreams {
                let in_flight = calls.iter().filter(|it| **it == report.upstream).count();
                prop_assert_eq!(report.in_flight as usize, in_flight);
                prop_assert!(report.in_flight <= max_in_flight);
                prop_assert!(report.limit.is_some_and(|it| 1 <= it && it <= max_in_flight));
            }
        }
        for call in calls {
            router.release(now, call, CallOutcome::Cancelled(ms(0)));
        }
        let remaining: u32 = router.report(now).upstreams.iter().map(|it| it.in_flight).sum();
        prop_assert_eq!(remaining, 0);
    }
}
