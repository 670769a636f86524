//! Budget for hedges and retries ("extra calls") across all nodes.

use googletest::prelude::*;
use mux_model::{FastMap, TimePoint};
use mux_routing::{CallKind, balancer::RetryBudget};
use mux_sharing::{NodeShares, NodeStanding};
use proptest::prelude::*;

use crate::fixtures::{
    NO_LATENCY_LIMIT, OWN_ZONE, acquire_first, at, balancer, latency_estimate, limits, record,
    reply,
};

const NODES: u32 = 7;

/// A first call made by one node, and the extra calls that it then tries to make.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// Milliseconds since the previous call.
    gap_ms: u64,
    node: usize,
    /// Extra calls that the node tries to make after it.
    wanted_extra: u32,
}

fn any_call() -> impl Strategy<Value = Call> {
    (0..400_u64, 0..NODES as usize, 0..6_u32).prop_map(|(gap_ms, node, wanted_extra)| Call {
        gap_ms,
        node,
        wanted_extra,
    })
}

/// Returns the times of all first calls and of all extra calls, in milliseconds.
fn simulate(calls: &[Call]) -> (Vec<u64>, Vec<u64>) {
    let mut budgets = vec![RetryBudget::new(); NODES as usize];
    let (mut firsts, mut extras) = (Vec::new(), Vec::new());
    let mut now = 0;
    for call in calls {
        now += call.gap_ms;
        let moment = TimePoint::from_millis(now);
        budgets[call.node].record_first_call(moment, &limits());
        firsts.push(now);
        for _ in 0..call.wanted_extra {
            if budgets[call.node].try_extra_call(moment, &limits(), NODES) {
                extras.push(now);
            }
        }
    }
    (firsts, extras)
}

proptest! {
    /// In every sliding window, all nodes together stay within the shared limits.
    #[test]
    fn nodes_together_stay_within_budget(calls in prop::collection::vec(any_call(), 1..600)) {
        let (firsts, extras) = simulate(&calls);
        let length = 10_000;
        for end in &extras {
            let within = |it: &&u64| **it <= *end && *end < **it + length;
            let extra = extras.iter().filter(within).count() as f64;
            let first = firsts.iter().filter(within).count() as f64;
            prop_assert!(extra <= first * limits().ratio + limits().slack, "{extra} of {first}");
        }
    }
}

#[gtest]
fn slack_is_divided_among_nodes() {
    for (nodes, expected) in [(1, 45), (7, 6), (60, 0)] {
        let mut budget = RetryBudget::new();
        let now = TimePoint::from_millis(1);

        let extras = (0..100).filter(|_| budget.try_extra_call(now, &limits(), nodes)).count();

        expect_that!(extras, eq(expected), "{nodes} nodes");
    }
}

#[gtest]
fn budget_is_restored_after_the_window() {
    let mut budget = RetryBudget::new();
    let mut spend_all = |at| {
        let now = TimePoint::from_millis(at);
        (0..100).filter(|_| budget.try_extra_call(now, &limits(), 7)).count()
    };

    expect_that!(spend_all(0), eq(6));
    expect_that!(spend_all(9_900), eq(0));
    expect_that!(spend_all(10_600), eq(6));
}

/// Kills and restarts of nodes during a fault.
#[derive(Debug, Clone, Copy)]
struct RestartCase {
    /// Number of nodes that are killed and restarted.
    killed: usize,
    /// Number of nodes that are killed and not restarted.
    removed: usize,
    /// Times of the kills, in seconds after the start of the fault.
    kills_s: &'static [u64],
}

/// Queries per second at each node.
const QUERIES_PER_SECOND: u64 = 25;
/// Duration of the fault in seconds; two of five calls fail during it.
const FAULT_S: u64 = 25;

