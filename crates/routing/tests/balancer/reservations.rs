//! Connections that are reserved for calls, and those whose calls never begin.

use std::time::Duration;

use googletest::prelude::*;
use mux_model::ShardIndex;
use mux_routing::{CallKind, CallOutcome, ReplicaRouter, UpstreamKey, balancer::UpstreamRecord};
use proptest::prelude::*;

use crate::{
    fixtures::{
        NO_LATENCY_LIMIT, OWN_ZONE, acquire_first, at, balancer, latency_estimate, ms, record,
        upstream,
    },
    query_router::router,
};

const LIMIT: Duration = Duration::from_secs(2);

/// Reservations that were never released took upstreams out of use, and no log line said so.
#[gtest]
fn reservation_without_a_call_is_reported_once_and_released() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    acquire_first(&balancer, at(0)).unwrap();

    let early = balancer.release_lost_reservations(at(2_000), LIMIT);
    let lost = balancer.release_lost_reservations(at(2_001), LIMIT);
    let again = balancer.release_lost_reservations(at(9_000), LIMIT);

    expect_that!(early, is_empty());
    expect_that!(lost, len(eq(1)));
    expect_that!(lost[0].upstream, eq(upstream(0)));
    expect_that!((lost[0].reserved, lost[0].is_active), eq((0, true)));
    expect_that!(lost[0].age, eq(Duration::from_millis(2_001)));
    expect_that!(again, is_empty());
    expect_that!(balancer.reserved_connections(), eq(0));
}

#[gtest]
fn reservation_of_a_call_that_has_begun_is_not_lost() {
    let balancer = balancer(&[record(0, OWN_ZONE)]);
    acquire_first(&balancer, at(0)).unwrap();
    balancer.begin_call(upstream(0), at(0));

    let lost = balancer.release_lost_reservations(at(60_000), LIMIT);

    expect_that!(lost, is_empty());
    expect_that!(balancer.reserved_connections(), eq(1));
}

/// Two records share an address, that of an earlier process and that of the present one. The connection of
/// the chosen one was returned to the other, which took the present one out of use.
#[gtest]
fn reservation_is_returned_to_the_instance_that_was_chosen() {
    for first in [0, 1] {
        let mut records = [record(0, OWN_ZONE), record(1, OWN_ZONE)];
        records[1].upstream = upstream(0);
        records.rotate_left(first);
        let balancer = balancer(&records);
        let shared = balancer.shared();
        let estimate = latency_estimate();
        let acquire = |now| {
            shared.acquire(at(now), &[], CallKind::First, &estimate, NO_LATENCY_LIMIT).unwrap()
        };

        let slots: Vec<_> = (0..6).map(acquire).collect();
        let instances: Vec<_> = slots.iter().filter_map(|it| shared.instance(*it)).collect();
        for (number, slot) in slots.into_iter().enumerate() {
            match number % 3 {
                0 => shared.end_call(slot),
                1 => _ = shared.record_outcome(at(10), slot, CallOutcome::Withdrawn, &estimate),
                _ => {
                    shared.begin_call(slot);
                    shared.end_call(slot);
                    // Only the first end counts.
                    shared.end_call(slot);
                }
            }
        }

        for it in ["i-0", "i-1"] {
            let calls = instances.iter().filter(|instance| instance.as_str() == it).count();
            expect_that!(calls, eq(3), "{it} has {calls} calls");
        }
        // All records are dropped, as no call holds a connection.
        balancer.set_upstreams(at(20), &[]);
        for it in &records {
            let key = UpstreamKey { instance: it.instance.clone(), upstream: it.upstream };
            expect_that!(shared.max_connections(&key), eq(0), "{}", it.instance);
        }
    }
}

/// Two shards list the address of an upstream that has ended in one of them. The connection was reserved
/// in one shard and returned in the other.
#[gtest]
fn reservation_is_returned_to_the_shard_that_was_called() {
    let (first, second) = (balancer(&[record(0, OWN_ZONE)]), balancer(&[record(0, OWN_ZONE)]));
    let balancers = [first.shared(), second.shared()];
    let router = router(balancers.to_vec());

    for shard in [ShardIndex(1), ShardIndex(0)] {
        let reservation =
            router.acquire(at(0), shard, &[upstream(0)], &[], CallKind::First).unwrap();
        router.release(at(1), reservation, CallOutcome::Replied(ms(1)));
        router.balancer(reservation.shard).end_call(reservation.slot);
    }

    for it in [first, second] {
        expect_that!(it.release_lost_reservations(at(60_000), LIMIT), is_empty());
    }
}

/// What happens to the calls and records of two shards, in any order.
#[derive(Debug, Clone)]
enum Step {
    /// The shard lists these upstreams, each an instance at an address.
    List(usize, Vec<(u16, u16)>),
    /// A call to the shard is reserved.
    Acquire(usize),
    /// The open call with this number, modulo their count, begins.
    Begin(usize),
    /// It ends.
    End(usize),
    /// It is withdrawn.
    Withdraw(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let records = prop::collection::vec((0..6_u16, 0..3_u16), 0..5);
    let step = prop_oneof![
        (0..2_usize, records).prop_map(|(shard, it)| Step::List(shard, it)),
        (0..2_usize).prop_map(Step::Acquire),
        (0..2_usize).prop_map(Step::Acquire),
        (0..20_usize).prop_map(Step::Begin),
        (0..20_usize).prop_map(Step::End),
        (0..20_usize).prop_map(Step::Withdraw),
    ];
    prop::collection::vec(step, 0..120)
}

/// Returns the records of one listing, which names each instance once.
fn listed(upstreams: &[(u16, u16)]) -> Vec<UpstreamRecord> {
    let mut records: Vec<UpstreamRecord> = Vec::new();
    for (instance, address) in upstreams {
        let mut record = record(*instance, OWN_ZONE);
        record.upstream = upstream(*address);
        if records.iter().all(|it| it.instance != record.instance) {
            records.push(record);
        }
    }
    records
}

proptest! {
    /// Whatever addresses records share, and whenever they come and go, what is reserved equals the calls
    /// in flight.
    #[test]
    fn reserved_connections_equal_the_calls_in_flight(steps in steps()) {
        let balancers = [balancer(&[]), balancer(&[])];
        let router = router(balancers.iter().map(|it| it.shared()).collect());
        let mut open = Vec::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = at(now as u64);
            match step {
                Step::List(shard, upstreams) => {
                    let records = listed(&upstreams);
                    balancers[shard].set_upstreams(now, &records.iter().collect::<Vec<_>>());
                }
                Step::Acquire(shard) => {
                    let shard = ShardIndex(shard as u32);
                    let acquired = router.acquire(now, shard, &[], &[], CallKind::First);
                    open.extend(acquired);
                }
                Step::Begin(number) if !open.is_empty() => {
                    let reservation = open[number % open.len()];
                    router.balancer(reservation.shard).begin_call(reservation.slot);
                }
                Step::End(number) if !open.is_empty() => {
                    let reservation = open.swap_remove(number % open.len());
                    router.release(now, reservation, CallOutcome::Replied(ms(1)));
                    router.balancer(reservation.shard).end_call(reservation.slot);
                }
                Step::Withdraw(number) if !open.is_empty() => {
                    let reservation = open.swap_remove(number % open.len());
                    router.release(now, reservation, CallOutcome::Withdrawn);
                }
                Step::Begin(_) | Step::End(_) | Step::Withdraw(_) => {}
            }
            let reserved: u32 = balancers.iter().map(|it| it.reserved_connections()).sum();
            prop_assert_eq!(reserved as usize, open.len());
        }
    }
}
