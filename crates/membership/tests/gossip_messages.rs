//! Handling of invalid datagrams, and of failure claims from other members.

use std::net::SocketAddr;

use googletest::prelude::*;
use mux_membership::{
    CounterReading, GossipAction, GossipMachine, GossipSettings, MemberState, NodeIdentity,
};
use mux_model::{NodeIncarnation, TimePoint};
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const NOW: TimePoint = TimePoint::from_millis(5);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn machine(cluster: &str, port: u16) -> GossipMachine {
    let identity = NodeIdentity {
        node: format!("node-{port}").into(),
        availability_zone: "zone".into(),
        peer: address(port),
        caller: address(port),
        operator: address(port),
    };
    let settings = GossipSettings::new(cluster);
    GossipMachine::new(settings, identity, NodeIncarnation(9), NOW, 1)
}

fn join_datagram(cluster: &str) -> Vec<u8> {
    let mut actions = Vec::new();
    machine(cluster, 1).join(NOW, &[address(2)], &mut actions);
    let sent = actions.into_iter().find_map(|it| match it {
        GossipAction::Send { bytes, .. } => Some(bytes),
        GossipAction::Event(_) => None,
    });
    sent.expect("join sends a datagram")
}

fn dropped_counts(machine: &GossipMachine) -> (u64, u64) {
    let mut reading = CounterReading::default();
    machine.add_counts(&mut reading);
    (reading.malformed, reading.foreign)
}

#[gtest]
fn valid_message_is_accepted() {
    let mut receiver = machine("cluster", 2);

    receiver.on_datagram(NOW, address(1), &join_datagram("cluster"), &mut Vec::new());

    expect_that!(dropped_counts(&receiver), eq((0, 0)));
    expect_that!(receiver.members().in_state(MemberState::Alive).count(), eq(2));
}

#[gtest]
fn message_of_another_cluster_is_counted_and_dropped() {
    let mut receiver = machine("cluster", 2);
    let mut actions = Vec::new();

    receiver.on_datagram(NOW, address(1), &join_datagram("other"), &mut actions);

    expect_that!(dropped_counts(&receiver), eq((0, 1)));
    expect_that!(actions, is_empty());
    expect_that!(receiver.members().members.len(), eq(1));
}

#[gtest]
fn truncated_or_extended_messages_are_counted_and_dropped() {
    let datagram = join_datagram("cluster");
    let extended = [datagram.as_slice(), &[0]].concat();
    let shorter = (0..datagram.len()).map(|len| &datagram[..len]);

    for bytes in shorter.chain([extended.as_slice()]) {
        let mut receiver = machine("cluster", 2);
        let mut actions = Vec::new();
        receiver.on_datagram(NOW, address(1), bytes, &mut actions);

        expect_that!(dropped_counts(&receiver), eq((1, 0)), "{} bytes", bytes.len());
        expect_that!(actions, is_empty(), "{} bytes", bytes.len());
    }
}

/// Runs two machines, given with their ports, that reach only each other.
///
/// The run starts at `start_ms` and ends when `done` returns true for the first machine; returns
/// the end in milliseconds.
fn exchange_until(
    lhs: (&mut GossipMachine, u16),
    rhs: (&mut GossipMachine, u16),
    start_ms: u64,
    done: impl Fn(&mut GossipMachine, u64) -> bool,
) -> u64 {
    let mut to_lhs = Vec::new();
    let mut now_ms = start_ms;
    while !done(lhs.0, now_ms) {
        let now = TimePoint::from_millis(now_ms);
        let to_rhs = deliver_and_tick(lhs.0, now, rhs.1, &to_lhs);
        to_lhs = deliver_and_tick(rhs.0, now, lhs.1, &to_rhs);
        now_ms += 100;
    }
    now_ms
}

/// Delivers `input` and a tick to `machine`; returns the datagrams that it sends to `peer`.
fn deliver_and_tick(
    machine: &mut GossipMachine,
    now: TimePoint,
    peer: u16,
    input: &[Vec<u8>],
) -> Vec<Vec<u8>> {
    let mut actions = Vec::new();
    for bytes in input {
        machine.on_datagram(now, address(peer), bytes, &mut actions);
    }
    machine.on_tick(now, &mut actions);
    let sent = actions.into_iter().filter_map(|it| match it {
        GossipAction::Send { to, bytes } if to == address(peer) => Some(bytes),
        _ => None,
    });
    sent.collect()
}

#[gtest]
fn dead_claim_of_a_peer_only_raises_a_suspicion() {
    let [mut observer, mut reporter, mut reporter_peer, mut observer_peer] =
        [1, 2, 4, 5].map(|port| machine("cluster", port));
    let target = machine("cluster", 3).members().members.clone();
    reporter.import(NOW, &reporter_peer.members().members, &mut Vec::new());
    observer.import(NOW, &observer_peer.members().members, &mut Vec::new());
    exchange_until((&mut reporter, 2), (&mut reporter_peer, 4), 0, |_, now| 20_000 <= now);
    reporter.import(TimePoint::from_millis(20_000), &target, &mut Vec::new());
    let removed_at =
        exchange_until((&mut reporter, 2), (&mut reporter_peer, 4), 20_000, |reporter, _| {
            reporter.members().get(&"node-3".into()).is_none()
        });
    exchange_until((&mut observer, 1), (&mut observer_peer, 5), 0, |_, now| removed_at <= now);
    let now = TimePoint::from_millis(removed_at);
    observer.import(now, &target, &mut Vec::new());
    observer.import(now, &reporter.members().members, &mut Vec::new());

    exchange_until((&mut observer, 1), (&mut reporter, 2), removed_at, |_, now| {
        removed_at + 3_000 <= now
    });

    let state = observer.members().get(&"node-3".into()).map(|it| it.state);
    expect_that!(reporter.members().get(&"node-3".into()), none());
    expect_that!(state, some(eq(MemberState::Suspect)));
}

#[gtest]
fn altered_messages_cause_no_panic() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let datagram = join_datagram("cluster");

    let outcome = runner.run(&vec((any::<usize>(), any::<u8>()), 1..8), |changes| {
        let mut bytes = datagram.clone();
        let len = bytes.len();
        for (at, value) in changes {
            bytes[at % len] = value;
        }
        let mut receiver = machine("cluster", 2);
        let mut actions = Vec::new();
        receiver.on_datagram(NOW, address(1), &bytes, &mut actions);
        receiver.on_tick(NOW, &mut actions);
        Ok(())
    });

    expect_that!(outcome, ok(anything()));
}
