//! Availability zones that are evacuated under load.

use googletest::prelude::*;
use mux_model::{AvailabilityZone, FastSet, ServiceName, TimePoint};
use mux_routing::{
    AcquireError,
    balancer::{UpstreamRecord, UpstreamRegistry},
};

use crate::fixtures::{OTHER_ZONE, OWN_ZONE, acquire_first, at, balancer, record, reply, upstream};
use crate::test_balancer::TestBalancer;

const REVISION: u64 = 40;

/// A registry and the balancer of its only service.
struct TestTier {
    registry: UpstreamRegistry,
    balancer: TestBalancer,
}

impl TestTier {
    fn new(records: &[UpstreamRecord]) -> Self {
        let mut registry = UpstreamRegistry::default();
        registry.set_obeys_evacuations(true);
        for record in records {
            registry.on_record(record.clone());
        }
        let tier = Self { registry, balancer: balancer(&[]) };
        tier.refresh(0);
        tier
    }

    fn refresh(&self, now: u64) {
        let services = self.registry.by_service();
        let records = services.get(&ServiceName::from("prints")).map_or(&[][..], Vec::as_slice);
        self.balancer.set_closed_zones(at(now), &self.registry.closed_zones());
        self.balancer.set_upstreams(at(now), records);
    }

    fn evacuate(&mut self, now: u64, zone: &str) {
        self.registry.evacuated_zones.on_entry(at(now), zone.into(), REVISION);
        self.refresh(now);
    }

    fn end_evacuation(&mut self, now: u64, zone: &str) {
        self.registry.evacuated_zones.on_removed(&zone.into(), false);
        self.refresh(now);
    }

    /// Makes a call each millisecond; returns the number of calls to upstreams in [`OWN_ZONE`] of all
    /// that were made.
    fn press(&self, from: u64, until: u64) -> (usize, usize) {
        let in_zone = |it| self.balancer.instance(it).is_some_and(|it| it.as_str() < "i-5");
        let (mut own, mut all) = (0, 0);
        for now in from..until {
            let Ok(chosen) = acquire_first(&self.balancer, at(now)) else {
                continue;
            };
            own += usize::from(in_zone(chosen));
            all += 1;
            reply(&self.balancer, chosen, now, now);
        }
        (own, all)
    }
}

/// Returns the records of upstreams 0 to `own` in [`OWN_ZONE`] and 5 to 5 + `other` elsewhere.
fn replicas(own: u16, other: u16) -> Vec<UpstreamRecord> {
    let near = (0..own).map(|it| record(it, OWN_ZONE));
    near.chain((5..5 + other).map(|it| record(it, OTHER_ZONE))).collect()
}

fn zones(names: &[&str]) -> FastSet<AvailabilityZone> {
    names.iter().map(|it| AvailabilityZone::from(*it)).collect()
}

/// Load must move to the replicas outside the zone with the next call, or be refused at once.
#[gtest]
fn evacuated_zone_under_load_gets_no_call() {
    for (own, other) in [(1, 2), (2, 1), (3, 0)] {
        let mut tier = TestTier::new(&replicas(own, other));
        let before = tier.press(0, 100);

        tier.evacuate(100, OWN_ZONE);
        let during = tier.press(100, 400);

        let case = format!("{own} replicas in the zone, {other} elsewhere");
        expect_that!(before.0, gt(0), "{case}");
        expect_that!(during, eq((0, if other == 0 { 0 } else { 300 })), "{case}");
        if other == 0 {
            expect_that!(acquire_first(&tier.balancer, at(400)), err(eq(AcquireError::NoReplica)));
        }
    }
}

/// A returned zone must not get its whole load at once, from all nodes.
#[gtest]
fn evacuated_zone_returns_in_steps() {
    let mut tier = TestTier::new(&replicas(1, 1));
    tier.evacuate(0, OWN_ZONE);
    tier.end_evacuation(1_000, OWN_ZONE);

    let steps = (1..6).map(|it| tier.press(it * 1_000, (it + 1) * 1_000).0 as f64 / 1_000.0);
    let steps: Vec<_> = steps.collect();

    // The upstream in the node's own zone is preferred, so that it gets what the step allows. The
    // tolerance is over five standard deviations of 1,000 random calls.
    for (share, expected) in steps.iter().zip([0.1, 0.25, 0.5, 0.75, 1.0]) {
        expect_that!(*share, near(expected, 0.08), "shares by second: {steps:?}");
    }
}

/// Without other upstreams, held back calls would be refused.
#[gtest]
fn evacuated_zone_that_returns_takes_calls_that_no_other_upstream_takes() {
    let mut tier = TestTier::new(&replicas(2, 0));
    tier.evacuate(0, OWN_ZONE);
    tier.end_evacuation(100, OWN_ZONE);

    expect_that!(tier.press(100, 200), eq((100, 100)));
}

/// A call that was reserved before the evacuation and waits for its connection must not be sent.
#[gtest]
fn evacuated_zone_is_closed_for_calls_that_wait_for_a_connection() {
    let mut tier = TestTier::new(&replicas(1, 1));
    let waiting = acquire_first(&tier.balancer, TimePoint::ZERO);
    assert_that!(waiting, ok(eq(upstream(0))));

    tier.evacuate(5, OWN_ZONE);

    expect_true!(tier.balancer.is_in_closed_zone(upstream(0)));
    expect_false!(tier.balancer.is_in_closed_zone(upstream(5)));
}

/// Upstreams that register during the evacuation must not be called either.
#[gtest]
fn evacuated_zone_stays_closed_for_new_upstreams() {
    let mut tier = TestTier::new(&replicas(1, 1));
    tier.evacuate(0, OWN_ZONE);

    tier.registry.on_record(record(1, OWN_ZONE));
    tier.refresh(10);

    expect_that!(tier.press(10, 100), eq((0, 90)));
    tier.end_evacuation(100, OWN_ZONE);
    expect_that!(tier.press(100, 8_000).0, gt(0));
}

/// A store that lost its latest writes must not end an evacuation before operators can write it again.
#[gtest]
fn evacuated_zone_without_an_entry_stays_closed_while_the_store_may_lack_it() {
    let mut registry = UpstreamRegistry::default();
    registry.set_obeys_evacuations(true);
    for zone in [OWN_ZONE, OTHER_ZONE] {
        registry.evacuated_zones.on_entry(at(0), zone.into(), REVISION);
    }

    let ended = registry.evacuated_zones.on_listing(&zones(&[OTHER_ZONE]), true);
    let removed = registry.evacuated_zones.on_removed(&OTHER_ZONE.into(), true);
    registry.evacuated_zones.on_entry(at(2), OTHER_ZONE.into(), REVISION + 9);

    expect_that!((ended.len(), removed), eq((0, None)));
    expect_that!(registry.closed_zones(), eq(&zones(&[OWN_ZONE, OTHER_ZONE])));
    let dropped = registry.evacuated_zones.drop_missing();
    expect_that!(dropped.len(), eq(1));
    expect_that!(registry.closed_zones(), eq(&zones(&[OTHER_ZONE])));
    expect_that!(registry.evacuated_zones.revision(&OTHER_ZONE.into()), eq(REVISION + 9));
}

#[gtest]
fn evacuated_zone_is_used_if_the_settings_do_not_ask_for_evacuations() {
    let mut tier = TestTier::new(&replicas(1, 1));
    tier.registry.set_obeys_evacuations(false);

    tier.evacuate(0, OWN_ZONE);

    expect_that!(tier.press(0, 100).0, gt(0));
}
