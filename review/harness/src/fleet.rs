//! A small deployment: the store, leafs and nodes.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    edge::{Edge, NodeSettings, Ports},
    leaf::{Leaf, LeafSpec},
    record::Record,
    store::Store,
};

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Store,
    pub edges: Vec<Edge>,
    pub program: PathBuf,
    pub folder: PathBuf,
    pub ports: Ports,
}

pub const ZONES: [&str; 3] = ["a", "b", "c"];

fn free_ports<const N: usize>() -> [u16; N] {
    let held: Vec<_> =
        (0..N).map(|_| TcpListener::bind("127.0.0.1:0").expect("free port")).collect();
    std::array::from_fn(|it| held[it].local_addr().expect("address").port())
}

impl Fleet {
    pub fn new(program: &Path, folder: &Path) -> Self {
        let [front, ready, directory, metrics] = free_ports();
        let ports = Ports { front, ready, directory, relay: relay_port(), metrics };
        Self {
            record: Arc::new(Record::new()),
            store: Store::start(),
            edges: Vec::new(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            ports,
        }
    }

    /// Starts a leaf and writes its entry.
    pub fn add_leaf(&mut self, spec: LeafSpec) -> Leaf {
        let leaf = Leaf::start(spec, &self.record);
        self.store.put(&leaf.key(), &leaf.entry("ready", 1));
        leaf
    }

    /// Starts `count` nodes, spread over `zones`.
    pub fn start_nodes(&mut self, count: usize, zones: &[&str], link_mbps: f64) {
        for idx in 0..count {
            let settings = NodeSettings {
                name: format!("front-{}", idx + 1),
                zone: zones[idx % zones.len()].to_owned(),
                ip: format!("127.0.0.{}", 11 + idx),
                ports: self.ports,
                link_mbps,
                store: self.store.address,
            };
            self.edges.push(Edge::start(&self.program, &self.folder, settings));
        }
    }

    pub fn wait_ready(&self) -> bool {
        let limit = Duration::from_secs(15);
        let ready = self.edges.iter().all(|it| it.wait_ready(limit));
        // The nodes learn of each other.
        thread::sleep(Duration::from_millis(2_500));
        ready
    }

    pub fn front(&self, node: usize) -> SocketAddr {
        self.edges[node].settings.front()
    }
}

fn relay_port() -> u16 {
    // The range of a node has two ports at least.
    let [port] = free_ports();
    port.min(65_000)
}

/// Returns an address for a leaf.
pub fn leaf_address(number: usize) -> SocketAddr {
    let [port] = free_ports();
    format!("127.0.{}.{}:{port}", 1 + number / 200, 1 + number % 200).parse().expect("address")
}

/// Returns a configuration.
pub fn config(version: u64, routes: &[String], services: &[(String, u32)]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|(name, limit)| {
            format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":{limit}}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a route; `target` is its `Service` or `Fanout` with what belongs to it.
pub fn route(prefix: &str, kind: &str, timeout_ms: u64, aim_ms: u64, target: &str) -> String {
    format!(
        "{{\"Name\":\"r{}\",\"Host\":\"shop.example\",\"Prefix\":\"{prefix}\",\
         \"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{aim_ms},\
         \"Priority\":1,\"MaxAttempts\":3,{target}}}",
        prefix.replace('/', "-")
    )
}
