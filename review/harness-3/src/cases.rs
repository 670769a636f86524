//! The cases.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Callers, Network, Node, NodeSettings, folders},
    leaf::Leaf,
    link::StoreLink,
    record::Record,
    store::Store,
};

const HOST: &str = "shop.example";
const SERVICE: &str = "orders";
const OTHER_SERVICE: &str = "invoices";
/// `DrainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(3_000);
/// `ConfigApplyMs` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// `ValueBytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;
/// Time after which a waiting watch is cut, in milliseconds.
const WATCH_CUT_MS: (u64, u64) = (300, 700);
/// By how much the clock of a leaf's machine is ahead, in milliseconds.
const CLOCK_STEP_MS: u64 = 2_400;
/// Time for which a node is cut from the store.
const CUT: Duration = Duration::from_millis(5_500);
/// Number of changes of the configuration.
const ROUNDS: u64 = 10;
/// Number of leafs that leave one after the other, of twelve.
const LEAVING_LEAFS: usize = 5;
/// Number of entries of another writer.
const ODD_ENTRIES: usize = 16;
/// `StabilityMs` of the settings.
const STABILITY: Duration = Duration::from_millis(4_000);

fn config(version: u64, routes: &str) -> String {
    let service = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}}"#
        )
    };
    let services = format!("{},{}", service(SERVICE), service(OTHER_SERVICE));
    format!(
        r#"{{"Version":{version},"Routes":[{routes}],"Services":[{services}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

fn route(prefix: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"Name":"r-{kind}","Host":"{HOST}","Prefix":"{prefix}","RouteType":"{kind}","TimeoutMs":2500,"TargetLatencyMs":250,"Priority":2,"Service":"{service}","MaxAttempts":2}}"#
    )
}

/// A store, leafs, nodes that are ready, and the folder of their logs.
struct Installation {
    store: Store,
    leafs: Vec<Arc<Leaf>>,
    nodes: Vec<Node>,
    /// The link of each node to the store.
    links: Vec<StoreLink>,
    network: Network,
}

impl Installation {
    fn start(
        record: &Record,
        leafs: usize,
        others: usize,
        work_ms: u64,
        nodes: u8,
        prepare: impl Fn(&Store, &[Arc<Leaf>]),
    ) -> Self {
        let network = Network::find();
        let store = Store::start(network.listen(200));
        let leafs: Vec<Arc<Leaf>> = (0..leafs + others)
            .map(|idx| {
                let address = network.listen(100 + idx as u8).local_addr().unwrap();
                let work = Duration::from_millis(work_ms);
                let service = if idx < leafs { SERVICE } else { OTHER_SERVICE };
                Leaf::new(&format!("i-{idx}"), service, address, work, record.clone())
            })
            .collect();
        prepare(&store, &leafs);
        store.write("op/config", &config(1, &route("/x/", "idempotent", SERVICE)));
        let links: Vec<StoreLink> = (1..=nodes)
            .map(|last| StoreLink::start(network.listen(200 + last), store.address))
            .collect();
        let mut installation = Self { store, leafs, nodes: Vec::new(), links, network };
        for last in 1..=nodes {
            installation.nodes.push(installation.start_node(last));
        }
        installation.nodes.iter().for_each(Node::wait_ready);
        let (_, folder) = folders();
        record.result(&format!("{nodes} nodes are ready; logs in {}", folder.display()));
        installation
    }

    /// Starts the process of a node, the first time or again; nodes are numbered from 1.
    fn start_node(&self, number: u8) -> Node {
        let (root, folder) = folders();
        let store = self.links[usize::from(number) - 1].address;
        Node::start(&root, &folder, &self.network, number, &NodeSettings { store })
    }

    /// Returns the index of the node to which the directory sends no caller.
    fn hidden_node(&self) -> usize {
        let request =
            "GET /api/resolve?Name=shop.example&Region=r&Zone=a HTTP/1.1\r\nHost: d\r\n\r\n";
        let answer = fleet::call(self.nodes[0].directory, request, 1_000);
        let Ok(answer) = answer else { fleet::cannot_run("the directory does not answer") };
        let named = String::from_utf8_lossy(&answer.body).into_owned();
        let hidden = self.nodes.iter().position(|it| !named.contains(&it.callers.to_string()));
        hidden.unwrap_or_else(|| fleet::cannot_run("callers are directed to all nodes"))
    }

