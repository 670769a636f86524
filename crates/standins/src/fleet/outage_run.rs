//! Queries and store calls before, during and after an outage of the key-value service.

use std::{io, time::Duration};

use futures::future::join_all;
use hyper::Method;
use serde_json::{Value, json};

use super::{fleet_settings::FleetSettings, node_fleet::NodeFleet};
use crate::{
    experiment::{ChildProcess, TestbedContext},
    leaf::{LatencySettings, LeafFile, LeafSettings},
};

const SERVICE: &str = "shopfront-01";
/// Pause between rounds of one query at each node.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Counts of one phase.
#[derive(Debug, Default)]
struct PhaseCounts {
    queries: u64,
    /// Queries without a reply of full coverage.
    incomplete: u64,
    store_calls: u64,
}

/// Runs the phases and returns their counts as Markdown.
///
/// # Errors
///
/// Fails if a process can't be started or the service doesn't become ready.
pub(crate) async fn measure(
    context: &TestbedContext,
    settings: &FleetSettings,
) -> io::Result<String> {
    let fleet = NodeFleet::start(context, settings.outage_nodes).await?;
    let (definition, _leaf) = start_leaf(context, settings.seed)?;
    fleet.change_service(0, "create", &definition, 0).await?;
    wait_until_ready(&fleet).await?;
    let mut text = format!(
        "Store outage at {} nodes, one query every {} ms at each node:\n\n\
         | phase | queries | not done | store calls/s in all |\n|---|---|---|---|\n",
        settings.outage_nodes,
        ROUND_PAUSE.as_millis(),
    );
    let phase_time = Duration::from_millis(settings.outage_ms);
    for (name, down) in [("before", false), ("store down", true), ("after", false)] {
        fleet.set_store_down(down).await;
        let counts = count_phase(&fleet, phase_time).await?;
        let rate = counts.store_calls as f64 / phase_time.as_secs_f64();
        text += &format!("| {name} | {} | {} | {rate:.2} |\n", counts.queries, counts.incomplete);
    }
    Ok(text)
}

async fn count_phase(fleet: &NodeFleet<'_>, phase_time: Duration) -> io::Result<PhaseCounts> {
    let store_before = fleet.store_calls().await?;
    let end = fleet.context.timer.now() + phase_time;
    let mut counts = PhaseCounts::default();
    while fleet.context.timer.now() < end {
        let results =
            join_all((0..fleet.nodes.len()).map(|idx| query_has_full_coverage(fleet, idx))).await;
        counts.queries += results.len() as u64;
        counts.incomplete += results.iter().filter(|it| !**it).count() as u64;
        fleet.context.timer.sleep(ROUND_PAUSE).await;
    }
    counts.store_calls = fleet.store_calls().await? - store_before;
    Ok(counts)
}

async fn wait_until_ready(fleet: &NodeFleet<'_>) -> io::Result<()> {
    let deadline = fleet.context.timer.now() + READY_LIMIT;
    for idx in 0..fleet.nodes.len() {
        while !query_has_full_coverage(fleet, idx).await {
            if deadline < fleet.context.timer.now() {
                return Err(io::Error::other(format!(
                    "node-{idx} did not answer with full coverage in time"
                )));
            }
            fleet.context.timer.sleep(ROUND_PAUSE).await;
        }
    }
    Ok(())
}

async fn query_has_full_coverage(fleet: &NodeFleet<'_>, idx: usize) -> bool {
    let path = format!("/v1/services/{SERVICE}/query");
    let body = json!({ "query": {} }).to_string().into();
    let caller = fleet.nodes[idx].caller;
    let reply: Option<Value> = fleet.context.client.send(Method::POST, caller, &path, body).await;
    reply.is_some_and(|it| it["coverage"]["share"] == 1.0)
}

/// Starts one upstream that holds all shards; returns the service definition and the process.
fn start_leaf(context: &TestbedContext, seed: u64) -> io::Result<(Value, ChildProcess)> {
    let listen = context.ports.next();
    let snapshots = json!([{ "snapshot": 1, "shard_count": 1, "shards": [0] }]);
    let leaf = LeafSettings {
        listen,
        control_listen: None,
        availability_zone: mux_model::AvailabilityZone::from("muc-a"),
        slots: 32,
        queue: 64,
        connections: 100,
        connect_cost_ms: 0,
        latency: LatencySettings { median_ms: 1.0, p99_ms: 3.0, ..LatencySettings::default() },
        seed,
        cold_calls: 0,
        cold_factor: 1.0,
        record_calls: false,
        crash_key: None,
        snapshots: serde_json::from_value(snapshots)?,
    };
    let process =
        context.start_test_double("leaf", "fleet-leaf", &LeafFile { leaves: vec![leaf] })?;
    let definition = json!({
        "name": SERVICE,
        "upstreams": [{ "address": listen, "availability_zone": "muc-a" }],
        "limits": { "slots_per_upstream": 32, "connections_per_upstream": 100 },
    });
    Ok((definition, process))
}
