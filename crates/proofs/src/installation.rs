//! A small installation on loopback.

use std::{net::SocketAddr, time::Duration};

use mux_timer::TimerService;
use serde_json::{Value, json};

use super::{
    CallerClient, ChildProcess, KvProcess, LeafProcess, NodeAddresses, NodeProcess, QueryParts,
    RelayProcess, WorkDirectory, free_address, wait_until, with_overrides,
};

const PAUSE_LIMIT: Duration = Duration::from_secs(1);
const START_ATTEMPTS: u32 = 3;

/// Nodes and their platform; upstreams and relays are started when asked for.
///
/// All processes end when this and their handles are dropped.
#[derive(Debug)]
pub struct Installation {
    /// Clock and waits.
    pub timer: TimerService,
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    /// The platform.
    pub kv: KvProcess,
    /// Client in the role of a caller.
    pub caller: CallerClient,
    /// Settings files and logs.
    pub directory: WorkDirectory,
    /// Random, so that nodes of test programs that run side by side ignore one another.
    name: String,
}

/// Whether a process that was just started serves.
enum Readiness {
    Serves,
    Ended,
}

impl Installation {
    /// Starts the platform and `count` nodes, and waits until each sees the others.
    ///
    /// # Panics
    ///
    /// Panics if they don't start.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, &json!({})).await
    }

    /// Starts the platform and `count` nodes with the members of `settings` besides the usual
    /// ones, and waits until each sees the others.
    ///
    /// # Panics
    ///
    /// Panics if they don't start.
    pub async fn start_with(count: usize, settings: &Value) -> Self {
        let timer = TimerService::start(PAUSE_LIMIT);
        let directory = WorkDirectory::create();
        let kv = start_kv(&timer, &directory).await;
        let caller = CallerClient::new();
        let name = format!("proof-{:08x}", rand::random::<u32>());
        let mut installation = Self { timer, nodes: Vec::new(), kv, caller, directory, name };
        for _ in 0..count {
            installation.start_node(settings).await;
        }
        installation.wait_for_members(count).await;
        installation
    }

    /// Starts one more node with the members of `settings` besides the usual ones, and waits
    /// until it answers.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't start.
    pub async fn start_node(&mut self, settings: &Value) {
        let name = format!("node-{}", self.nodes.len() + 1);
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|it| it.addresses.peer).collect();
        let all = json!({
            "availability_zone": "muc-a",
            "installation": self.name,
            "platform": { "key_value": self.kv.address },
            "seeds": seeds,
            "timing": { "address_lifetime_ms": 500 },
        });
        let all = with_overrides(all, settings);
        for _ in 0..START_ATTEMPTS {
            let addresses = NodeAddresses::choose();
            let mut node = NodeProcess::start(&self.directory, &name, addresses, &all);
            if let Readiness::Serves = self.wait_for_node(&mut node).await {
                self.nodes.push(node);
                return;
            }
        }
        panic!("{name} does not start");
    }

    /// Starts a leaf with the members of `settings` besides the usual ones.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't start.
    pub async fn start_leaf(&self, settings: &Value) -> LeafProcess {
        for _ in 0..START_ATTEMPTS {
            let (address, control) = (free_address(), free_address());
            let mut leaf = LeafProcess::start(&self.directory, address, control, settings);
            let ready = wait_until(&self.timer, "a leaf starts", async || {
                if leaf.report().await.is_some() {
                    return Some(Readiness::Serves);
                }
                ended(&mut leaf.process)
            });
            if let Readiness::Serves = ready.await {
                return leaf;
            }
        }
        panic!("the leaf does not start");
    }

    /// Starts a relay of connections to `target`.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't start.
    pub async fn start_relay(&self, target: SocketAddr) -> RelayProcess {
        for _ in 0..START_ATTEMPTS {
            let (address, control) = (free_address(), free_address());
            let mut relay = RelayProcess::start(&self.directory, address, control, target, "tcp");
            let ready = wait_until(&self.timer, "a relay starts", async || {
                if relay.is_up().await {
                    return Some(Readiness::Serves);
                }
                ended(&mut relay.process)
            });
            if let Readiness::Serves = ready.await {
                return relay;
            }
        }
        panic!("the relay does not start");
    }

    /// Creates a service and waits until every node answers a query of it with all shards, if it
    /// is idempotent, or knows a snapshot of it otherwise.
    ///
    /// # Panics
    ///
    /// Panics if the service is refused or never answers.
    pub async fn create_service(&self, definition: &Value) {
        let reply = self.nodes[0].operators.create_service(definition).await.expect("a reply");
        assert!(matches!(reply.code.as_str(), "accepted" | "not_in_force"), "{reply:?}");
        let name = definition["name"].as_str().expect("a name");
        let idempotent = definition["idempotent"].as_bool().unwrap_or(true);
        for node in &self.nodes {
            self.wait_for_service(node, name).await;
            if idempotent {
                self.wait_for_full_answer(node, name).await;
            }
        }
    }

    /// Waits until `node` answers a query of `service` with all shards.
    ///
    /// # Panics
    ///
    /// Panics if that never happens.
    pub async fn wait_for_full_answer(&self, node: &NodeProcess, service: &str) {
        let at = node.addresses.caller;
        wait_until(&self.timer, "a full answer", async || {
            let outcome = self.caller.query(at, service, QueryParts::default()).await?;
            outcome.is_full().then_some(())
        })
        .await;
    }

    /// Waits until every node counts `count` members as alive.
    ///
    /// # Panics
    ///
    /// Panics if that never happens.
    pub async fn wait_for_members(&self, count: usize) {
        for node in &self.nodes {
            wait_until(&self.timer, "every node sees the others", async || {
                let status = node.operators.status().await?;
                let alive = status.members.iter().filter(|it| it.state == "alive").count();
                (alive == count).then_some(())
            })
            .await;
        }
    }

    /// Waits until `node` is ready, has `service` in force, and either is no home of it or reaches a
    /// replica of each of its shards.
    async fn wait_for_service(&self, node: &NodeProcess, service: &str) {
        wait_until(&self.timer, "a service in force", async || {
            let status = node.operators.status().await?;
            let service = status.services.iter().find(|it| it.name == service)?;
            let reaches_all =
                0 < service.shards_total && service.shards_reachable == service.shards_total;
            (status.state == "ready" && (!service.home || reaches_all)).then_some(())
        })
        .await;
    }

    async fn wait_for_node(&self, node: &mut NodeProcess) -> Readiness {
        wait_until(&self.timer, "a node starts", async || {
            let answers = node.operators.status().await.is_some();
            // The answer may be that of another program's node on the same port.
            ended(&mut node.process).or_else(|| answers.then_some(Readiness::Serves))
        })
        .await
    }
}

async fn start_kv(timer: &TimerService, directory: &WorkDirectory) -> KvProcess {
    for _ in 0..START_ATTEMPTS {
        let mut kv = KvProcess::start(directory, free_address());
        let ready = wait_until(timer, "the platform starts", async || {
            if kv.counters().await.is_some() {
                return Some(Readiness::Serves);
            }
            ended(&mut kv.process)
        });
        if let Readiness::Serves = ready.await {
            return kv;
        }
    }
    panic!("the platform does not start");
}

/// Tells a process that ended, as when its port was taken meanwhile, from one that is starting.
fn ended(process: &mut ChildProcess) -> Option<Readiness> {
    process.exit_status().map(|_| Readiness::Ended)
}