    /// Returns the index of the peer whose copy of the store a node reads, by its log.
    fn peer_of(&self, node: usize) -> Option<usize> {
        let (_, folder) = folders();
        let log = folder.join(format!("front-a-{}.log", node + 1));
        let log = std::fs::read_to_string(log).ok()?;
        let line = log.lines().rfind(|it| it.contains("relay: reading the copy of a peer"))?;
        let name = line.split("\"peer\":\"front-a-").nth(1)?;
        let number: usize = name.split('"').next()?.parse().ok()?;
        number.checked_sub(1)
    }

    fn callers(&self, record: &Record, count: usize, period_ms: u64) -> Callers {
        let nodes = self.nodes.iter().map(|it| it.callers).collect();
        Callers::start(count, nodes, HOST, "/x/", 2_500, Duration::from_millis(period_ms), record)
    }
}

/// Reports the requests that reached `leaf` later than `DrainMs` after `accepted`.
fn late_runs(record: &Record, leaf: &Leaf, accepted: Instant) -> bool {
    let late = leaf.runs_after(accepted + DRAIN);
    for run in &late {
        let after = run.at.duration_since(accepted).as_millis();
        record.line(&format!("late: {} reached {} {after} ms after", run.id, leaf.id));
    }
    let last = late.last().map_or(0, |it| it.at.duration_since(accepted).as_millis());
    record.result(&format!(
        "{} requests reached {} later than {} ms after the store had accepted that it leaves; \
         the last one {last} ms after",
        late.len(),
        leaf.id,
        DRAIN.as_millis()
    ));
    !late.is_empty()
}

/// Waiting watches are cut while leafs leave that never report that they drain.
pub fn watch_cut(record: &Record, has_trouble: bool) -> bool {
    let installation = Installation::start(record, 12, 0, 30, 3, |store, leafs| {
        for leaf in leafs {
            leaf.start(0);
            leaf.register(store, "ready");
        }
    });
    let store = &installation.store;
    store.set_watch_cut(has_trouble.then_some(WATCH_CUT_MS));
    let callers = installation.callers(record, 24, 80);
    thread::sleep(STABILITY + Duration::from_secs(4));
    let mut accepted = Vec::new();
    for leaf in &installation.leafs[..LEAVING_LEAFS] {
        accepted.push(leaf.unregister(store));
        thread::sleep(Duration::from_millis(2_700));
    }
    // They go on serving for `DrainMs` and some seconds.
    thread::sleep(DRAIN + Duration::from_secs(6));
    installation.leafs[..LEAVING_LEAFS].iter().for_each(|it| it.end());
    let exchanges = callers.stop();
    let served = exchanges.iter().filter(|it| it.status == 200).count();
    record.result(&format!(
        "{} requests, {served} served; {} watches were cut, {} calls of the store",
        exchanges.len(),
        store.cut_watches(),
        store.calls()
    ));
    let leaving = installation.leafs.iter().zip(accepted);
    leaving.fold(false, |is_broken, (leaf, at)| late_runs(record, leaf, at) || is_broken)
}