/// Simulates nodes that try to make more extra calls than the budget allows while nodes are killed.
///
/// Returns the times of all first calls and of all extra calls, in milliseconds.
fn simulate_restarts(case: RestartCase) -> (Vec<u64>, Vec<u64>) {
    let step_ms = 1_000 / QUERIES_PER_SECOND;
    let calm_ms = 12_000;
    let mut budgets = vec![RetryBudget::new(); NODES as usize];
    let mut nodes = NODES;
    let (mut firsts, mut extras) = (Vec::new(), Vec::new());
    for now_ms in (1..calm_ms + FAULT_S * 1_000).step_by(step_ms as usize) {
        let now = TimePoint::from_millis(now_ms);
        let is_kill = |it: &&u64| (calm_ms + **it * 1_000).abs_diff(now_ms) < step_ms / 2;
        if case.kills_s.iter().any(|it| is_kill(&it)) {
            for budget in budgets.iter_mut().take(case.killed) {
                let spent = budget.is_spent(now, &limits(), nodes);
                *budget = RetryBudget::started(now, spent);
            }
            budgets.truncate(NODES as usize - case.removed);
            nodes = NODES - case.removed as u32;
        }
        // The callers of removed nodes switch to the remaining ones.
        for caller in 0..NODES as usize {
            let node = caller % budgets.len();
            budgets[node].record_first_call(now, &limits());
            firsts.push(now_ms);
            let wanted_extra = calm_ms <= now_ms && (now_ms / step_ms) % 5 < 2;
            if wanted_extra && budgets[node].try_extra_call(now, &limits(), nodes) {
                extras.push(now_ms);
            }
        }
    }
    (firsts, extras)
}

/// Extra calls of killed nodes still count against the budget, both for the processes that replace
/// them and for the remaining nodes.
#[gtest]
fn killed_nodes_do_not_spend_the_budget_twice() {
    let cases = [
        RestartCase { killed: 7, removed: 0, kills_s: &[3] },
        RestartCase { killed: 7, removed: 0, kills_s: &[2, 6] },
        RestartCase { killed: 7, removed: 0, kills_s: &[1, 2, 5] },
        RestartCase { killed: 4, removed: 0, kills_s: &[3, 8] },
        RestartCase { killed: 0, removed: 4, kills_s: &[3] },
        RestartCase { killed: 2, removed: 2, kills_s: &[4] },
    ];
    for case in cases {
        let (firsts, extras) = simulate_restarts(case);

        let length = 10_000;
        for end in &extras {
            let within = |it: &&u64| **it <= *end && *end < **it + length;
            let extra = extras.iter().filter(within).count() as f64;
            let first = firsts.iter().filter(within).count() as f64;
            let allowed = first * limits().ratio + limits().slack;
            assert_that!(extra, le(allowed), "{case:?} at {end} ms");
        }
    }
}

/// A new process has a reduced budget in its first window, even without a predecessor, and its full
/// budget afterwards.
#[gtest]
fn new_process_gets_its_full_budget_after_one_window() {
    let start = TimePoint::from_millis(1_000);
    let spend = |predecessor_spent: bool, at_ms: u64| {
        let mut budget = RetryBudget::started(start, predecessor_spent);
        let now = TimePoint::from_millis(at_ms);
        (0..100).filter(|_| budget.try_extra_call(now, &limits(), 1)).count()
    };

    let early = (spend(false, 1_500), spend(true, 1_500));
    let late = (spend(false, 11_500), spend(true, 11_500));

    expect_that!(early, eq((18, 2)));
    expect_that!(late, eq((45, 45)));
}

/// Callers may use many nodes that they are not directed to, as right after the loss of others.
#[gtest]
fn nodes_that_are_not_advertised_do_not_exceed_the_budget_that_the_others_divide() {
    let counted_nodes = 6;
    let counts = FastMap::from_iter([(OWN_ZONE.into(), counted_nodes)]);
    let (mut first_calls, mut extra_calls) = (0, 0);

    for node in 0..150 {
        let is_counted = node < counted_nodes;
        let standing = if is_counted { NodeStanding::Counted } else { NodeStanding::NotAdvertised };
        let balancer = balancer(&[record(0, OWN_ZONE), record(1, OWN_ZONE)]);
        balancer.set_limits(None, counted_nodes);
        balancer.set_rate_shares(&NodeShares::new(&OWN_ZONE.into(), &counts, standing));
        for call in 0..20 {
            let first = acquire_first(&balancer, at(call)).unwrap();
            reply(&balancer, first, call, call);
            first_calls += 1;
            let (estimate, kind) = (latency_estimate(), CallKind::Retry);
            let extra = balancer.acquire(at(call), &[], kind, &estimate, NO_LATENCY_LIMIT);
            extra_calls += i32::from(extra.is_ok());
            if let Ok(upstream) = extra {
                reply(&balancer, upstream, call, call);
            }
        }
    }

    let allowed = limits().ratio * f64::from(first_calls) + limits().slack;
    expect_that!(f64::from(extra_calls), le(allowed));
    expect_that!(extra_calls, ge(150));
}
