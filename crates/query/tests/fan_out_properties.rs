//! What holds for every order of events.

mod fixtures;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fixtures::{Harness, Input, REQUEST, RouterScript, SNAPSHOT, millis, reply, upstream};
use mux_model::{
    CallFailure, NotRunReason, ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId, Verdict,
};
use mux_query::{CallReply, FanOutPlan, FanOutResult};
use proptest::{
    prelude::*,
    sample::{Index, select, subsequence},
    test_runner::{RngSeed, TestCaseResult},
};

const DEADLINE_MS: u64 = 1_000;

/// One event; calls are chosen among all that were sent, ended ones included.
#[derive(Debug, Clone)]
enum Step {
    Reply(Index),
    Foreign(Index),
    Fail(Index, CallFailure),
    Saturate(u32),
    SlotsFree,
    Wake,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold_for_every_order_of_events(
        plan in plan(),
        script in script(),
        steps in prop::collection::vec((0..60_u64, step()), 0..60),
    ) {
        Replay::new(plan, script).run(steps)?;
    }
}

/// A fan-out beside a record of what really happened to its calls.
struct Replay {
    plan: FanOutPlan,
    harness: Harness,
    answered: BTreeSet<ShardIndex>,
    /// Calls that provably did not run.
    unrun: BTreeSet<usize>,
}

impl Replay {
    fn new(plan: FanOutPlan, script: RouterScript) -> Self {
        let harness = Harness::new(plan.clone(), script);
        Self { plan, harness, answered: BTreeSet::new(), unrun: BTreeSet::new() }
    }

    fn run(&mut self, steps: Vec<(u64, Step)>) -> TestCaseResult {
        let mut now = 0;
        self.input(millis(now), Input::Start)?;
        for (pause, step) in steps {
            now += pause;
            self.step(millis(now), step)?;
        }
        self.input(millis(DEADLINE_MS.max(now)), Input::Wake)?;
        prop_assert_eq!(self.harness.results.len(), 1);
        prop_assert_eq!(self.harness.script(|it| it.open_slots()), 0);
        Ok(())
    }

    fn step(&mut self, now: TimePoint, step: Step) -> TestCaseResult {
        let input = match step {
            Step::Wake => Input::Wake,
            Step::Saturate(number) => {
                self.harness.script(|it| it.saturated.insert(upstream(number)));
                return Ok(());
            }
            Step::SlotsFree => {
                self.harness.script(|it| it.saturated.clear());
                return Ok(());
            }
            _ if self.harness.sent.is_empty() => return Ok(()),
            Step::Reply(idx) => self.reply(idx),
            Step::Foreign(idx) => {
                let call = idx.index(self.harness.sent.len());
                let reply = reply(self.harness.sent[call].shard);
                Input::Reply(call as u32, CallReply { snapshot: SnapshotId(41), ..reply })
            }
            Step::Fail(idx, failure) => self.fail(idx, failure),
        };
        self.input(now, input)
    }

    fn reply(&mut self, idx: Index) -> Input {
        let call = idx.index(self.harness.sent.len());
        let sent = self.harness.sent[call];
        if sent.open {
            self.answered.insert(sent.shard);
        }
        Input::Reply(call as u32, reply(sent.shard))
    }

    fn fail(&mut self, idx: Index, failure: CallFailure) -> Input {
        let call = idx.index(self.harness.sent.len());
        if self.harness.sent[call].open && failure.verdict() == Verdict::NotRun {
            self.unrun.insert(call);
        }
        Input::Fail(call as u32, failure)
    }

    fn input(&mut self, now: TimePoint, input: Input) -> TestCaseResult {
        let was_finished = self.harness.fan_out.is_finished();
        let first_new = self.harness.sent.len();
        self.harness.input(now, input);
        let open_calls = self.harness.sent.iter().filter(|it| it.open).count();
        prop_assert_eq!(self.harness.script(|it| it.open_slots()), open_calls);
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

    fn check_call(&self, call: usize) -> TestCaseResult {
        let sent = self.harness.sent[call];
        prop_assert!(!self.answered.contains(&sent.shard));
        prop_assert!(self.plan.map.replicas(sent.shard).contains(&sent.upstream));
        for (earlier, other) in self.harness.sent[..call].iter().enumerate() {
            if other.shard == sent.shard {
                prop_assert_ne!(other.upstream, sent.upstream);
                prop_assert!(self.plan.idempotent || self.unrun.contains(&earlier));
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
        let is_unrun = self.unrun.len() == self.harness.sent.len();
        prop_assert_eq!(result.verdict == Verdict::NotRun, is_unrun);
        prop_assert!(result.retry_after.is_some());
        Ok(())
    }
}

prop_compose! {
    fn plan()(
        replicas in prop::collection::vec(subsequence(upstreams(), 0..4), 1..7),
        idempotent in any::<bool>(),
        coverage_target in select(vec![0.5, 0.9, 1.0]),
        coverage_minimum in select(vec![0.0, 0.3, 0.5, 1.0]),
    ) -> FanOutPlan {
        FanOutPlan {
            request: REQUEST,
            map: Arc::new(SnapshotMap::new(SNAPSHOT, replicas)),
            idempotent,
            latency_target: millis(100),
            deadline: millis(DEADLINE_MS),
            coverage_target,
            coverage_minimum,
        }
    }
}

prop_compose! {
    fn script()(
        hedge_ms in prop::option::of(5..200_u64),
        extra_calls in 0..8_u32,
        down in subsequence(upstreams(), 0..2),
        slots_per_upstream in prop::option::of(1..3_u32),
    ) -> RouterScript {
        let hedge_delay = hedge_ms.map(Duration::from_millis);
        RouterScript {
            hedge_delay,
            extra_calls,
            down: down.into_iter().collect(),
            slots_per_upstream,
            slot_after: Duration::from_millis(30),
            ..RouterScript::default()
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let not_run = |reason| CallFailure::NotRun { reason, retry_after: None };
    let failures = vec![
        not_run(NotRunReason::NotSent),
        not_run(NotRunReason::Shed),
        not_run(NotRunReason::SnapshotMissing),
        CallFailure::ConnectionLost,
        CallFailure::Silent,
    ];
    prop_oneof![
        4 => any::<Index>().prop_map(Step::Reply),
        1 => any::<Index>().prop_map(Step::Foreign),
        3 => (any::<Index>(), select(failures)).prop_map(|(call, it)| Step::Fail(call, it)),
        1 => (0..6_u32).prop_map(Step::Saturate),
        1 => Just(Step::SlotsFree),
        3 => Just(Step::Wake),
    ]
}

fn upstreams() -> Vec<UpstreamId> {
    (0..6).map(upstream).collect()
}
