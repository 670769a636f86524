//! Prints the cost of membership per node and the dissemination times, by number of nodes.
//!
//! All nodes are state machines in one process on a virtual clock; no sockets are involved.
//!
//! Columns per row, with rates as means per node: number of nodes; packet loss as a fraction; time
//! until all have joined; datagrams sent per second; bytes sent and bytes received per second;
//! highest sum of both at one node; CPU time per second; time until an announced revision is
//! applied by all nodes / acknowledged to the origin; time until a killed node is removed + number
//! of false removals; mean age of reports; resident memory per node in KiB. `!`, or `never` for
//! joining, marks an exceeded time limit.

#[path = "../tests/support/gossip_net.rs"]
mod gossip_net;

use std::time::{Duration, Instant};

use gossip_net::{GossipNet, identity};
use mux_membership::{GossipEvent, GossipSettings};
use mux_model::{RevisionNumber, TimePoint};

const NODE_COUNTS: [usize; 7] = [3, 7, 15, 30, 60, 120, 400];
const HEADER_BYTES: u64 = 28;
const SEED: u64 = 20_260_801;
const STEADY_SECONDS: u64 = 60;

fn main() {
    println!(
        "seed {SEED}; {STEADY_SECONDS} s steady state; IP and UDP headers of 28 bytes included"
    );
    println!(
        "{:>5} {:>5} {:>7} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7}",
        "nodes",
        "loss",
        "join s",
        "dgr/s",
        "out B/s",
        "in B/s",
        "max B/s",
        "cpu us/s",
        "rev ms",
        "down s",
        "age s",
        "mem KB"
    );
    for loss in [0.0, 0.02] {
        for count in NODE_COUNTS {
            measure(count, loss);
        }
    }
}

fn measure(count: usize, loss: f64) {
    let mut net = GossipNet::start(count, SEED, GossipSettings::new("cost"));
    net.loss = loss;
    let started = net.now;
    let joined = net.run_until(started + Duration::from_secs(120), GossipNet::converged);
    let join = net.now.since(started);
    net.run(Duration::from_secs(60));
    clear_counts(&mut net);
    let clock = Instant::now();
    net.run(Duration::from_secs(STEADY_SECONDS));
    let cpu = clock.elapsed().as_micros() as f64 / (count as u64 * STEADY_SECONDS) as f64;
    let rate = |total: u64| total as f64 / (count as u64 * STEADY_SECONDS) as f64;
    let total_out: u64 =
        net.nodes.iter().map(|it| it.bytes_out + it.datagrams_out * HEADER_BYTES).sum();
    let total_in: u64 =
        net.nodes.iter().map(|it| it.bytes_in + it.datagrams_in * HEADER_BYTES).sum();
    let max_bytes = net
        .nodes
        .iter()
        .map(|it| it.bytes_out + it.bytes_in + (it.datagrams_in + it.datagrams_out) * HEADER_BYTES);
    let max_bytes = max_bytes.max().unwrap_or(0) / STEADY_SECONDS;
    let datagrams = net.nodes.iter().map(|it| it.datagrams_out).sum();
    let memory = resident_kilobytes() / count as u64;
    let age = report_age(&mut net, rate(datagrams));
    let revision = measure_revision(&mut net);
    let removal = measure_removal(&mut net);
    println!(
        "{count:>5} {loss:>5} {:>7} {:>8.2} {:>9.0} {:>9.0} {:>9} {cpu:>9.1} {:>9} {:>9} {age:>7.1} {memory:>7}",
        if joined { format!("{:.1}", join.as_secs_f64()) } else { "never".to_owned() },
        rate(datagrams),
        rate(total_out),
        rate(total_in),
        max_bytes,
        revision,
        removal,
    );
}

fn measure_revision(net: &mut GossipNet) -> String {
    let revision = RevisionNumber(1);
    let started = net.now;
    net.step(0, |machine, now, actions| machine.announce_revision(now, revision, actions));
    let applied = net.run_until(started + Duration::from_secs(60), |net| {
        (0..net.nodes.len()).all(|idx| {
            let node = identity(idx).node;
            net.view(idx).get(&node).is_some_and(|it| revision <= it.revision)
        })
    });
    let applied_ms = net.now.since(started).as_millis();
    let acked = net.run_until(started + Duration::from_secs(60), |net| {
        let (count, total) = net.view(0).applied_and_total(revision);
        count == total
    });
    let acked_ms = net.now.since(started).as_millis();
    format!("{applied_ms}/{acked_ms}{}", if applied && acked { "" } else { "!" })
}

/// Returns the resident memory of this process in KiB, including the simulated network.
fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Returns the mean age, in seconds, of the reports that nodes hold of one another.
fn report_age(net: &mut GossipNet, reports_per_second: f64) -> f64 {
    let count = net.nodes.len();
    let views: Vec<_> = (0..count).map(|it| net.view(it)).collect();
    let mut reports_behind = 0;
    for idx in 0..count {
        let node = identity(idx).node;
        let reports =
            views.iter().filter_map(|it| it.get(&node)).map(|it| u64::from(it.report_number));
        let newest = reports.clone().max().unwrap_or(0);
        reports_behind += reports.map(|it| newest - it).sum::<u64>();
    }
    reports_behind as f64 / (count * (count - 1)) as f64 / reports_per_second
}

fn measure_removal(net: &mut GossipNet) -> String {
    let removed = net.nodes.len() - 1;
    net.nodes[removed].running = false;
    let started = net.now;
    let converged = net.run_until(started + Duration::from_secs(120), GossipNet::converged);
    let false_removals = count_false_removals(net, removed, started);
    format!(
        "{:.1}{}+{false_removals}",
        net.now.since(started).as_secs_f64(),
        if converged { "" } else { "!" }
    )
}

fn count_false_removals(net: &GossipNet, removed: usize, since: TimePoint) -> usize {
    let removed = identity(removed).node;
    let events = net.nodes.iter().flat_map(|it| &it.events);
    let downs = events.filter(|(at, event)| match event {
        GossipEvent::MemberDown { member } => since <= *at && *member.node() != removed,
        _ => false,
    });
    downs.count()
}

fn clear_counts(net: &mut GossipNet) {
    for node in &mut net.nodes {
        (node.datagrams_out, node.bytes_out) = (0, 0);
        (node.datagrams_in, node.bytes_in) = (0, 0);
    }
}
