//! The upstreams of one trial or measurement.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::Method;
use mux_model::{AvailabilityZone, FastMap, ShardIndex, SnapshotId};
use mux_upstream::HeldSnapshot;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{
    call_policy::AVAILABILITY_ZONE,
    child_process::ChildProcess,
    node_testbed::TestbedContext,
    scenario::Scenario,
    shape::{LeafGroupSize, base_latency},
};
use crate::{
    leaf::{LatencySettings, LeafControl, LeafFile, LeafSettings},
    relay::{RelayControl, RelayFile, RelayMode, RelayProtocol, RelaySettings},
};

const SNAPSHOT: SnapshotId = SnapshotId(1);
const QUEUE_PER_SLOT: u32 = 4;
const START_LIMIT: Duration = Duration::from_secs(10);
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// The upstreams of one trial or measurement; the first runs in a separate process behind a relay.
pub(crate) struct LeafGroup {
    context: Arc<TestbedContext>,
    first: Option<ChildProcess>,
    control_addresses: Vec<SocketAddr>,
    relay_control: SocketAddr,
    upstreams: Vec<SocketAddr>,
    calls_of_killed_upstream: FastMap<String, u64>,
    _others: ChildProcess,
    _relay: ChildProcess,
}

/// Counts of the calls that the upstreams of one trial or measurement received.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupCalls {
    /// All calls.
    pub(crate) received: u64,
    /// Distinct pairs of a query and a shard.
    pub(crate) distinct: u64,
}

#[derive(Debug, Deserialize)]
struct LeafCalls {
    calls: ReceivedCalls,
}

#[derive(Debug, Deserialize)]
struct ReceivedCalls {
    received: FastMap<String, u64>,
}

impl LeafGroup {
    /// Starts the upstreams, waits until they answer, and applies the behaviour of `scenario`.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or doesn't answer in time.
    pub(crate) async fn start(
        context: Arc<TestbedContext>,
        name: &str,
        size: LeafGroupSize,
        scenario: Scenario,
        seed: u64,
    ) -> io::Result<Self> {
        let settings = |it| LeafSettings {
            latency: scenario.latency(it),
            ..leaf_settings(&context, size, seed, it)
        };
        let leaves = (0..size.leaves).map(settings).collect();
        let group = Self::start_processes(context, name, leaves).await?;
        group.apply_scenario(scenario).await?;
        Ok(group)
    }

    /// Starts upstreams with almost no service time, and waits until they answer.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or doesn't answer in time.
    pub(crate) async fn start_with_minimal_latency(
        context: Arc<TestbedContext>,
        name: &str,
        size: LeafGroupSize,
    ) -> io::Result<Self> {
        let latency = LatencySettings { median_ms: 0.01, p99_ms: 0.02, ..base_latency() };
        let settings = |it| LeafSettings { latency, ..leaf_settings(&context, size, 0, it) };
        let leaves = (0..size.leaves).map(settings).collect();
        let group = Self::start_processes(context, name, leaves).await?;
        group.control_all(&LeafControl::default()).await?;
        Ok(group)
    }

    async fn start_processes(
        context: Arc<TestbedContext>,
        name: &str,
        mut leaves: Vec<LeafSettings>,
    ) -> io::Result<Self> {
        let control_addresses: Vec<_> = leaves.iter().filter_map(|it| it.control_listen).collect();
        let mut upstreams: Vec<_> = leaves.iter().map(|it| it.listen).collect();
        let (relay_listen, relay_control) = (context.ports.next(), context.ports.next());
        let relay = RelaySettings {
            listen: relay_listen,
            target: upstreams[0],
            protocol: RelayProtocol::Tcp,
            control_listen: relay_control,
        };
        upstreams[0] = relay_listen;
        let relay = RelayFile { relays: vec![relay] };
        let relay = context.start_test_double("relay", &format!("{name}-relay"), &relay)?;
        let others = LeafFile { leaves: leaves.split_off(1) };
        let others = context.start_test_double("leaf", &format!("{name}-others"), &others)?;
        let first =
            context.start_test_double("leaf", &format!("{name}-first"), &LeafFile { leaves })?;
        Ok(Self {
            context,
            first: Some(first),
            control_addresses,
            relay_control,
            upstreams,
            calls_of_killed_upstream: FastMap::default(),
            _others: others,
            _relay: relay,
        })
    }

