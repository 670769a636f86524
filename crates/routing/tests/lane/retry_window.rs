//! The budget for calls beyond the first, over all nodes.

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::lane::RetryWindow;
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
    let mut windows = vec![RetryWindow::new(); NODES as usize];
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
        let mut window = RetryWindow::new();
        let now = TimePoint::from_millis(1);

        let extras = (0..100).filter(|_| window.try_extra(now, &bounds(), nodes)).count();

        expect_that!(extras, eq(expected), "{nodes} nodes");
    }
}

#[gtest]
fn budget_comes_back_with_the_end_of_the_window() {
    let mut window = RetryWindow::new();
    let mut take = |at| {
        let now = TimePoint::from_millis(at);
        (0..100).filter(|_| window.try_extra(now, &bounds(), 7)).count()
    };

    expect_that!(take(0), eq(6));
    expect_that!(take(9_900), eq(0));
    expect_that!(take(10_600), eq(6));
}
