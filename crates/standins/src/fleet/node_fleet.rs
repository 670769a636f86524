//! Node processes with their key-value service.

use std::{io, net::SocketAddr, time::Duration};

use hyper::Method;
use mux_admin::{
    ChangeReply, ChangeServiceRequest, GetStatusRequest, NodeStatus,
    operators_client::OperatorsClient,
};
use mux_model::FastMap;
use serde::Serialize;
use serde_json::{Value, json};
use tonic::transport::Channel;

use crate::{
    experiment::{ChildProcess, TestbedContext},
    kv::FaultPlan,
};

const ZONES: [&str; 3] = ["muc-a", "muc-b", "nbg-a"];
const SEED_COUNT: usize = 3;
const START_LIMIT: Duration = Duration::from_secs(60);
const RETRY_PERIOD: Duration = Duration::from_millis(200);
const OPERATOR: &str = "measure";

/// One node of a fleet.
#[derive(Debug)]
pub(crate) struct FleetNode {
    /// Process of the node.
    pub(crate) process: ChildProcess,
    /// Address for callers.
    pub(crate) caller: SocketAddr,
    /// Address for metrics.
    pub(crate) metrics: SocketAddr,
    operator: SocketAddr,
}

/// Node processes with their key-value service; all are killed on drop.
pub(crate) struct NodeFleet<'a> {
    pub(crate) context: &'a TestbedContext,
    pub(crate) nodes: Vec<FleetNode>,
    store: SocketAddr,
    _store: ChildProcess,
}

#[derive(Debug, Clone, Copy)]
struct ListenAddresses {
    caller: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
    metrics: SocketAddr,
}

impl<'a> NodeFleet<'a> {
    /// Starts the processes and waits until every node lists all nodes as alive.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or the nodes don't discover each other in time.
    pub(crate) async fn start(context: &'a TestbedContext, count: usize) -> io::Result<Self> {
        let store = context.ports.next();
        let name = format!("fleet-{count}");
        let process =
            context.start_test_double("kv", &format!("{name}-kv"), &json!({"listen": store}));
        let addresses: Vec<_> = (0..count).map(|_| ListenAddresses::allocate(context)).collect();
        let seeds: Vec<_> = addresses.iter().take(SEED_COUNT).map(|it| it.peer).collect();
        let mut fleet = Self { context, nodes: Vec::new(), store, _store: process? };
        for (idx, addresses) in addresses.iter().enumerate() {
            let settings = json!({
                "node": format!("node-{idx}"),
                "availability_zone": ZONES[idx % ZONES.len()],
                "listen": {
                    "caller": addresses.caller,
                    "peer": addresses.peer,
                    "operator": addresses.operator,
                    "metrics": addresses.metrics,
                },
                "platform": { "key_value": store },
                "seeds": seeds,
            });
            fleet.nodes.push(start_node(context, &format!("{name}-{idx}"), *addresses, &settings)?);
        }
        fleet.wait_until_joined().await?;
        Ok(fleet)
    }

    /// Creates a service, or replaces its definition if `expected_revision` is not 0, through the
    /// node at `idx`; returns the reply.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be reached.
    pub(crate) async fn change_service<T: Serialize>(
        &self,
        idx: usize,
        change_id: &str,
        definition: &T,
        expected_revision: u64,
    ) -> io::Result<ChangeReply> {
        let mut client = self.operators_client(idx).await?;
        let request = ChangeServiceRequest {
            definition_json: serde_json::to_string(definition)?,
            change_id: change_id.to_owned(),
            operator: OPERATOR.to_owned(),
            expected_revision,
            dry_run: false,
        };
        let reply = match expected_revision {
            0 => client.create_service(request).await,
            _ => client.update_service(request).await,
        };
        reply.map(tonic::Response::into_inner).map_err(io::Error::other)
    }

    /// Returns the status of the node at `idx`.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be reached.
    pub(crate) async fn status(&self, idx: usize) -> io::Result<NodeStatus> {
        let reply = self.operators_client(idx).await?.get_status(GetStatusRequest {}).await;
        reply.map(tonic::Response::into_inner).map_err(io::Error::other)
    }

    /// Returns the number of calls that the key-value service has received.
    ///
    /// # Errors
    ///
    /// Fails if it can't be reached.
    pub(crate) async fn store_calls(&self) -> io::Result<u64> {
        let path = "/v1/counters";
        let counters: Option<FastMap<String, u64>> =
            self.context.client.get(self.store, path).await;
        let counters = counters.ok_or_else(|| {
            io::Error::other("the counters of the key-value service can't be read")
        })?;
        let calls = counters.iter().filter(|(name, _)| !name.starts_with("bytes"));
        Ok(calls.map(|(_, count)| count).sum())
    }

    /// Makes the key-value service reject every call if `down`, and serve calls otherwise.
    pub(crate) async fn set_store_down(&self, down: bool) {
        let plan = json!(FaultPlan { down, ..FaultPlan::default() });
        let body = plan.to_string().into();
        let client = &self.context.client;
        let _: Option<Value> = client.send(Method::PUT, self.store, "/v1/faults", body).await;
    }

    async fn operators_client(&self, idx: usize) -> io::Result<OperatorsClient<Channel>> {
        let uri = format!("http://{}", self.nodes[idx].operator);
        OperatorsClient::connect(uri).await.map_err(io::Error::other)
    }

    async fn wait_until_joined(&self) -> io::Result<()> {
        let deadline = self.context.timer.now() + START_LIMIT;
        let mut idx = 0;
        while idx < self.nodes.len() {
            if self.status(idx).await.is_ok_and(|it| self.sees_all_nodes(&it)) {
                idx += 1;
                continue;
            }
            if deadline < self.context.timer.now() {
                return Err(io::Error::other(format!(
                    "node-{idx} did not list all nodes as alive in time"
                )));
            }
            self.context.timer.sleep(RETRY_PERIOD).await;
        }
        Ok(())
    }

    fn sees_all_nodes(&self, status: &NodeStatus) -> bool {
        status.members.iter().filter(|it| it.state == "alive").count() == self.nodes.len()
    }
}

impl ListenAddresses {
    fn allocate(context: &TestbedContext) -> Self {
        Self {
            caller: context.ports.next(),
            peer: context.ports.next(),
            operator: context.ports.next(),
            metrics: context.ports.next(),
        }
    }
}

fn start_node(
    context: &TestbedContext,
    name: &str,
    addresses: ListenAddresses,
    settings: &Value,
) -> io::Result<FleetNode> {
    let settings = context.directory.write(name, settings)?;
    let arguments = ["node", "--settings", &settings.to_string_lossy()];
    let process = ChildProcess::start(&context.directory, name, &context.program_path, &arguments)?;
    let ListenAddresses { caller, operator, metrics, .. } = addresses;
    Ok(FleetNode { process, caller, metrics, operator })
}
