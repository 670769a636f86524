//! The budget for calls beyond the first, over all nodes.

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::balancer::RetryBudget;
use proptest::prelude::*;

use crate::fixtures::bounds;

const NODES: u32 = 7;

/// One call at one node.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// Milliseconds since the call before.
    gap_ms: u64,
    node: usize,
    /// Further calls that the node would like to make after it.
    wanted: u32,
}

fn any_call() -> impl Strategy<Value = Call> {
    (0..400_u64, 0..NODES as usize, 0..6_u32).prop_map(|(gap_ms, node, wanted)| Call {
        gap_ms,
        node,
        wanted,
    })
}

/// Returns the times of all first calls and of all further calls, in milliseconds.
fn play(calls: &[Call]) -> (Vec<u64>, Vec<u64>) {
    let mut windows = vec![RetryBudget::new(); NODES as usize];
    let (mut firsts, mut extras) = (Vec::new(), Vec::new());
    let mut now = 0;
    for call in calls {
        now += call.gap_ms;
        let moment = TimePoint::from_millis(now);
        windows[call.node].record_first(moment, &bounds());
        firsts.push(now);
        for _ in 0..call.wanted {
            if windows[call.node].try_extra(moment, &bounds(), NODES) {
                extras.push(now);
            }
        }
    }
    (firsts, extras)
}

proptest! {
    /// Every sliding window of all nodes together keeps the bound that they share.
    #[test]
    fn all_nodes_together_keep_the_budget(calls in prop::collection::vec(any_call(), 1..600)) {
        let (firsts, extras) = play(&calls);
        let length = 10_000;
        for end in &extras {
            let within = |it: &&u64| **it <= *end && *end < **it + length;
            let extra = extras.iter().filter(within).count() as f64;
            let first = firsts.iter().filter(within).count() as f64;
            prop_assert!(extra <= first * bounds().ratio + bounds().slack, "{extra} of {first}");
        }
    }
}

#[gtest]
fn part_of_the_slack_shrinks_with_more_nodes() {
    for (nodes, expected) in [(1, 45), (7, 6), (60, 0)] {
        let mut window = RetryBudget::new();
        let now = TimePoint::from_millis(1);

        let extras = (0..100).filter(|_| window.try_extra(now, &bounds(), nodes)).count();

        expect_that!(extras, eq(expected), "{nodes} nodes");
    }
}

#[gtest]
fn budget_comes_back_with_the_end_of_the_window() {
    let mut window = RetryBudget::new();
    let mut take = |at| {
        let now = TimePoint::from_millis(at);
        (0..100).filter(|_| window.try_extra(now, &bounds(), 7)).count()
    };

    expect_that!(take(0), eq(6));
    expect_that!(take(9_900), eq(0));
    expect_that!(take(10_600), eq(6));
}

/// How a fleet under a fault goes on after its processes were killed.
#[derive(Debug, Clone, Copy)]
struct RestartCase {
    /// Nodes that are killed and start again.
    killed: usize,
    /// Nodes that are killed for good.
    lost: usize,
    /// When the nodes are killed, in seconds after the fault began.
    kills_s: &'static [u64],
}

/// Queries a second that each node takes in.
const QUERIES_PER_S: u64 = 25;
/// Seconds that the fault lasts; there is one failed call in two and a half.
const FAULT_S: u64 = 25;

/// Plays a fleet that wants more further calls than the budget allows while nodes are killed.
///
/// Returns the times of all first calls and of all further calls, in milliseconds.
fn play_restarts(case: RestartCase) -> (Vec<u64>, Vec<u64>) {
    let step_ms = 1_000 / QUERIES_PER_S;
    let calm_ms = 12_000;
    let mut windows = vec![RetryBudget::new(); NODES as usize];
    let mut nodes = NODES;
    let (mut firsts, mut extras) = (Vec::new(), Vec::new());
    for now_ms in (1..calm_ms + FAULT_S * 1_000).step_by(step_ms as usize) {
        let now = TimePoint::from_millis(now_ms);
        let is_kill = |it: &&u64| (calm_ms + **it * 1_000).abs_diff(now_ms) < step_ms / 2;
        if case.kills_s.iter().any(|it| is_kill(&it)) {
            for window in windows.iter_mut().take(case.killed) {
                let spent = window.is_spent(now, &bounds(), nodes);
                *window = RetryBudget::started(now, spent);
            }
            windows.truncate(NODES as usize - case.lost);
            nodes = NODES - case.lost as u32;
        }
        // The callers of lost nodes come to the others.
        for caller in 0..NODES as usize {
            let node = caller % windows.len();
            windows[node].record_first(now, &bounds());
            firsts.push(now_ms);
            let wanted = calm_ms <= now_ms && (now_ms / step_ms) % 5 < 2;
            if wanted && windows[node].try_extra(now, &bounds(), nodes) {
                extras.push(now_ms);
            }
        }
    }
    (firsts, extras)
}

/// Nodes that are killed while they use up the budget leave none for the processes that take
/// their places, nor for the nodes that remain.
#[gtest]
fn killed_nodes_do_not_spend_the_budget_twice() {
    let cases = [
        RestartCase { killed: 7, lost: 0, kills_s: &[3] },
        RestartCase { killed: 7, lost: 0, kills_s: &[2, 6] },
        RestartCase { killed: 7, lost: 0, kills_s: &[1, 2, 5] },
        RestartCase { killed: 4, lost: 0, kills_s: &[3, 8] },
        RestartCase { killed: 0, lost: 4, kills_s: &[3] },
        RestartCase { killed: 2, lost: 2, kills_s: &[4] },
    ];
    for case in cases {
        let (firsts, extras) = play_restarts(case);

        let length = 10_000;
        for end in &extras {
            let within = |it: &&u64| **it <= *end && *end < **it + length;
            let extra = extras.iter().filter(within).count() as f64;
            let first = firsts.iter().filter(within).count() as f64;
            let allowed = first * bounds().ratio + bounds().slack;
            assert_that!(extra, le(allowed), "{case:?} at {end} ms");
        }
    }
}

/// A process that starts where none was spends what a restart leaves, and all of its part later.
#[gtest]
fn started_node_has_its_whole_part_after_one_window() {
    let start = TimePoint::from_millis(1_000);
    let spend = |spent_before: bool, at_ms: u64| {
        let mut window = RetryBudget::started(start, spent_before);
        let now = TimePoint::from_millis(at_ms);
        (0..100).filter(|_| window.try_extra(now, &bounds(), 1)).count()
    };

    let early = (spend(false, 1_500), spend(true, 1_500));
    let late = (spend(false, 11_500), spend(true, 11_500));

    expect_that!(early, eq((18, 2)));
    expect_that!(late, eq((45, 45)));
}
