//! Grants of nodes that share a bound.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_sharing::{GrantLimit, GrantSchedule};

/// Length of the windows in which grants are counted.
const WINDOW_MS: u64 = 5_000;
/// Interval of the attempts of a node that presses.
const ATTEMPT_PERIOD_MS: u64 = 20;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn limit(rate_per_s: f64, unused_ms: u64) -> GrantLimit {
    GrantLimit { rate_per_s, unused_lifetime: Duration::from_millis(unused_ms) }
}

/// Returns the schedules of `nodes` nodes with equal shares and phases spread evenly.
fn fleet(nodes: u32, limit: GrantLimit, saved: Duration) -> Vec<GrantSchedule> {
    let share = 1.0 / f64::from(nodes);
    let phases = (0..nodes).map(|it| f64::from(it) / f64::from(nodes));
    phases.map(|phase| GrantSchedule::new(at(0), limit, share, saved, phase)).collect()
}

/// Uses all grants that are available; returns how many.
fn use_all(schedule: &mut GrantSchedule, now: TimePoint, share: f64) -> u32 {
    let mut used = 0;
    while schedule.time_to_grants(now, share, 1).is_zero() {
        schedule.use_grant(now, share);
        used += 1;
    }
    used
}

/// Returns the largest number of grants in any window.
fn most_in_window(grants: &[(u64, u32)]) -> u32 {
    // Attempts without a grant change no sum, and there are many.
    let used: Vec<_> = grants.iter().filter(|(_, count)| 0 < *count).collect();
    let in_window = |from: u64| {
        let within = used.iter().filter(|(at, _)| (from..from + WINDOW_MS).contains(at));
        within.map(|(_, count)| count).sum()
    };
    used.iter().map(|(from, _)| in_window(*from)).max().unwrap_or_default()
}

/// A quiet time followed by pressure at all nodes must not release more than the saved grants.
#[gtest]
fn pressing_nodes_stay_within_rate_and_saved_grants() {
    let limit = limit(10.0, 2_000);
    for nodes in [1, 3, 9, 60] {
        let mut schedules = fleet(nodes, limit, Duration::ZERO);
        let share = 1.0 / f64::from(nodes);
        let mut grants = Vec::new();

        for now in (20_000..40_000).step_by(ATTEMPT_PERIOD_MS as usize) {
            for schedule in &mut schedules {
                grants.push((now, use_all(schedule, at(now), share)));
            }
        }

        // 50 grants of the window, 20 saved ones, and one for rounding at each node with several.
        let rounding = if nodes <= 20 { nodes } else { 1 };
        expect_that!(most_in_window(&grants), le(70 + rounding), "{nodes} nodes");
        expect_that!(most_in_window(&grants), ge(60), "{nodes} nodes");
    }
}

/// Grants move between nodes; their number must not grow.
#[gtest]
fn borrowed_grants_are_those_that_the_lender_gave_up() {
    let limit = limit(10.0, 2_000);
    let mut schedules = fleet(2, limit, Duration::ZERO);
    let now = at(20_000);
    let available: u32 = schedules.iter().map(|it| it.available(now, 0.5)).sum();

    let lent = schedules[0].lend(now, 0.5, 6, 2);
    schedules[1].add_borrowed(now, lent);

    expect_that!(lent, eq(6));
    expect_that!(schedules.iter().map(|it| it.available(now, 0.5)).sum::<u32>(), eq(available));
    let used: u32 = schedules.iter_mut().map(|it| use_all(it, now, 0.5)).sum();
    expect_that!(used, eq(available));
}

#[gtest]
fn lender_keeps_grants_for_its_own_requests() {
    let mut schedule = fleet(1, limit(10.0, 1_000), Duration::ZERO).remove(0);
    let now = at(20_000);
    let available = schedule.available(now, 1.0);

    let lent = schedule.lend(now, 1.0, u32::MAX, 3);

    expect_that!(lent, eq(available - 3));
    expect_that!(schedule.lend(now, 1.0, 1, 3), eq(0));
}

/// A bound may have changed by the time at which borrowed grants are used.
#[gtest]
fn borrowed_grants_expire() {
    let mut schedule = GrantSchedule::new(at(0), limit(0.1, 60_000), 0.1, Duration::ZERO, 1.0);
    schedule.add_borrowed(at(100), 5);

    expect_that!(schedule.available(at(1_099), 0.1), eq(5));
    expect_that!(schedule.available(at(1_100), 0.1), eq(0));
}

/// A process that has just started has made no use of the part of the bound that it may use at once.
#[gtest]
fn saved_grants_are_available_at_the_start_of_the_process() {
    let limit = limit(2.0, 10_000);

    let schedule = GrantSchedule::new(at(50), limit, 0.2, Duration::from_secs(5), 0.0);

    expect_that!(schedule.available(at(50), 0.2), eq(3));
}

#[gtest]
fn returned_grant_is_available_again() {
    let mut schedule = GrantSchedule::new(at(0), limit(1.0, 0), 1.0, Duration::ZERO, 0.0);
    schedule.use_grant(at(0), 1.0);
    expect_that!(schedule.time_to_grants(at(0), 1.0, 1), eq(Duration::from_secs(1)));

    schedule.return_grant();

    expect_that!(schedule.time_to_grants(at(0), 1.0, 1), eq(Duration::ZERO));
}

/// A limit that falls binds at once, and one of zero ends all grants.
#[gtest]
fn changed_limit_takes_effect_from_the_last_grant() {
    let mut schedule = GrantSchedule::new(at(0), limit(10.0, 1_000), 1.0, Duration::ZERO, 0.0);
    schedule.use_grant(at(0), 1.0);

    schedule.set_limit(limit(1.0, 1_000));
    expect_that!(schedule.time_to_grants(at(0), 1.0, 1), eq(Duration::from_secs(1)));
    schedule.set_limit(limit(0.0, 1_000));

    expect_that!(schedule.time_to_grants(at(0), 1.0, 1), ge(Duration::from_secs(3_000)));
}

/// A node that uses its share keeps what it needs; one without calls has no use for its grants.
#[gtest]
fn lender_keeps_what_it_uses_itself() {
    let mut schedule = fleet(1, limit(10.0, 2_000), Duration::ZERO).remove(0);
    expect_that!(schedule.lend_unneeded(at(20_000), 1.0, 100), eq(21));
    for now in (22_000..30_000).step_by(250) {
        schedule.use_grant(at(now), 1.0);
    }
    let available = schedule.available(at(30_000), 1.0);

    let lent = schedule.lend_unneeded(at(30_000), 1.0, 100);

    // It used four grants per second.
    expect_that!(lent, eq(available - 2));
}
