//! Overhead of a node: processor time, added latency and memory.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use hyper::Method;
use mux_model::{ServiceName, ShardIndex};
use serde_json::{Value, json};
use tokio::net::TcpStream;

use super::{
    call_policy::CallPolicy,
    capacity::DirectClient,
    leaf_group::LeafGroup,
    node_testbed::{NodeTestbed, TestbedContext},
    shape::LeafGroupSize,
    trial_run::poisson_load,
};
use crate::load::LoadGenerator;

const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const FANOUT_SIZE: LeafGroupSize =
    LeafGroupSize { leaves: 73, slots: 6, connections: 25, connect_cost_ms: 1 };
const FANOUT_RATE: f64 = 172.0;
const FANOUT_SECONDS: u64 = 8;
const WARMUP_MS: u64 = 2_000;
const SINGLE_SIZE: LeafGroupSize =
    LeafGroupSize { leaves: 1, slots: 6, connections: 25, connect_cost_ms: 1 };
const LATENCY_SAMPLES: u32 = 3_000;
const IDLE_CONNECTIONS: u64 = 1_000;

/// Measures the overhead of a node and returns the results as Markdown.
///
/// # Errors
///
/// Fails if a process can't be started or the node doesn't accept a service.
pub(crate) async fn measure(context: Arc<TestbedContext>) -> io::Result<String> {
    let fanout = measure_fanout(Arc::clone(&context)).await?;
    let added = measure_added_latency(Arc::clone(&context)).await?;
    let memory = measure_memory(context).await?;
    Ok(format!("{fanout}{added}{memory}"))
}

/// Measures processor time per upstream call for queries that fan out to 73 shards.
async fn measure_fanout(context: Arc<TestbedContext>) -> io::Result<String> {
    let testbed = NodeTestbed::start(Arc::clone(&context), "wide").await?;
    let (group, service) = start_service(&testbed, "wide", FANOUT_SIZE).await?;
    let load = |duration_ms, seed| {
        let settings =
            poisson_load(testbed.caller, service.clone(), FANOUT_RATE, duration_ms, seed);
        LoadGenerator::new(settings, context.timer.clone()).run()
    };
    load(WARMUP_MS, 1).await;
    let calls_before = group.count_calls().await.received;
    let ticks_before = testbed.node.cpu_ticks()?;
    let started = context.timer.now();
    let report = load(FANOUT_SECONDS * 1_000, 2).await.report();
    let elapsed = context.timer.now().since(started).as_secs_f64();
    let cpu = (testbed.node.cpu_ticks()? - ticks_before) as f64 / CLOCK_TICKS_PER_SECOND;
    let calls = (group.count_calls().await.received - calls_before) as f64;
    Ok(format!(
        "- 73 upstreams a query at {FANOUT_RATE} queries/s on one node: {:.2} cores, {:.0} us of \
         processor time per upstream call ({:.0} calls/s); p50 {:.1} ms, p99 {:.1} ms; coverage \
         {:.4}; {} of {} queries without an answer.\n",
        cpu / elapsed,
        cpu * 1e6 / calls,
        calls / elapsed,
        report.p50_ms,
        report.p99_ms,
        report.coverage_mean,
        report.refused,
        report.sent,
    ))
}

/// Measures the latency of sequential queries to one upstream, direct and through a node; the
/// upstream has almost no service time.
async fn measure_added_latency(context: Arc<TestbedContext>) -> io::Result<String> {
    let testbed = NodeTestbed::start(Arc::clone(&context), "single").await?;
    let (group, service) = start_service(&testbed, "single", SINGLE_SIZE).await?;
    let client = DirectClient::new(context.timer.clone());
    let upstream = group.upstreams()[0];
    client.connect(upstream);
    let mut direct = new_histogram()?;
    let mut through_node = new_histogram()?;
    for _ in 0..LATENCY_SAMPLES {
        let started = context.timer.now();
        client.call(upstream, ShardIndex(0)).await;
        direct.record(micros(context.timer.now().since(started))).map_err(io::Error::other)?;
        let started = context.timer.now();
        query(&context, testbed.caller, &service).await?;
        through_node
            .record(micros(context.timer.now().since(started)))
            .map_err(io::Error::other)?;
    }
    let added = |q| through_node.value_at_quantile(q) as i64 - direct.value_at_quantile(q) as i64;
    Ok(format!(
        "- One query at a time, one upstream: direct call p50 {} us, p99 {} us; through the node \
         p50 {} us, p99 {} us; added p50 {} us, p99 {} us ({LATENCY_SAMPLES} samples each).\n",
        direct.value_at_quantile(0.5),
        direct.value_at_quantile(0.99),
        through_node.value_at_quantile(0.5),
        through_node.value_at_quantile(0.99),
        added(0.5),
        added(0.99),
    ))
}

/// Measures the memory that a node uses per idle caller connection.
async fn measure_memory(context: Arc<TestbedContext>) -> io::Result<String> {
    let testbed = NodeTestbed::start(Arc::clone(&context), "memory").await?;
    let (_group, _service) = start_service(&testbed, "memory", SINGLE_SIZE).await?;
    let before = testbed.node.resident_kb()?;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(open_idle(testbed.caller).await?);
    }
    let after = testbed.node.resident_kb()?;
    let each = after.saturating_sub(before) as f64 / IDLE_CONNECTIONS as f64;
    Ok(format!(
        "- Memory per open connection of a caller: {each:.1} KB (resident memory {before} KB \
         before and {after} KB with {IDLE_CONNECTIONS} more).\n"
    ))
}

async fn start_service(
    testbed: &NodeTestbed,
    name: &str,
    size: LeafGroupSize,
) -> io::Result<(LeafGroup, ServiceName)> {
    let group =
        LeafGroup::start_with_minimal_latency(Arc::clone(&testbed.context), name, size).await?;
    let service = ServiceName::from(name);
    let definition =
        CallPolicy::ServiceDefaults.definition(service.clone(), size, group.upstreams());
    testbed.apply(&definition).await?;
    testbed.wait_until_ready(&service).await?;
    Ok((group, service))
}

async fn query(
    context: &TestbedContext,
    caller: SocketAddr,
    service: &ServiceName,
) -> io::Result<()> {
    let path = format!("/v1/services/{service}/query");
    let body = json!({ "query": {}, "deadline_ms": 1_000 }).to_string();
    let reply: Option<Value> = context.client.send(Method::POST, caller, &path, body.into()).await;
    reply.map(drop).ok_or_else(|| io::Error::other("no reply to a query through the node"))
}

/// Opens a connection and waits for one reply on it, so that the node has set it up fully.
async fn open_idle(caller: SocketAddr) -> io::Result<TcpStream> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let mut stream = TcpStream::connect(caller).await?;
    let request = format!("GET /v1/services/none/addresses HTTP/1.1\r\nhost: {caller}\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    stream.read_exact(&mut [0; 16]).await?;
    Ok(stream)
}

fn new_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new(3).map_err(io::Error::other)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).max(1)
}
