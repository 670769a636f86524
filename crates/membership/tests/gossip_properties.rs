//! Properties of membership under random sequences of faults.

#[path = "support/gossip_net.rs"]
mod gossip_net;

use std::time::Duration;

use googletest::prelude::*;
use gossip_net::GossipNet;
use mux_membership::{GossipMachine, GossipSettings, MemberRecord};
use mux_model::{FastMap, NodeId, RevisionNumber, TimePoint};
use proptest::{
    prelude::{Strategy, any, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};

const NODE_COUNT: usize = 6;
const CASES: u32 = 48;
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition([bool; NODE_COUNT]),
    Heal,
    Loss(u8),
    Announce(usize),
    DetectPause(usize),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODE_COUNT;
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Restart),
        node.clone().prop_map(Fault::Pause),
        node.clone().prop_map(Fault::Resume),
        any::<[bool; NODE_COUNT]>().prop_map(Fault::Partition),
        proptest::strategy::Just(Fault::Heal),
        (0..40_u8).prop_map(Fault::Loss),
        node.clone().prop_map(Fault::Announce),
        node.prop_map(Fault::DetectPause),
    ]
}

fn apply(net: &mut GossipNet, fault: &Fault, revision: &mut u64) {
    match *fault {
        Fault::Kill(idx) => net.nodes[idx].running = false,
        Fault::Restart(idx) => {
            net.resume(idx);
            net.restart(idx);
        }
        Fault::Pause(idx) => net.nodes[idx].paused = true,
        Fault::Resume(idx) => net.resume(idx),
        Fault::Partition(sides) => {
            for (node, side) in net.nodes.iter_mut().zip(sides) {
                node.group = u8::from(side);
            }
        }
        Fault::Heal => net.nodes.iter_mut().for_each(|it| it.group = 0),
        Fault::Loss(percent) => net.loss = f64::from(percent) / 100.0,
        Fault::Announce(idx) => {
            *revision += 1;
            let revision = RevisionNumber(*revision);
            net.step(idx, |machine, now, out| machine.announce_revision(now, revision, out));
        }
        Fault::DetectPause(idx) => net.step(idx, GossipMachine::on_pause),
    }
}

/// The record of each member last seen by each observer in its current run, to check that no
/// record regresses.
#[derive(Default)]
struct LastSeenRecords {
    last_records: FastMap<(usize, u64, NodeId), MemberRecord>,
}

impl LastSeenRecords {
    fn check(&mut self, net: &mut GossipNet) -> std::result::Result<(), TestCaseError> {
        for idx in 0..NODE_COUNT {
            let view = net.view(idx);
            let observer_run = view.get(&gossip_net::identity(idx).node).map_or(0, |it| it.run.0);
            for record in &view.members {
                let key = (idx, observer_run, record.node().clone());
                let previous = self.last_records.insert(key, record.clone());
                let Some(previous) = previous else { continue };
                let regressed = record.incarnation < previous.incarnation
                    || record.run == previous.run && record.revision < previous.revision;
                if regressed {
                    return Err(TestCaseError::fail(format!(
                        "record regressed from {previous:?} to {record:?}"
                    )));
                }
            }
        }
        Ok(())
    }
}

fn end_faults(net: &mut GossipNet) {
    net.loss = 0.0;
    for idx in 0..NODE_COUNT {
        net.nodes[idx].group = 0;
        net.resume(idx);
        if !net.nodes[idx].running {
            net.restart(idx);
        }
    }
}

fn all_have_applied(net: &mut GossipNet, revision: RevisionNumber) -> bool {
    (0..NODE_COUNT).all(|idx| net.view(idx).applied_and_total(revision) == (NODE_COUNT, NODE_COUNT))
}

#[gtest]
fn records_never_regress_and_views_converge_after_faults() {
    let seed = [7; 32];
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    println!("seed {seed:?}");
    let faults = proptest::collection::vec((any_fault(), 0_u64..8_000), 1..25);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&(faults, any::<u64>()), |(faults, net_seed)| {
        let mut net = GossipNet::start(NODE_COUNT, net_seed, GossipSettings::new("property"));
        let mut last_records = LastSeenRecords::default();
        let mut revision = 0;
        net.run(Duration::from_secs(3));
        for (fault, delay_ms) in faults {
            apply(&mut net, &fault, &mut revision);
            let end = net.now + Duration::from_millis(delay_ms);
            while net.now < end {
                net.run(gossip_net::TICK);
                last_records.check(&mut net)?;
            }
        }
        end_faults(&mut net);
        let end: TimePoint = net.now + CONVERGENCE_LIMIT;
        let highest = (0..NODE_COUNT).map(|it| applied_revision(&mut net, it)).max();
        let highest = highest.unwrap_or_default();
        let converged = net.run_until(end, |net| net.converged() && all_have_applied(net, highest));
        match converged {
            true => Ok(()),
            false => Err(TestCaseError::fail(format!(
                "within the limit, the views did not converge or not all nodes applied \
                     revision {highest}"
            ))),
        }
    });

    expect_that!(outcome, ok(anything()));
}

fn applied_revision(net: &mut GossipNet, idx: usize) -> RevisionNumber {
    let node = gossip_net::identity(idx).node;
    net.view(idx).get(&node).map_or(RevisionNumber(0), |it| it.revision)
}