/// A leaf starts while the clock of its machine is ahead, crashes, and starts again under its id after the
/// clock has jumped back. Later it drains.
pub fn clock_back(record: &Record, has_trouble: bool) -> bool {
    let ahead_ms = if has_trouble { CLOCK_STEP_MS } else { 0 };
    let installation = Installation::start(record, 2, 0, 30, 3, |store, leafs| {
        for leaf in &leafs[1..] {
            leaf.start(0);
            leaf.register(store, "ready");
        }
    });
    let callers = installation.callers(record, 24, 80);
    let leaf = &installation.leafs[0];
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("i-0 starts; the clock of its machine is {ahead_ms} ms ahead"));
    leaf.start(ahead_ms);
    leaf.register(&installation.store, "ready");
    thread::sleep(Duration::from_secs(1));
    record.line("the clock of its machine is right again; i-0 crashes, and starts again");
    leaf.end();
    thread::sleep(Duration::from_millis(500));
    leaf.start(0);
    leaf.register(&installation.store, "ready");
    thread::sleep(STABILITY + Duration::from_secs(4));
    let accepted = leaf.register(&installation.store, "draining");
    // It goes on serving for `DrainMs` and some seconds.
    thread::sleep(DRAIN + Duration::from_secs(6));
    leaf.end();
    leaf.unregister(&installation.store);
    let exchanges = callers.stop();
    let served = exchanges.iter().filter(|it| it.status == 200).count();
    record.result(&format!("{} requests, {served} served", exchanges.len()));
    late_runs(record, leaf, accepted)
}

/// Another writer leaves unreadable entries of the largest size in the store; then a route moves.
pub fn large_entries(record: &Record, has_trouble: bool) -> bool {
    let installation = Installation::start(record, 2, 2, 10, 3, |store, leafs| {
        for leaf in leafs {
            leaf.start(0);
            leaf.register(store, "ready");
        }
    });
    let store = &installation.store;
    let callers = installation.callers(record, 24, 100);
    thread::sleep(STABILITY);
    if has_trouble {
        let bytes = vec![0x80; VALUE_BYTES];
        for number in 0..ODD_ENTRIES {
            store.write_bytes(&format!("servers/odd-{number}"), &bytes);
        }
        record.line(&format!("store accepts {ODD_ENTRIES} entries of {VALUE_BYTES} bytes"));
    }
    thread::sleep(STABILITY);
    let moved = config(5, &route("/x/", "idempotent", OTHER_SERVICE));
    record.line(&format!("store accepts op/config {moved}"));
    let accepted = store.write("op/config", &moved);
    thread::sleep(CONFIG_APPLY + Duration::from_secs(8));
    let exchanges = callers.stop();
    let served = exchanges.iter().filter(|it| it.status == 200).count();
    record.result(&format!("{} requests, {served} served", exchanges.len()));
    let sent_late = exchanges.iter().filter(|it| accepted + CONFIG_APPLY < it.sent);
    let old: Vec<_> = sent_late
        .filter(|it| {
            let old_leafs = &installation.leafs[..2];
            old_leafs.iter().any(|leaf| leaf.runs.lock().unwrap().iter().any(|run| run.id == it.id))
        })
        .collect();
    for it in &old {
        let after = it.sent.duration_since(accepted).as_millis();
        record.line(&format!("old: {} sent {after} ms after ran at the old service", it.id));
    }
    let last = old.last().map_or(0, |it| it.sent.duration_since(accepted).as_millis());
    record.result(&format!(
        "{} requests sent later than {} ms after the store had accepted version 5 ran at the \
         service of version 1; the last one was sent {last} ms after",
        old.len(),
        CONFIG_APPLY.as_millis()
    ));
    !old.is_empty()
}

