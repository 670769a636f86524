//! Machines leave, and so do leafs; the machines that take over call the leafs for too long.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write as _,
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::{RequestKind, send},
    edge::SIGTERM,
    fleet::{Fleet, config, leaf_address, route},
    leaf::{Leaf, LeafSpec},
};

const NODES: usize = 9;
/// Leafs of the service that is called, and of others.
const LEAFS: [(&str, usize); 2] = [("desk", 12), ("other", 20)];
const DRAIN_S: f64 = 3.0;
const STABILITY_S: f64 = 4.0;
const ROUNDS: usize = 4;
/// Machines with an entry that stay.
const STAYING: usize = 2;
/// Time from the removal of its entry after which a leaf exits.
const EXIT_S: f64 = DRAIN_S + 0.2;
/// Times after the machines were told to leave at which the entry of a leaf is removed.
const REMOVALS_MS: [u64; 5] = [300, 450, 600, 750, 900];

pub fn run(program: &Path, work: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new(program, work);
    let record = Arc::clone(&fleet.record);
    let mut number = 0;
    let mut desks = VecDeque::new();
    for (service, count) in LEAFS {
        for _ in 0..count {
            let leaf = add_leaf(&mut fleet, service, &mut number);
            if service == "desk" {
                desks.push_back(leaf);
            }
        }
    }
    let services: Vec<_> = LEAFS.iter().map(|it| (it.0.to_owned(), 400)).collect();
    let routes = [
        route("/order/", "non_idempotent", 2_500, 250, "\"Service\":\"desk\""),
        route("/other/", "idempotent", 2_500, 250, "\"Service\":\"other\""),
    ];
    fleet.store.put("op/config", &config(7, &routes, &services));
    fleet.start_nodes(NODES, &["a"], 200.0);
    if !fleet.wait_ready() {
        record.note("a node was not ready in time");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let kind = RequestKind {
        method: "POST",
        path: "/order/".to_owned(),
        deadline_ms: 2_500,
        body_bytes: 100,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    // Times from which removed leafs must not be called, and times in which nodes were not calm.
    let mut removed: BTreeMap<String, f64> = BTreeMap::new();
    let mut restless: Vec<(usize, f64, f64)> = Vec::new();
    let late = unannounced(&fleet);
    record.note(&format!("nodes without an entry in the store: {late:?}"));
    if late.is_empty() {
        return 2;
    }
    for node in 0..NODES {
        for _ in 0..if late.contains(&node) { 30 } else { 2 } {
            let (record, kind, stop) = (Arc::clone(&record), kind.clone(), Arc::clone(&stop));
            let address = fleet.front(node);
            clients.push(thread::spawn(move || {
                let mut conn = None;
                while !stop.load(Ordering::Relaxed) {
                    let sent = send(&record, node, address, &mut conn, &kind);
                    record.add_sent(sent);
                    thread::sleep(Duration::from_millis(10));
                }
            }));
        }
    }
    for round in 0..ROUNDS {
        // The nodes that take over have started while the others were there.
        let from = record.now();
        late.iter().for_each(|it| fleet.edges[*it].signal(SIGTERM));
        for node in &late {
            fleet.edges[*node].wait();
            let program = fleet.program.clone();
            fleet.edges[*node].restart(&program);
        }
        for node in &late {
            fleet.edges[*node].wait_ready(Duration::from_secs(5));
            restless.push((*node, from, record.now()));
        }
        thread::sleep(Duration::from_secs_f64(STABILITY_S + 0.5));
        let mut leaving: Vec<_> =
            (0..NODES).filter(|it| !unannounced(&fleet).contains(it)).collect();
        record.note(&format!("round {round}: nodes with an entry: {leaving:?}"));
        leaving.truncate(leaving.len().saturating_sub(STAYING));
        let from = record.now();
        if has_trouble {
            record.note(&format!("SIGTERM to {leaving:?}"));
            leaving.iter().for_each(|it| fleet.edges[*it].signal(SIGTERM));
        }
        let mut past = 0;
        let mut exits = Vec::new();
        for at in REMOVALS_MS {
            thread::sleep(Duration::from_millis(at - past));
            past = at;
            let leaf: Leaf = desks.pop_front().expect("a leaf");
            fleet.store.remove(&leaf.key());
            let acknowledged = record.now();
            record.note(&format!("the entry of {} is removed", leaf.key()));
            removed.insert(leaf.id(), acknowledged);
            exits.push(thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(EXIT_S));
                leaf.end();
            }));
        }
        exits.into_iter().for_each(|it| _ = it.join());
        for _ in REMOVALS_MS {
            let leaf = add_leaf(&mut fleet, "desk", &mut number);
            desks.push_back(leaf);
        }
        thread::sleep(Duration::from_millis(1_500));
        if has_trouble {
            for node in &leaving {
                fleet.edges[*node].wait();
                let program = fleet.program.clone();
                fleet.edges[*node].restart(&program);
            }
            for node in &leaving {
                fleet.edges[*node].wait_ready(Duration::from_secs(5));
                restless.push((*node, from, record.now()));
            }
            thread::sleep(Duration::from_millis(2_500));
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| _ = it.join());
    let sent = record.sent.lock().expect("sent");
    let runs = record.runs.lock().expect("runs");
    let by_id: BTreeMap<_, _> = sent.iter().map(|it| (it.request.as_str(), it)).collect();
    let mut text = record.notes.lock().expect("notes").join("\n");
    text.push_str(
        "\n\nRequests that reached a leaf later than DrainMs after its entry was removed:\n",
    );
    let (mut broken, mut lost) = (0, 0);
    for run in runs.iter() {
        let (Some(at), Some(sent)) = (removed.get(&run.leaf), by_id.get(run.request.as_str()))
        else {
            continue;
        };
        let is_out = restless.iter().any(|(node, from, until)| {
            *node == sent.node && *from <= run.at && sent.at <= until + STABILITY_S
        });
        if at + DRAIN_S < run.at && !is_out {
            broken += 1;
            let name = &fleet.edges[sent.node].settings.name;
            lost += usize::from(sent.status != 200);
            let _ = writeln!(
                text,
                "sent at {:.3} s to {name}, at {} at {:.3} s, {:.3} s after the acknowledgement, \
                 status {}",
                sent.at,
                run.leaf,
                run.at,
                run.at - at,
                sent.status
            );
        }
    }
    let _ = writeln!(
        text,
        "{broken} of {} runs; {lost} of them have no answer of the leaf",
        runs.len()
    );
    println!("{text}");
    let _ = fs::write(folder.join("record.txt"), &text);
    i32::from(0 < broken)
}

fn add_leaf(fleet: &mut Fleet, service: &str, number: &mut usize) -> Leaf {
    let leaf = fleet.add_leaf(LeafSpec {
        id: format!("i-{service}-{number}"),
        service: service.to_owned(),
        zone: "a".to_owned(),
        address: leaf_address(*number),
        slots: 16,
        queue: 40,
        max_connections: 400,
        work: Duration::from_millis(80),
        bytes: 16,
    });
    *number += 1;
    leaf
}

/// Returns the nodes without an entry in the store.
fn unannounced(fleet: &Fleet) -> Vec<usize> {
    let keys = fleet.store.keys("mustardmux/nodes/");
    let has_entry = |it: &usize| {
        keys.iter().any(|key| key.ends_with(&format!("/{}", fleet.edges[*it].settings.name)))
    };
    (0..NODES).filter(|it| !has_entry(it)).collect()
}
