//! An installation of nodes on the loopback interface.

use std::{net::SocketAddr, time::Duration};

use mux_timer::TimerService;
use serde_json::{Value, json};

use super::{
    CallerClient, ChildProcess, KvProcess, LeafProcess, NodeAddresses, NodeProcess, QueryRequest,
    RelayProcess, WorkDirectory, free_address, wait_until, with_overrides,
};

const PAUSE_LIMIT: Duration = Duration::from_secs(1);
const START_ATTEMPTS: u32 = 3;

/// Nodes and their platform; upstreams and relays are started separately.
///
/// Each process is killed when its handle is dropped.
#[derive(Debug)]
pub struct Installation {
    /// Clock and timers.
    pub timer: TimerService,
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    /// Stand-in for the platform: the key-value service and the VM list.
    pub kv: KvProcess,
    /// Client of the nodes' interface for callers.
    pub caller: CallerClient,
    /// Directory of settings files and logs.
    pub directory: WorkDirectory,
    /// Limit of open descriptors of each node; `None` for that of the test.
    max_descriptors: Option<usize>,
    /// Random installation name, so that nodes of concurrent test programs ignore one another.
    name: String,
}

/// Outcome of starting a process.
enum StartOutcome {
    Ready,
    Exited,
}

impl Installation {
    /// Starts the platform and `count` nodes, and waits until each reports all as alive.
    ///
    /// # Panics
    ///
    /// Panics if a process doesn't start.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, &json!({})).await
    }

    /// Starts the platform and `count` nodes, with `settings` overriding the default ones, and
    /// waits until each reports all as alive.
    ///
    /// # Panics
    ///
    /// Panics if a process doesn't start.
    pub async fn start_with(count: usize, settings: &Value) -> Self {
        Self::start_limited(count, settings, None).await
    }

    /// Starts like [`Self::start_with`], with a limit of open descriptors of each node unless that is
    /// `None`.
    ///
    /// # Panics
    ///
    /// Panics if a process doesn't start.
    pub async fn start_limited(
        count: usize,
        settings: &Value,
        max_descriptors: Option<usize>,
    ) -> Self {
        let timer = TimerService::start(PAUSE_LIMIT);
        let directory = WorkDirectory::create();
        let kv = start_kv(&timer, &directory).await;
        let caller = CallerClient::new();
        let name = format!("proof-{:08x}", rand::random::<u32>());
        let nodes = Vec::new();
        let mut installation = Self { timer, nodes, kv, caller, directory, max_descriptors, name };
        for _ in 0..count {
            installation.start_node(settings).await;
        }
        installation.wait_for_members(count).await;
        installation
    }

    /// Starts one more node, with `settings` overriding the default ones, and waits until it
    /// responds.
    ///
    /// # Panics
    ///
    /// Panics if the node doesn't start.
    pub async fn start_node(&mut self, settings: &Value) {
        let name = format!("node-{}", self.nodes.len() + 1);
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|it| it.addresses.peer).collect();
        let node_settings = json!({
            "availability_zone": "muc-a",
            "installation": self.name,
            "platform": { "key_value": self.kv.address },
            "seeds": seeds,
            "timing": { "address_lifetime_ms": 500 },
        });
        let node_settings = with_overrides(node_settings, settings);
        for _ in 0..START_ATTEMPTS {
            let addresses = NodeAddresses::allocate();
            let limit = self.max_descriptors;
            let mut node =
                NodeProcess::start(&self.directory, &name, addresses, &node_settings, limit);
            if let StartOutcome::Ready = self.wait_for_node(&mut node).await {
                self.nodes.push(node);
                return;
            }
        }
        panic!("{name} did not start in {START_ATTEMPTS} attempts");
    }

    /// Starts a leaf with `settings` overriding the default ones, and waits until it responds.
    ///
    /// # Panics
    ///
    /// Panics if the leaf doesn't start.
    pub async fn start_leaf(&self, settings: &Value) -> LeafProcess {
        for _ in 0..START_ATTEMPTS {
            let (address, control) = (free_address(), free_address());
            let mut leaf = LeafProcess::start(&self.directory, address, control, settings);
            let outcome = wait_until(&self.timer, "the leaf responds", async || {
                if leaf.report().await.is_some() {
                    return Some(StartOutcome::Ready);
                }
                exited(&mut leaf.process)
            });
            if let StartOutcome::Ready = outcome.await {
                return leaf;
            }
        }
        panic!("the leaf did not start in {START_ATTEMPTS} attempts");
    }

    /// Starts a TCP relay to `target`, and waits until it responds.
    ///
    /// # Panics
    ///
    /// Panics if the relay doesn't start.
    pub async fn start_relay(&self, target: SocketAddr) -> RelayProcess {
        for _ in 0..START_ATTEMPTS {
            let (address, control) = (free_address(), free_address());
            let mut relay = RelayProcess::start(&self.directory, address, control, target, "tcp");
            let outcome = wait_until(&self.timer, "the relay responds", async || {
                if relay.is_ready().await {
                    return Some(StartOutcome::Ready);
                }
                exited(&mut relay.process)
            });
            if let StartOutcome::Ready = outcome.await {
                return relay;
            }
        }
        panic!("the relay did not start in {START_ATTEMPTS} attempts");
    }

    /// Creates a service, and waits until it is in force at every node, its home nodes reach all
    /// shards and, if it is idempotent, every node replies to a query with full coverage.
    ///
    /// # Panics
    ///
    /// Panics if the service is rejected or does not become available.
    pub async fn create_service(&self, definition: &Value) {
        let reply =
            self.nodes[0].operator_client.create_service(definition).await.expect("a reply");
        assert!(matches!(reply.code.as_str(), "accepted" | "not_in_force"), "{reply:?}");
        let name = definition["name"].as_str().expect("the definition has a name");
        let idempotent = definition["idempotent"].as_bool().unwrap_or(true);
        for node in &self.nodes {
            self.wait_for_service(node, name).await;
            if idempotent {
                self.wait_for_full_coverage(node, name).await;
            }
        }
    }

    /// Waits until `node` replies to a query of `service` with full coverage.
    ///
    /// # Panics
    ///
    /// Panics if the wait times out.
    pub async fn wait_for_full_coverage(&self, node: &NodeProcess, service: &str) {
        let address = node.addresses.caller;
        wait_until(&self.timer, "a reply has full coverage", async || {
            let outcome = self.caller.query(address, service, QueryRequest::default()).await?;
            outcome.has_full_coverage().then_some(())
        })
        .await;
    }

    /// Waits until every node reports exactly `count` members as alive.
    ///
    /// # Panics
    ///
    /// Panics if the wait times out.
    pub async fn wait_for_members(&self, count: usize) {
        for node in &self.nodes {
            wait_until(&self.timer, "every node reports all members as alive", async || {
                let status = node.operator_client.status().await?;
                let alive = status.members.iter().filter(|it| it.state == "alive").count();
                (alive == count).then_some(())
            })
            .await;
        }
    }

    /// Waits until `node` is ready, has `service` in force, and, if it is a home node of the
    /// service, reaches a replica of each shard.
    async fn wait_for_service(&self, node: &NodeProcess, service: &str) {
        wait_until(&self.timer, "the service is in force and reachable", async || {
            let status = node.operator_client.status().await?;
            let service = status.services.iter().find(|it| it.name == service)?;
            let all_shards_reachable =
                0 < service.shards_total && service.shards_reachable == service.shards_total;
            (status.state == "ready" && (!service.home || all_shards_reachable)).then_some(())
        })
        .await;
    }

    async fn wait_for_node(&self, node: &mut NodeProcess) -> StartOutcome {
        wait_until(&self.timer, "the node responds", async || {
            let responds = node.operator_client.status().await.is_some();
            // An exit takes precedence: another program's node may have replied on the port.
            exited(&mut node.process).or_else(|| responds.then_some(StartOutcome::Ready))
        })
        .await
    }
}

async fn start_kv(timer: &TimerService, directory: &WorkDirectory) -> KvProcess {
    for _ in 0..START_ATTEMPTS {
        let mut kv = KvProcess::start(directory, free_address());
        let outcome = wait_until(timer, "the platform responds", async || {
            if kv.counters().await.is_some() {
                return Some(StartOutcome::Ready);
            }
            exited(&mut kv.process)
        });
        if let StartOutcome::Ready = outcome.await {
            return kv;
        }
    }
    panic!("the platform did not start in {START_ATTEMPTS} attempts");
}

/// Returns [`StartOutcome::Exited`] if the process has exited, for example because another process
/// has bound its port meanwhile.
fn exited(process: &mut ChildProcess) -> Option<StartOutcome> {
    process.exit_status().map(|_| StartOutcome::Exited)
}
