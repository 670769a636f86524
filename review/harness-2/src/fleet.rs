//! A small deployment: the store, leafs and nodes on loopback addresses of their own.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process,
    sync::Arc,
    time::Duration,
};

use crate::{
    leaf::{fnv, Leaf, LeafPlan},
    node::Node,
    record::Record,
    store::Store,
};

pub const ZONE: &str = "muc-a";
/// `HeartbeatMs`
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How the ids of leafs are chosen.
pub enum IdOrder {
    /// Later leafs have greater ids, as with ids that begin with a time.
    ByStart,
    Random,
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub leafs: Vec<Arc<Leaf>>,
    net: [u8; 2],
    next_host: u8,
    next_id: u64,
    folder: PathBuf,
    id_order: IdOrder,
    next_beat: u32,
}

impl Fleet {
    pub fn start(record: &Record, nodes: u8, id_order: IdOrder) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let net = free_net();
        let host = |it: u8| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], it));
        let store_address = SocketAddr::new(host(1), 8229);
        let store = Store::start(store_address);
        let nodes = (0..nodes)
            .map(|it| {
                let name = format!("front-{ZONE}-{}", it + 1);
                Node::new(&name, host(10 + it), ZONE, store_address, &folder)
            })
            .collect();
        Self {
            record: record.clone(),
            store,
            nodes,
            leafs: Vec::new(),
            net,
            next_host: 50,
            next_id: 1,
            folder,
            id_order,
            next_beat: 0,
        }
    }

    /// Removes the entry of a leaf that has crashed three heartbeat intervals after its last heartbeat. A leaf
    /// writes one at its start, and then each interval.
    pub fn expire_entry(&mut self, leaf: &Leaf) {
        let age = leaf.started.elapsed();
        // The last heartbeats of leafs that had run for long are spread over an interval.
        self.next_beat = (self.next_beat + 1) % 30;
        let since_beat = match age < HEARTBEAT {
            true => age,
            false => HEARTBEAT * self.next_beat / 30,
        };
        let (store, key) = (self.store.clone(), format!("servers/{}", leaf.plan.id));
        std::thread::spawn(move || {
            std::thread::sleep((HEARTBEAT * 3).saturating_sub(since_beat));
            store.remove(&key);
        });
    }

    /// Returns an address that no leaf has had.
    pub fn new_address(&mut self) -> SocketAddr {
        self.next_host += 1;
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], self.next_host);
        SocketAddr::new(IpAddr::V4(ip), 8281)
    }

    /// Starts a leaf with a new id.
    pub fn start_leaf(&mut self, plan: LeafPlan) -> Arc<Leaf> {
        let id = match self.id_order {
            IdOrder::ByStart => format!("i-{:010x}", 0x40_0000_0000 + self.next_id),
            IdOrder::Random => format!("i-{:010x}", mix(self.next_id) >> 24),
        };
        self.next_id += 1;
        let plan = LeafPlan { id, ..plan };
        let leaf = Leaf::start(plan, &self.store, &self.record);
        self.leafs.push(Arc::clone(&leaf));
        leaf
    }

    pub fn start_nodes(&mut self) {
        self.nodes.iter_mut().for_each(Node::start);
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(&self) -> bool {
        self.nodes.iter().all(|it| it.wait_until_ready(Duration::from_secs(15)))
    }

    pub fn kill_nodes(&mut self) {
        self.record.say("all processes of the system are killed");
        self.nodes.iter_mut().for_each(Node::kill);
    }

    pub fn restart_nodes(&mut self) {
        self.start_nodes();
        self.record.say("they are started again");
    }

    pub fn directories(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::directory).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        self.record.flush();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// Returns a number that looks random.
fn mix(number: u64) -> u64 {
    let number = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns a part of the loopback network on which nothing listens at the ports of this deployment.
fn free_net() -> [u8; 2] {
    let pid = process::id();
    for attempt in 0..200 {
        let mark = fnv(&format!("{pid} {attempt}"));
        let net = [10 + (mark % 200) as u8, (mark >> 8) as u8];
        let is_free = (1..30_u8).all(|host| {
            [8225, 8226, 8227, 8229, 8281, 7740, 9464].iter().all(|port| {
                let ip = Ipv4Addr::new(127, net[0], net[1], host);
                TcpListener::bind((ip, *port)).is_ok()
            })
        });
        if is_free {
            return net;
        }
    }
    println!("no free loopback addresses");
    process::exit(2);
}
