//! Delay after which a hedge is sent to another replica.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::TimePoint;
use mux_routing::{CallOutcome, HedgePolicy, ReplicaRouter, RoutingPolicy, ServiceRouter};

use crate::fixtures::{at_ms, call_repeatedly, ms, policy, router};

const T0: TimePoint = TimePoint::ZERO;

/// Makes 1000 calls, every hundredth of which is slow.
fn call_with_tail(router: &ServiceRouter, now: TimePoint, typical: Duration, slow: Duration) {
    for _ in 0..10 {
        call_repeatedly(router, now, 0, CallOutcome::Replied(typical), 99);
        call_repeatedly(router, now, 0, CallOutcome::Replied(slow), 1);
    }
}

#[gtest]
fn the_policy_determines_the_hedge_delay() {
    let fixed = HedgePolicy::Fixed(ms(7));
    let median = HedgePolicy::Quantile(0.5);
    let tail = HedgePolicy::Quantile(0.995);
    let cases = [
        ("off", HedgePolicy::Off, Some(0.04), ms(40), None),
        ("fixed", fixed, None, ms(40), Some(7..=7)),
        ("median", median, None, ms(40), Some(10..=11)),
        ("tail", tail, None, ms(40), Some(40..=41)),
        ("bounded by the median", tail, None, ms(200), Some(50..=51)),
        (
            "raised to the quantile that the budget allows",
            median,
            Some(0.005),
            ms(40),
            Some(40..=41),
        ),
    ];

    for (name, hedge, extra_load_budget, slow, expected) in cases {
        let router = router(&RoutingPolicy { hedge, extra_load_budget, ..policy() }, 1);
        call_with_tail(&router, T0, ms(10), slow);

        let delay = router.hedge_delay(at_ms(1)).map(|it| it.as_millis());

        let is_expected = match (&expected, delay) {
            (Some(range), Some(delay)) => range.contains(&delay),
            (expected, delay) => expected.is_none() && delay.is_none(),
        };
        expect_that!(is_expected, eq(true), "{name}: {delay:?}");
    }
}

#[gtest]
fn delay_is_none_with_few_samples_and_at_least_the_minimum() {
    let router = router(&policy(), 1);

    call_repeatedly(&router, T0, 0, CallOutcome::Replied(Duration::from_micros(50)), 49);
    let before = router.hedge_delay(T0);
    call_repeatedly(&router, T0, 0, CallOutcome::Replied(Duration::from_micros(50)), 1);
    let after = router.hedge_delay(at_ms(500));

    expect_that!(before, none());
    expect_that!(after, some(eq(ms(1))));
}

#[gtest]
fn the_hedge_delay_follows_latency_changes() {
    let router = router(&policy(), 1);
    call_with_tail(&router, T0, ms(40), ms(40));
    call_with_tail(&router, at_ms(15_000), ms(10), ms(10));

    let later = router.hedge_delay(at_ms(21_000));
    let much_later = router.hedge_delay(at_ms(60_000));

    expect_that!(later, some(le(ms(11))));
    expect_that!(much_later, none());
}

#[gtest]
fn cancelled_slow_calls_do_not_shorten_the_hedge_delay() {
    let router = router(&policy(), 1);
    let mut delays = Vec::new();

    for round in 0..30 {
        let now = at_ms(round * 1_000);
        call_repeatedly(&router, now, 0, CallOutcome::Replied(ms(10)), 90);
        let slow = router
            .hedge_delay(now)
            .map_or(CallOutcome::Replied(ms(100)), |it| CallOutcome::Cancelled(it + ms(10)));
        call_repeatedly(&router, now, 0, slow, 10);
        delays.push(router.hedge_delay(now + ms(500)));
    }

    for delay in delays {
        expect_that!(delay, some(ge(ms(20))));
    }
}
