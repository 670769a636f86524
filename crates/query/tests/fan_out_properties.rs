//! Invariants of a fan-out under random sequences of events.

mod fixtures;

use std::collections::BTreeSet;

use fixtures::{Harness, Input, PlanScript, RouterScript, failure, millis};
use mux_model::{ShardIndex, TimePoint, Verdict};
use mux_query::{FanOutPlan, FanOutResult};
use proptest::{
    prelude::*,
    sample::{select, subsequence},
    test_runner::{RngSeed, TestCaseResult},
};

const UPSTREAMS: &[u32] = &[0, 1, 2, 3, 4, 5];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_for_every_order_of_events(
        plan in plan(),
        script in script(),
        steps in prop::collection::vec((0..60_u64, input()), 0..60),
    ) {
        Replay::new(plan.plan(), script).run(steps)?;
    }
}

/// A fan-out with an independent record of how its calls ended.
struct Replay {
    plan: FanOutPlan,
    harness: Harness,
    answered: BTreeSet<ShardIndex>,
    /// Calls that provably did not run.
    not_run: BTreeSet<usize>,
}

impl Replay {
    fn new(plan: FanOutPlan, script: RouterScript) -> Self {
        let harness = Harness::new(plan.clone(), script);
        Self { plan, harness, answered: BTreeSet::new(), not_run: BTreeSet::new() }
    }

    fn run(&mut self, steps: Vec<(u64, Input)>) -> TestCaseResult {
        let mut now = 0;
        self.step(millis(now), Input::Start)?;
        for (pause, input) in steps {
            now += pause;
            if input.call().is_none_or(|it| (it as usize) < self.harness.sent.len()) {
                self.step(millis(now), input)?;
            }
        }
        self.step(self.plan.deadline.max(millis(now)), Input::Wake)?;
        prop_assert_eq!(self.harness.results.len(), 1);
        prop_assert_eq!(self.harness.script(|it| it.held_slots()), 0);
        Ok(())
    }

    fn step(&mut self, now: TimePoint, input: Input) -> TestCaseResult {
        let was_finished = self.harness.fan_out.is_finished();
        let first_new = self.harness.sent.len();
        self.record_end(&input);
        self.harness.input(now, &input);
        let open_calls = self.harness.sent.iter().filter(|it| it.open).count();
        prop_assert_eq!(self.harness.script(|it| it.held_slots()), open_calls);
        prop_assert!(self.harness.results.len() <= 1);
        for call in first_new..self.harness.sent.len() {
            prop_assert!(!was_finished);
            self.check_call(call)?;
        }
        match self.harness.results.first() {
            None => {
                let wake_at = self.harness.wake_at;
                prop_assert!(wake_at.is_some_and(|it| it <= self.plan.deadline));
            }
            Some((_, result)) if !was_finished => self.check_result(result)?,
            Some(_) => {}
        }
        Ok(())
    }

    /// Records what the end of an open call proves.
    fn record_end(&mut self, input: &Input) {
        let call = input.call().map(|it| (it, *self.harness.call(it)));
        let Some((number, call)) = call.filter(|it| it.1.open) else {
            return;
        };
        match input {
            Input::Reply(_) => _ = self.answered.insert(call.shard),
            Input::Fail(_, text) if failure(text).verdict() == Verdict::NotRun => {
                self.not_run.insert(number as usize);
            }
            _ => {}
        }
    }

    fn check_call(&self, call: usize) -> TestCaseResult {
        let sent = self.harness.sent[call];
        prop_assert!(!self.answered.contains(&sent.shard));
        prop_assert!(self.plan.map.replicas(sent.shard).contains(&sent.upstream));
        for (earlier, other) in self.harness.sent[..call].iter().enumerate() {
            if other.shard == sent.shard {
                prop_assert_ne!(other.upstream, sent.upstream);
                prop_assert!(self.plan.idempotent || self.not_run.contains(&earlier));
            }
        }
        Ok(())
    }

    fn check_result(&self, result: &FanOutResult) -> TestCaseResult {
        prop_assert!(self.harness.sent.iter().all(|it| !it.open));
        prop_assert_eq!(result.coverage.total, self.plan.map.shard_count());
        if result.verdict == Verdict::Done {
            let shards: Vec<ShardIndex> = result.shards.iter().map(|it| it.shard).collect();
            let answered: Vec<ShardIndex> = self.answered.iter().copied().collect();
            prop_assert!(!shards.is_empty());
            prop_assert_eq!(shards, answered);
            prop_assert_eq!(result.coverage.contributed as usize, result.shards.len());
            prop_assert!(result.coverage.meets(self.plan.coverage_minimum));
            return Ok(());
        }
        let is_not_run = self.not_run.len() == self.harness.sent.len();
        prop_assert_eq!(result.verdict == Verdict::NotRun, is_not_run);
        prop_assert!(result.retry_after.is_some());
        Ok(())
    }
}

prop_compose! {
    fn plan()(
        shards in prop::collection::vec(subsequence(UPSTREAMS, 0..4), 1..7),
        idempotent in any::<bool>(),
        is_suspect in any::<bool>(),
        coverage_target in select(vec![0.5, 0.9, 1.0]),
        coverage_minimum in select(vec![0.0, 0.3, 0.5, 1.0]),
    ) -> PlanScript {
        PlanScript { shards, idempotent, is_suspect, coverage_target, coverage_minimum, ..PlanScript::default() }
    }
}

prop_compose! {
    fn script()(
        hedge_ms in prop::option::of(5..200_u64),
        extra_calls in 0..8_u32,
        down in subsequence(UPSTREAMS, 0..2),
        slots in prop::option::of(1..3_u32),
    ) -> RouterScript {
        RouterScript {
            hedge_ms,
            extra_calls,
            down,
            slots,
            saturated_retry_after_ms: 30,
            ..Default::default()
        }
    }
}

fn input() -> impl Strategy<Value = Input> {
    let failures = [
        "not sent",
        "shed by the upstream",
        "snapshot not held",
        "connection lost",
        "upstream process ended",
    ];
    let failure = select(failures.to_vec()).prop_map(String::from);
    let mismatched =
        |call| Input::Mismatched { call, request: None, snapshot: Some(41), shard: None };
    prop_oneof![
        6 => (0..16_u32).prop_map(Input::Reply),
        2 => (0..16_u32).prop_map(mismatched),
        5 => (0..16_u32, failure).prop_map(|(call, it)| Input::Fail(call, it)),
        1 => (0..6_u32).prop_map(Input::Saturate),
        1 => Just(Input::SlotsFree),
        1 => Just(Input::StopIfSnapshotUnavailable),
        3 => Just(Input::Wake),
    ]
}
