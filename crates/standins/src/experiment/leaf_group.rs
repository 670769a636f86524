//! The upstreams of one cell.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::Method;
use mux_model::{AvailabilityZone, FastMap, ShardIndex, SnapshotId};
use mux_upstream::HeldSnapshot;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{
    child_process::ChildProcess,
    node_bench::BenchContext,
    routing_choice::AVAILABILITY_ZONE,
    scenario::Scenario,
    shape::{ShapeSize, usual_latency},
};
use crate::{
    leaf::{LatencySettings, LeafControl, LeafFile, LeafSettings},
    relay::{RelayControl, RelayFile, RelayMode, RelayProtocol, RelaySettings},
};

const SNAPSHOT: SnapshotId = SnapshotId(1);
const QUEUE_PER_SLOT: u32 = 4;
const START_LIMIT: Duration = Duration::from_secs(10);
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// The upstreams of one cell; the first has a process of its own behind a relay.
pub(crate) struct LeafGroup {
    context: Arc<BenchContext>,
    first: Option<ChildProcess>,
    controls: Vec<SocketAddr>,
    relay_control: SocketAddr,
    upstreams: Vec<SocketAddr>,
    calls_at_lost: FastMap<String, u64>,
    _others: ChildProcess,
    _relay: ChildProcess,
}

/// Calls that the upstreams of one cell received.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupCalls {
    /// All calls.
    pub(crate) received: u64,
    /// Different pairs of a query and a shard.
    pub(crate) distinct: u64,
}

#[derive(Debug, Deserialize)]
struct LeafCalls {
    calls: NamedCalls,
}

#[derive(Debug, Deserialize)]
struct NamedCalls {
    received: FastMap<String, u64>,
}

impl LeafGroup {
    /// Starts the upstreams and waits until they answer.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or doesn't answer in time.
    pub(crate) async fn start(
        context: Arc<BenchContext>,
        name: &str,
        size: ShapeSize,
        scenario: Scenario,
        seed: u64,
    ) -> io::Result<Self> {
        let settings = |it| LeafSettings {
            latency: scenario.latency(it),
            ..leaf_settings(&context, size, seed, it)
        };
        let leaves = (0..size.leaves).map(settings).collect();
        let group = Self::start_all(context, name, leaves).await?;
        group.set_behaviour(scenario).await?;
        Ok(group)
    }

    /// Starts upstreams that answer at once, and waits until they do.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or doesn't answer in time.
    pub(crate) async fn start_fast(
        context: Arc<BenchContext>,
        name: &str,
        size: ShapeSize,
    ) -> io::Result<Self> {
        let latency = LatencySettings { median_ms: 0.01, p99_ms: 0.02, ..usual_latency() };
        let settings = |it| LeafSettings { latency, ..leaf_settings(&context, size, 0, it) };
        let leaves = (0..size.leaves).map(settings).collect();
        let group = Self::start_all(context, name, leaves).await?;
        group.set_all(&LeafControl::default()).await?;
        Ok(group)
    }

    async fn start_all(
        context: Arc<BenchContext>,
        name: &str,
        mut leaves: Vec<LeafSettings>,
    ) -> io::Result<Self> {
        let controls: Vec<_> = leaves.iter().filter_map(|it| it.control_listen).collect();
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
        let relay = context.start_standin("relay", &format!("{name}-relay"), &relay)?;
        let others = LeafFile { leaves: leaves.split_off(1) };
        let others = context.start_standin("leaf", &format!("{name}-others"), &others)?;
        let first =
            context.start_standin("leaf", &format!("{name}-first"), &LeafFile { leaves })?;
        Ok(Self {
            context,
            first: Some(first),
            controls,
            relay_control,
            upstreams,
            calls_at_lost: FastMap::default(),
            _others: others,
            _relay: relay,
        })
    }

    /// Returns the addresses of the upstreams as nodes reach them.
    pub(crate) fn upstreams(&self) -> &[SocketAddr] {
        &self.upstreams
    }

    /// Ends the first upstream and the connections to it.
    pub(crate) async fn lose_first(&mut self) {
        self.calls_at_lost = self.read_calls(self.controls[0]).await;
        self.first = None;
        self.control_relay(RelayMode::Cut).await;
    }

    /// Silences the open connections to the first upstream.
    pub(crate) async fn silence_first(&self) {
        self.control_relay(RelayMode::SilentOpen).await;
    }

    /// Returns the calls received by all upstreams, those of a lost one until its end.
    pub(crate) async fn count_calls(&self) -> GroupCalls {
        let mut pairs = self.calls_at_lost.clone();
        for control in &self.controls {
            for (name, count) in self.read_calls(*control).await {
                *pairs.entry(name).or_default() += count;
            }
        }
        GroupCalls { received: pairs.values().sum(), distinct: pairs.len() as u64 }
    }

    async fn set_behaviour(&self, scenario: Scenario) -> io::Result<()> {
        for (idx, control) in self.controls.iter().enumerate() {
            let behaviour = scenario.behaviour(u32::try_from(idx).unwrap_or(u32::MAX));
            self.set_one(*control, &behaviour).await?;
        }
        Ok(())
    }

    async fn set_all(&self, behaviour: &LeafControl) -> io::Result<()> {
        for control in &self.controls {
            self.set_one(*control, behaviour).await?;
        }
        Ok(())
    }

    async fn set_one(&self, control: SocketAddr, behaviour: &LeafControl) -> io::Result<()> {
        let body = serde_json::to_vec(behaviour)?;
        let give_up = self.context.timer.now() + START_LIMIT;
        loop {
            let body = body.clone().into();
            let reply: Option<Value> =
                self.context.client.send(Method::PUT, control, "/v1/control", body).await;
            if reply.is_some() {
                return Ok(());
            }
            if give_up < self.context.timer.now() {
                return Err(io::Error::other(format!("no upstream at {control}")));
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

fn leaf_settings(context: &BenchContext, size: ShapeSize, seed: u64, leaf: u32) -> LeafSettings {
    // Each shard is held by this upstream and by the one before it.
    let shards = vec![ShardIndex(leaf), ShardIndex((leaf + 1) % size.leaves)];
    LeafSettings {
        listen: context.ports.next(),
        control_listen: Some(context.ports.next()),
        availability_zone: AvailabilityZone::from(AVAILABILITY_ZONE),
        slots: size.slots as usize,
        queue: (size.slots * QUEUE_PER_SLOT) as usize,
        connections: size.connections as usize,
        connect_cost_ms: size.connect_cost_ms,
        latency: usual_latency(),
        seed: seed.wrapping_mul(1_000).wrapping_add(u64::from(leaf)),
        cold_calls: 0,
        cold_factor: 1.0,
        record_calls: true,
        snapshots: vec![HeldSnapshot { snapshot: SNAPSHOT, shard_count: size.leaves, shards }],
    }
}
