//! Gossip service on loopback sockets.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_membership::{GossipEvent, GossipService, GossipSettings, MemberState, NodeIdentity};
use mux_model::{NodeIncarnation, RevisionNumber, UpstreamId};
use mux_timer::TimerService;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc::Receiver;

const WAIT_LIMIT: Duration = Duration::from_secs(6);

fn start_service(name: &str, timer: &TimerService) -> (GossipService, Receiver<GossipEvent>) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let identity = NodeIdentity {
        node: name.into(),
        availability_zone: "zone".into(),
        peer: any_port,
        caller: any_port,
        operator: any_port,
    };
    let settings = GossipSettings::new("service-test");
    let logger = Logger::root(Discard, o!());
    GossipService::start(settings, identity, NodeIncarnation(7), timer.clone(), logger)
        .expect("binding a loopback port")
}

fn start_three(timer: &TimerService) -> Vec<(GossipService, Receiver<GossipEvent>)> {
    let services: Vec<_> = ["a", "b", "c"].map(|it| start_service(it, timer)).into();
    let seed = services[0].0.local_address();
    for (service, _) in &services {
        service.join(&[seed]);
    }
    services
}

async fn becomes_true(timer: &TimerService, mut condition: impl FnMut() -> bool) -> bool {
    let end = timer.now() + WAIT_LIMIT;
    while timer.now() < end {
        if condition() {
            return true;
        }
        timer.sleep(Duration::from_millis(20)).await;
    }
    condition()
}

async fn next_event(
    timer: &TimerService,
    events: &mut Receiver<GossipEvent>,
    matches_event: impl Fn(&GossipEvent) -> bool,
) -> Option<GossipEvent> {
    let first_match = async {
        loop {
            match events.recv().await {
                Some(event) if matches_event(&event) => return Some(event),
                Some(_) => {}
                None => return None,
            }
        }
    };
    timer.timeout(WAIT_LIMIT, first_match).await.ok().flatten()
}

#[gtest]
#[tokio::test]
async fn services_discover_each_other_and_disseminate_updates() {
    let timer = TimerService::start(Duration::from_secs(1));
    let mut services = start_three(&timer);
    let all_known = becomes_true(&timer, || {
        services.iter().all(|(it, _)| it.members().in_state(MemberState::Alive).count() == 3)
    });
    expect_that!(all_known.await, eq(true));

    let upstream = UpstreamId("10.0.0.9:80".parse().unwrap());
    services[0].0.announce_revision(RevisionNumber(4));
    services[0].0.set_upstream_draining(upstream, true);

    for idx in [1, 2] {
        let (service, events) = &mut services[idx];
        let announced = next_event(&timer, events, |it| {
            matches!(it, GossipEvent::RevisionAnnounced { revision: RevisionNumber(4), .. })
        });
        expect_that!(announced.await, some(anything()));
        service.set_revision(RevisionNumber(4));
        let drain_changed = next_event(
            &timer,
            events,
            |it| matches!(it, GossipEvent::UpstreamDrainChanged { drain_state } if drain_state.upstream == upstream),
        );
        expect_that!(drain_changed.await, some(anything()));
    }
    let in_force = becomes_true(&timer, || {
        services[0].0.members().applied_and_total(RevisionNumber(4)) == (3, 3)
    });
    expect_that!(in_force.await, eq(true));
    let reading = services[0].0.counters();
    expect_that!(reading.datagrams_in, gt(0));
    expect_that!(reading.bytes_out, gt(reading.datagrams_out));
    expect_that!(reading.malformed + reading.foreign + reading.send_failures, eq(0));
}

/// A restarting node that answered probes before its listeners were open was advertised again, and
/// callers that connected at once were refused.
#[gtest]
#[tokio::test]
async fn node_answers_nobody_before_it_joins() {
    let timer = TimerService::start(Duration::from_secs(1));
    let (member, _member_events) = start_service("a", &timer);
    let (starting, _starting_events) = start_service("b", &timer);
    let knows_both = || member.members().in_state(MemberState::Alive).count() == 2;

    for _ in 0..20 {
        member.join(&[starting.local_address()]);
        timer.sleep(Duration::from_millis(50)).await;
        expect_that!(knows_both(), eq(false));
    }

    starting.join(&[member.local_address()]);
    expect_that!(becomes_true(&timer, knows_both).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn socket_is_released_when_the_service_is_dropped() {
    let timer = TimerService::start(Duration::from_secs(1));
    let (service, events) = start_service("a", &timer);
    let address = service.local_address();
    expect_that!(std::net::UdpSocket::bind(address).is_err(), eq(true));

    drop((service, events));

    let released = becomes_true(&timer, || std::net::UdpSocket::bind(address).is_ok());
    expect_that!(released.await, eq(true));
}
