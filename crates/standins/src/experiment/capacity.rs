//! Capacity of the upstreams of a service shape.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use mux_model::{CallId, RequestId, ServiceName, ShardIndex, SnapshotId, UpstreamId};
use mux_timer::TimerService;
use mux_upstream::{CallHeader, PoolSettings, UpstreamPool};
use slog::{Discard, Logger, o};
use tokio::task::JoinSet;

use super::{
    leaf_group::LeafGroup, node_testbed::TestbedContext, scenario::Scenario, shape::ServiceShape,
};

const MEASURE_TIME: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_secs(5);
const SEED: u64 = 1;
/// A scenario that has no faults at the start.
const FAULTLESS_AT_START: Scenario = Scenario::LostReplica;

/// Measures the capacity of the upstreams of `shape` in queries per second, by direct calls that
/// keep every slot busy. A query makes one call per shard, and there are as many shards as
/// upstreams.
///
/// # Errors
///
/// Fails if the upstreams can't be started.
pub(crate) async fn measure(context: Arc<TestbedContext>, shape: ServiceShape) -> io::Result<f64> {
    let size = shape.size();
    let name = format!("{}-capacity", shape.name());
    let group = LeafGroup::start(context.clone(), &name, size, FAULTLESS_AT_START, SEED).await?;
    let client = DirectClient::new(context.timer.clone());
    let answered = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for (leaf, address) in group.upstreams().iter().enumerate() {
        client.pool.set_limit(UpstreamId(*address), size.connections);
        let shard = ShardIndex(u32::try_from(leaf).unwrap_or(u32::MAX));
        // One more call in flight than there are slots keeps all slots busy.
        for _ in 0..=size.slots {
            callers.spawn(client.clone().call_repeatedly(*address, shard, Arc::clone(&answered)));
        }
    }
    context.timer.sleep(MEASURE_TIME).await;
    let calls = answered.load(Ordering::Relaxed) as f64;
    Ok(calls / MEASURE_TIME.as_secs_f64() / f64::from(size.leaves))
}

/// Client that calls upstreams directly, without a node.
#[derive(Clone)]
pub(crate) struct DirectClient {
    pool: UpstreamPool,
    timer: TimerService,
}

impl DirectClient {
    pub(crate) fn new(timer: TimerService) -> Self {
        let log = Logger::root(Discard, o!());
        Self { pool: UpstreamPool::start(PoolSettings::default(), timer.clone(), log), timer }
    }

    /// Registers an upstream with a limit of one connection.
    pub(crate) fn connect(&self, upstream: SocketAddr) {
        self.pool.set_limit(UpstreamId(upstream), 1);
    }

    /// Calls one shard; returns whether a valid reply was received.
    pub(crate) async fn call(&self, upstream: SocketAddr, shard: ShardIndex) -> bool {
        let header = CallHeader {
            request: RequestId::random(),
            call: CallId(0),
            service: ServiceName::from("direct"),
            snapshot: SnapshotId(1),
            shard,
            deadline: self.timer.now() + CALL_LIMIT,
        };
        let body = Bytes::from_static(b"{}");
        self.pool.call(UpstreamId(upstream), &header, body).await.is_ok()
    }

    async fn call_repeatedly(
        self,
        upstream: SocketAddr,
        shard: ShardIndex,
        answered: Arc<AtomicU64>,
    ) {
        loop {
            if self.call(upstream, shard).await {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
