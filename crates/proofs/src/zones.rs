//! Installations that span several availability zones.

use serde_json::{Value, json};

use super::{Installation, LeafProcess};

/// Availability zones, in the order in which nodes are assigned to them.
pub const ZONES: [&str; 3] = ["muc-a", "muc-b", "nbg-a"];

/// Starts `count` nodes spread over [`ZONES`], with short probe and poll intervals, and registers
/// them as VMs.
///
/// The isolation and pause limits have their maximum values, so that a node on a busy machine
/// does not stop admitting queries.
///
/// # Panics
///
/// Panics if the nodes don't start.
pub async fn start_in_zones(count: usize) -> Installation {
    start_in_zones_with_timing(count, &json!({})).await
}

/// Starts nodes as [`start_in_zones`] does, with `timing` overriding the timing settings.
///
/// # Panics
///
/// Panics if the nodes don't start or `timing` is not a JSON object.
pub async fn start_in_zones_with_timing(count: usize, timing: &Value) -> Installation {
    let mut merged_timing = json!({
        "probe_period_ms": 200,
        "address_lifetime_ms": 500,
        "isolation_limit_ms": 5_000,
        "pause_limit_ms": 5_000,
        "upstream_status_ms": 200,
        "watch_limit_ms": 500,
    });
    for (name, value) in timing.as_object().expect("the timing settings are a JSON object") {
        merged_timing[name] = value.clone();
    }
    let mut installation = Installation::start(0).await;
    for idx in 0..count {
        let zone = ZONES[idx % ZONES.len()];
        installation
            .start_node(&json!({ "availability_zone": zone, "timing": merged_timing }))
            .await;
    }
    register_nodes_as_vms(&installation).await;
    installation.wait_for_members(count).await;
    installation
}

/// Replaces the VM list with all nodes, in the state `live`.
///
/// # Panics
///
/// Panics if the platform does not accept the list.
pub async fn register_nodes_as_vms(installation: &Installation) {
    let vms: Vec<_> = installation
        .nodes
        .iter()
        .map(|node| {
            json!({
                "ip": node.addresses.peer.ip(), "ports": [node.addresses.peer.port()],
                "role": "node", "availability_zone": "muc-a", "state": "live",
            })
        })
        .collect();
    installation.kv.set_vms(&json!({ "vms": vms })).await;
}

/// Starts a leaf that holds both shards of `snapshot` and serves many queries concurrently.
///
/// # Panics
///
/// Panics if the leaf doesn't start.
pub async fn start_leaf_with_all_shards(installation: &Installation, snapshot: u64) -> LeafProcess {
    let settings = json!({
        "slots": 64, "queue": 256, "connections": 100,
        "snapshots": [{ "snapshot": snapshot, "shard_count": 2, "shards": [0, 1] }],
    });
    installation.start_leaf(&settings).await
}

/// Returns a service definition with a 30 s deadline, high limits and no hedging.
pub fn long_deadline_service(name: &str, leaves: &[&LeafProcess]) -> Value {
    let upstreams: Vec<_> = leaves
        .iter()
        .map(|it| json!({ "address": it.address, "availability_zone": "muc-a" }))
        .collect();
    json!({
        "name": name,
        "upstreams": upstreams,
        "latency_target_ms": 30_000,
        "deadline_ms": 30_000,
        "coverage_minimum": 1.0,
        "limits": {
            "slots_per_upstream": 64, "connections_per_upstream": 100,
            "queries_in_flight": 1_000, "concurrency": "unlimited",
        },
        "hedging": { "mode": "off" },
    })
}