    /// Returns the addresses at which nodes reach the upstreams.
    pub(crate) fn upstreams(&self) -> &[SocketAddr] {
        &self.upstreams
    }

    /// Kills the first upstream and resets its connections.
    pub(crate) async fn kill_first(&mut self) {
        self.calls_of_killed_upstream = self.read_calls(self.control_addresses[0]).await;
        self.first = None;
        self.control_relay(RelayMode::Cut).await;
    }

    /// Stops all transfer on the open connections to the first upstream.
    pub(crate) async fn silence_first(&self) {
        self.control_relay(RelayMode::SilentOpen).await;
    }

    /// Counts the calls received by all upstreams, including those of a killed one until the kill.
    pub(crate) async fn count_calls(&self) -> GroupCalls {
        let mut pairs = self.calls_of_killed_upstream.clone();
        for control in &self.control_addresses {
            for (name, count) in self.read_calls(*control).await {
                *pairs.entry(name).or_default() += count;
            }
        }
        GroupCalls { received: pairs.values().sum(), distinct: pairs.len() as u64 }
    }

    async fn apply_scenario(&self, scenario: Scenario) -> io::Result<()> {
        for (idx, control) in self.control_addresses.iter().enumerate() {
            let behaviour = scenario.behaviour(u32::try_from(idx).unwrap_or(u32::MAX));
            self.control_upstream(*control, &behaviour).await?;
        }
        Ok(())
    }

    async fn control_all(&self, behaviour: &LeafControl) -> io::Result<()> {
        for control in &self.control_addresses {
            self.control_upstream(*control, behaviour).await?;
        }
        Ok(())
    }

    async fn control_upstream(
        &self,
        control: SocketAddr,
        behaviour: &LeafControl,
    ) -> io::Result<()> {
        let body = serde_json::to_vec(behaviour)?;
        let deadline = self.context.timer.now() + START_LIMIT;
        loop {
            let body = body.clone().into();
            let reply: Option<Value> =
                self.context.client.send(Method::PUT, control, "/v1/control", body).await;
            if reply.is_some() {
                return Ok(());
            }
            if deadline < self.context.timer.now() {
                return Err(io::Error::other(format!(
                    "no reply from the upstream's control address {control} in time"
                )));
            }
            self.context.timer.sleep(RETRY_PERIOD).await;
        }
    }

    async fn read_calls(&self, control: SocketAddr) -> FastMap<String, u64> {
        let report: Option<LeafCalls> = self.context.client.get(control, "/v1/control").await;
        report.map(|it| it.calls.received).unwrap_or_default()
    }

    async fn control_relay(&self, mode: RelayMode) {
        let control = json!(RelayControl { mode, delay_ms: 0 });
        let body = control.to_string().into();
        let _: Option<Value> =
            self.context.client.send(Method::PUT, self.relay_control, "/v1/control", body).await;
    }
}

fn leaf_settings(
    context: &TestbedContext,
    size: LeafGroupSize,
    seed: u64,
    leaf: u32,
) -> LeafSettings {
    // Upstream `i` holds shards `i` and `i + 1`, so that each shard has two replicas.
    let shards = vec![ShardIndex(leaf), ShardIndex((leaf + 1) % size.leaves)];
    LeafSettings {
        listen: context.ports.next(),
        control_listen: Some(context.ports.next()),
        availability_zone: AvailabilityZone::from(AVAILABILITY_ZONE),
        slots: size.slots as usize,
        queue: (size.slots * QUEUE_PER_SLOT) as usize,
        connections: size.connections as usize,
        connect_cost_ms: size.connect_cost_ms,
        latency: base_latency(),
        seed: seed.wrapping_mul(1_000).wrapping_add(u64::from(leaf)),
        cold_calls: 0,
        cold_factor: 1.0,
        record_calls: true,
        crash_key: None,
        snapshots: vec![HeldSnapshot { snapshot: SNAPSHOT, shard_count: size.leaves, shards }],
    }
}