/// A node is cut from the store while the other nodes are killed and started again; a leaf leaves while
/// these are down.
pub fn lost_removal(record: &Record, has_trouble: bool) -> bool {
    let mut installation = Installation::start(record, 4, 0, 30, 3, |store, leafs| {
        for leaf in leafs {
            leaf.start(0);
            leaf.register(store, "ready");
        }
    });
    let callers = installation.callers(record, 24, 100);
    thread::sleep(STABILITY);
    let cut_at = Instant::now();
    if has_trouble {
        record.line("front-a-1 is cut from the store");
        installation.links[0].cut();
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        record.line("the processes of front-a-2 and front-a-3 are killed");
        installation.nodes.truncate(1);
    }
    thread::sleep(Duration::from_millis(200));
    let leaf = Arc::clone(&installation.leafs[0]);
    let accepted = leaf.unregister(&installation.store);
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        record.line("the processes of front-a-2 and front-a-3 start again");
        for number in [2, 3] {
            let node = installation.start_node(number);
            installation.nodes.push(node);
        }
    }
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    installation.links[0].heal();
    record.line("front-a-1 reaches the store again");
    let in_touch = Instant::now() + STABILITY;
    // It goes on serving for `DrainMs` and some seconds.
    thread::sleep(STABILITY + Duration::from_secs(3));
    leaf.end();
    let exchanges = callers.stop();
    let served = exchanges.iter().filter(|it| it.status == 200).count();
    record.result(&format!("{} requests, {served} served", exchanges.len()));
    let late = leaf.runs_after(in_touch.max(accepted + DRAIN));
    for run in &late {
        let after = run.at.duration_since(accepted).as_millis();
        record.line(&format!("late: {} reached {} {after} ms after", run.id, leaf.id));
    }
    let last = late.last().map_or(0, |it| it.at.duration_since(accepted).as_millis());
    record.result(&format!(
        "with all nodes in touch again, {} requests reached {} later than {} ms after the store had \
         accepted that it is gone; the last one {last} ms after",
        late.len(),
        leaf.id,
        DRAIN.as_millis()
    ));
    !late.is_empty()
}

/// A node that callers are not directed to reads the copy of a peer. The store forgets its history while the
/// configuration changes, and the peer is cut from the store before its watch is cut.
pub fn lost_watch(record: &Record, has_trouble: bool) -> bool {
    let installation = Installation::start(record, 2, 2, 10, 4, |store, leafs| {
        for leaf in leafs {
            leaf.start(0);
            leaf.register(store, "ready");
        }
    });
    let Installation { store, leafs, nodes, links, .. } = &installation;
    thread::sleep(Duration::from_secs(4));
    let hidden = installation.hidden_node();
    record.result(&format!("callers are not directed to front-a-{}", hidden + 1));
    let nodes_called = vec![nodes[hidden].callers];
    let callers =
        Callers::start(4, nodes_called, HOST, "/x/", 2_500, Duration::from_millis(100), record);
    let mut late = 0;
    let mut latest = 0;
    for round in 1..=ROUNDS {
        let Some(peer) = installation.peer_of(hidden) else {
            fleet::cannot_run("the node reads no peer's copy");
        };
        let service = if round % 2 == 0 { SERVICE } else { OTHER_SERVICE };
        let text = config(1 + round, &route("/x/", "idempotent", service));
        record.line(&format!(
            "the store forgets its history; peer of the node: front-a-{}",
            peer + 1
        ));
        let deaf_at = store.compact();
        thread::sleep(Duration::from_millis(50));
        let accepted = store.write("op/config", &text);
        record.line(&format!("store accepts op/config {text}"));
        thread::sleep(Duration::from_millis(900).saturating_sub(deaf_at.elapsed()));
        if has_trouble {
            record.line(&format!("front-a-{} is cut from the store", peer + 1));
            links[peer].cut_silently();
        }
        thread::sleep(CUT);
        links[peer].heal();
        record.line(&format!("front-a-{} reaches the store again", peer + 1));
        thread::sleep(Duration::from_millis(3_400));
        let old_leafs = if round % 2 == 0 { &leafs[2..] } else { &leafs[..2] };
        for exchange in callers.exchanges.lock().unwrap().iter() {
            let ran =
                |it: &Arc<Leaf>| it.runs.lock().unwrap().iter().any(|it| it.id == exchange.id);
            if accepted + CONFIG_APPLY < exchange.sent && old_leafs.iter().any(ran) {
                let after = exchange.sent.duration_since(accepted).as_millis();
                record.line(&format!("old: {} sent {after} ms after", exchange.id));
                late += 1;
                latest = latest.max(after);
            }
        }
        callers.exchanges.lock().unwrap().clear();
        leafs.iter().for_each(|it| it.runs.lock().unwrap().clear());
    }
    drop(callers.stop());
    record.result(&format!(
        "{late} requests sent later than {} ms after the store had accepted a version ran at the service \
         of an older one; the last one was sent {latest} ms after",
        CONFIG_APPLY.as_millis()
    ));
    0 < late
}
