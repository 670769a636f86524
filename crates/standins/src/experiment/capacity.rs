//! What the upstreams of a shape can answer.

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
    leaf_group::LeafGroup, node_bench::BenchContext, scenario::Scenario, shape::ServiceShape,
};

const MEASURE_TIME: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_secs(5);
const SEED: u64 = 1;
/// The scenario without faults at the start.
const FAULTLESS: Scenario = Scenario::LostReplica;

/// Returns the queries per second that the upstreams of `shape` answer when every slot is busy,
/// measured without a node.
///
/// # Errors
///
/// Fails if the upstreams can't be started.
pub(crate) async fn measure(context: Arc<BenchContext>, shape: ServiceShape) -> io::Result<f64> {
    let size = shape.size();
    let name = format!("{}-capacity", shape.name());
    let group = LeafGroup::start(context.clone(), &name, size, FAULTLESS, SEED).await?;
    let client = DirectClient::new(context.timer.clone());
    let answered = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for (leaf, address) in group.upstreams().iter().enumerate() {
        client.pool.set_limit(UpstreamId(*address), size.connections);
        let shard = ShardIndex(u32::try_from(leaf).unwrap_or(u32::MAX));
        // One call more than there are slots keeps all of them busy.
        for _ in 0..=size.slots {
            callers.spawn(client.clone().call_again(*address, shard, Arc::clone(&answered)));
        }
    }
    context.timer.sleep(MEASURE_TIME).await;
    let calls = answered.load(Ordering::Relaxed) as f64;
    Ok(calls / MEASURE_TIME.as_secs_f64() / f64::from(size.leaves))
}

/// Calls upstreams without a node.
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

    /// Makes an upstream known.
    pub(crate) fn connect(&self, upstream: SocketAddr) {
        self.pool.set_limit(UpstreamId(upstream), 1);
    }

    /// Calls one shard; returns whether a reply came.
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

    async fn call_again(self, upstream: SocketAddr, shard: ShardIndex, answered: Arc<AtomicU64>) {
        loop {
            if self.call(upstream, shard).await {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
