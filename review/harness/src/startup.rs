//! A node is killed and started again while clients send orders, which have a body.

use std::{
    fmt::Write as _,
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{RequestKind, send},
    edge::SIGKILL,
    fleet::{Fleet, ZONES, config, leaf_address, route},
    leaf::LeafSpec,
    record::Sent,
};

const BODY_BYTES: usize = 600;
/// Clients with a connection each to the node that is killed, and to the two others.
const CLIENTS: [usize; 3] = [96, 4, 4];
const LENGTH: Duration = Duration::from_secs(95);
/// Time from a start of the process to the next kill.
const GAP: Duration = Duration::from_millis(120);

pub fn run(program: &Path, work: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new(program, work);
    let record = Arc::clone(&fleet.record);
    for replica in 0..3 {
        fleet.add_leaf(LeafSpec {
            id: format!("i-desk-{replica}"),
            service: "desk".to_owned(),
            zone: ZONES[replica].to_owned(),
            address: leaf_address(replica),
            slots: 16,
            queue: 64,
            max_connections: 400,
            work: Duration::from_millis(2),
            bytes: 16,
        });
    }
    let routes = [route("/order/", "non_idempotent", 4_000, 600, "\"Service\":\"desk\"")];
    fleet.store.put("op/config", &config(7, &routes, &[("desk".to_owned(), 400)]));
    fleet.start_nodes(CLIENTS.len(), &ZONES, 1_000.0);
    if !fleet.wait_ready() {
        record.note("a node was not ready in time");
        return 2;
    }
    let kind = RequestKind {
        method: "POST",
        path: "/order/".to_owned(),
        deadline_ms: 4_000,
        body_bytes: BODY_BYTES,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (node, count) in CLIENTS.into_iter().enumerate() {
        for _ in 0..count {
            let (record, kind, stop) = (Arc::clone(&record), kind.clone(), Arc::clone(&stop));
            let address = fleet.front(node);
            clients.push(thread::spawn(move || {
                let mut conn = None;
                while !stop.load(Ordering::Relaxed) {
                    let sent = send(&record, node, address, &mut conn, &kind);
                    // The next request is a new one, so it needn't wait for `Retry-After`.
                    let pause = if sent.status == 200 { 2 } else { 1 };
                    record.add_sent(sent);
                    thread::sleep(Duration::from_millis(pause));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    record.note("the disruption begins");
    let mut kills = 0;
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        if has_trouble {
            let program = fleet.program.clone();
            let edge = &mut fleet.edges[0];
            edge.signal(SIGKILL);
            edge.wait();
            edge.restart(&program);
            kills += 1;
        }
        thread::sleep(GAP);
    }
    record.note(&format!("the disruption has ended; {kills} kills of front-1"));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| _ = it.join());
    judge(&fleet, folder)
}

fn judge(fleet: &Fleet, folder: &Path) -> i32 {
    let record = &fleet.record;
    let sent = record.sent.lock().expect("sent");
    let runs = record.runs.lock().expect("runs");
    let mut text = record.notes.lock().expect("notes").join("\n");
    text.push_str("\n\nRequests by node and status (0: refused, or closed without an answer):\n");
    let mut tally = std::collections::BTreeMap::new();
    sent.iter().for_each(|it| *tally.entry((it.node, it.status)).or_insert(0) += 1);
    for ((node, status), count) in tally {
        let _ = writeln!(text, "front-{} {status}: {count}", node + 1);
    }
    let _ = writeln!(text, "{} sent, {} run by leafs", sent.len(), runs.len());
    text.push_str("\nRequests that a leaf has run with another body than the client's:\n");
    let mut broken = 0;
    for run in runs.iter().filter(|it| !it.is_whole) {
        broken += 1;
        let answer = sent.iter().find(|it| it.request == run.request);
        let answer = answer.map_or("not known".to_owned(), describe);
        let _ = writeln!(
            text,
            "{:.3} s: {} runs {} {} with a body of {} bytes, sent with {BODY_BYTES}; answer: {answer}",
            run.at, run.leaf, run.method, run.target, run.body_bytes
        );
    }
    let _ = writeln!(text, "{broken} of {}", runs.len());
    println!("{text}");
    text.push_str("\nEach second: sent, answered with 200, run by leafs:\n");
    let mut seconds = std::collections::BTreeMap::new();
    for it in sent.iter() {
        let row: &mut [usize; 3] = seconds.entry(it.at as usize).or_default();
        row[0] += 1;
        row[1] += usize::from(it.status == 200);
    }
    runs.iter().for_each(|it| seconds.entry(it.at as usize).or_default()[2] += 1);
    for (second, [all, served, run]) in seconds {
        let _ = writeln!(text, "{second}: {all} {served} {run}");
    }
    let _ = fs::write(folder.join("record.txt"), &text);
    i32::from(0 < broken)
}

fn describe(sent: &Sent) -> String {
    format!("{} from front-{} after {:.1} ms", sent.status, sent.node + 1, sent.took * 1e3)
}
