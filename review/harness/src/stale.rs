//! One machine is cut from the store; another one, which reads its copy, keeps an old configuration.

use std::{
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
    edge::{Edge, NodeSettings, get},
    fleet::{Fleet, config, leaf_address, route},
    leaf::LeafSpec,
    proxy::Proxy,
};

/// Zones of the nodes: three, four and two machines.
const LAYOUT: [&str; 9] = ["a", "a", "a", "b", "b", "b", "b", "c", "c"];
const CONFIG_APPLY_S: f64 = 3.0;
const STABILITY_S: f64 = 4.0;
const CUT_S: f64 = 4.2;
const ROUNDS: usize = 14;

/// The time in which a node is not in touch.
struct Cut {
    node: usize,
    from: f64,
    until: f64,
}

struct Version {
    number: u64,
    service: &'static str,
    sent: f64,
    acknowledged: f64,
}

pub fn run(program: &Path, work: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new(program, work);
    let record = Arc::clone(&fleet.record);
    for (number, (service, zone)) in
        [("old", "a"), ("old", "b"), ("old", "c"), ("new", "a"), ("new", "b"), ("new", "c")]
            .iter()
            .enumerate()
    {
        fleet.add_leaf(LeafSpec {
            id: format!("i-{service}-{number}"),
            service: (*service).to_owned(),
            zone: (*zone).to_owned(),
            address: leaf_address(number),
            slots: 8,
            queue: 20,
            max_connections: 100,
            work: Duration::from_millis(2),
            bytes: 64,
        });
    }
    let services = [("old".to_owned(), 100), ("new".to_owned(), 100)];
    let mut versions: Vec<Version> = Vec::new();
    let write = |fleet: &Fleet, versions: &mut Vec<Version>| {
        let number = versions.last().map_or(7, |it| it.number + 3);
        let service = if versions.len() % 2 == 0 { "old" } else { "new" };
        let target = format!("\"Service\":\"{service}\"");
        let routes = [route("/probe/", "idempotent", 2_500, 250, &target)];
        let sent = fleet.record.now();
        fleet.store.put("op/config", &config(number, &routes, &services));
        let acknowledged = fleet.record.now();
        fleet.record.note(&format!("version {number} (service {service}) is acknowledged"));
        versions.push(Version { number, service, sent, acknowledged });
    };
    write(&fleet, &mut versions);
    let mut proxies = Vec::new();
    for (idx, zone) in LAYOUT.iter().enumerate() {
        let proxy = Proxy::start(fleet.store.address);
        let settings = NodeSettings {
            name: format!("front-{}", idx + 1),
            zone: (*zone).to_owned(),
            ip: format!("127.0.0.{}", 11 + idx),
            ports: fleet.ports,
            link_mbps: 1_000.0,
            store: proxy.address,
        };
        proxies.push(proxy);
        fleet.edges.push(Edge::start(program, work, settings));
    }
    if !fleet.wait_ready() {
        record.note("a node was not ready in time");
        return 2;
    }
    let hidden = hidden_nodes(&fleet);
    record.note(&format!("nodes to which no client is directed: {hidden:?}"));
    let kind = RequestKind {
        method: "GET",
        path: "/probe/".to_owned(),
        deadline_ms: 2_500,
        body_bytes: 0,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..LAYOUT.len())
        .map(|node| {
            let (record, kind, stop) = (Arc::clone(&record), kind.clone(), Arc::clone(&stop));
            let address = fleet.front(node);
            thread::spawn(move || {
                let mut conn = None;
                while !stop.load(Ordering::Relaxed) {
                    let sent = send(&record, node, address, &mut conn, &kind);
                    record.add_sent(sent);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let mut cuts = Vec::new();
    for round in 0..ROUNDS {
        write(&fleet, &mut versions);
        thread::sleep(Duration::from_millis(800));
        let target = hidden.first().and_then(|it| peer_of(&fleet, *it)).unwrap_or(3 + round % 4);
        let from = record.now();
        if has_trouble {
            record.note(&format!("{} is cut from the store", fleet.edges[target].settings.name));
            proxies[target].set_cut(true);
        }
        thread::sleep(Duration::from_millis(30));
        write(&fleet, &mut versions);
        thread::sleep(Duration::from_secs_f64(CUT_S));
        if has_trouble {
            proxies[target].set_cut(false);
            record.note("the cut has healed");
            cuts.push(Cut { node: target, from, until: record.now() });
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| _ = it.join());
    judge(&fleet, &versions, &cuts, folder)
}

/// Returns the nodes that no answer of the directory names.
fn hidden_nodes(fleet: &Fleet) -> Vec<usize> {
    let settings = &fleet.edges[0].settings;
    let directory =
        format!("{}:{}", settings.ip, settings.ports.directory).parse().expect("address");
    let mut named = String::new();
    for zone in ["a", "b", "c"] {
        let path = format!("/api/resolve?Name=shop.example&Region=r&Zone={zone}");
        named.push_str(&get(directory, &path).map_or(String::new(), |it| it.1));
    }
    let is_hidden = |it: &usize| !named.contains(&fleet.front(*it).to_string());
    (0..LAYOUT.len()).filter(is_hidden).collect()
}

/// Returns the node whose copy of the store `node` reads, by its log.
fn peer_of(fleet: &Fleet, node: usize) -> Option<usize> {
    let log = fs::read_to_string(fleet.edges[node].log_path()).ok()?;
    let line = log.lines().rfind(|it| it.contains("relay: reading the copy of a peer"))?;
    let name = line.split("\"peer\":\"").nth(1)?.split('"').next()?.to_owned();
    fleet.edges.iter().position(|it| it.settings.name == name)
}

fn judge(fleet: &Fleet, versions: &[Version], cuts: &[Cut], folder: &Path) -> i32 {
    let record = &fleet.record;
    let sent = record.sent.lock().expect("sent").clone();
    let runs = record.runs.lock().expect("runs").clone();
    let service_of: std::collections::HashMap<_, _> =
        runs.iter().map(|it| (it.request.as_str(), (it.service.as_str(), it.at))).collect();
    let mut text = record.notes.lock().expect("notes").join("\n");
    text.push_str(
        "\n\nRequests handled as only an older version allows, later than ConfigApplyMs:\n",
    );
    let mut broken = 0;
    for it in &sent {
        // A machine is in touch if the whole StabilityMs before was calm.
        let is_out = cuts.iter().any(|cut| {
            cut.node == it.node && cut.from <= it.at + it.took && it.at <= cut.until + STABILITY_S
        });
        let Some((service, ran_at)) = service_of.get(it.request.as_str()) else {
            continue;
        };
        let due = versions.iter().rfind(|v| v.acknowledged + CONFIG_APPLY_S < it.at);
        let Some(due) = due else { continue };
        // Any version that is not older than the one that is due may be in force.
        let allowed = versions.iter().filter(|v| due.number <= v.number && v.sent <= *ran_at);
        if !is_out && !allowed.clone().any(|v| v.service == *service) {
            broken += 1;
            let late = it.at - due.acknowledged;
            let name = &fleet.edges[it.node].settings.name;
            let _ = writeln!(
                text,
                "sent at {:.3} s to {name}, {late:.3} s after version {} was acknowledged, run by \
                 service {service} at {ran_at:.3} s, status {}, id {}",
                it.at, due.number, it.status, it.request
            );
        }
    }
    let _ = writeln!(text, "{broken} of {} requests", sent.len());
    let bad = sent.iter().filter(|it| it.status != 200).count();
    let _ = writeln!(text, "{bad} requests were not answered with 200");
    println!("{text}");
    text.push_str("\nAll requests: seconds, node, status, id, service that ran it:\n");
    for it in &sent {
        let service = service_of.get(it.request.as_str()).map_or("none", |it| it.0);
        let _ =
            writeln!(text, "{:.3} {} {} {} {service}", it.at, it.node + 1, it.status, it.request);
    }
    let _ = fs::write(folder.join("record.txt"), &text);
    i32::from(0 < broken)
}
