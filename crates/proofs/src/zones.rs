//! Installations over availability zones.

use serde_json::{Value, json};

use super::{Installation, LeafProcess};

/// Names of the availability zones, in the order in which nodes are placed.
pub const ZONES: [&str; 3] = ["muc-a", "muc-b", "nbg-a"];

/// Starts `count` nodes spread over [`ZONES`], with short times, and lists them as VMs.
///
/// The times after which a node distrusts itself are the longest allowed, so that a busy machine
/// does not make one refuse queries.
///
/// # Panics
///
/// Panics if the nodes don't start.
pub async fn start_in_zones(count: usize) -> Installation {
    start_with_timing(count, &json!({})).await
}

/// Starts nodes as [`start_in_zones`] does, with the members of `timing` besides the usual ones.
///
/// # Panics
///
/// Panics if the nodes don't start or `timing` is no object.
pub async fn start_with_timing(count: usize, timing: &Value) -> Installation {
    let mut all = json!({
        "probe_period_ms": 200,
        "address_lifetime_ms": 500,
        "isolation_limit_ms": 5_000,
        "pause_limit_ms": 5_000,
        "upstream_status_ms": 200,
        "watch_limit_ms": 500,
    });
    for (name, value) in timing.as_object().expect("an object") {
        all[name] = value.clone();
    }
    let mut installation = Installation::start(0).await;
    for idx in 0..count {
        let zone = ZONES[idx % ZONES.len()];
        installation.start_node(&json!({ "availability_zone": zone, "timing": all })).await;
    }
    list_nodes(&installation).await;
    installation.wait_for_members(count).await;
    installation
}

/// Lists all nodes as live VMs.
///
/// # Panics
///
/// Panics if the platform does not take the list.
pub async fn list_nodes(installation: &Installation) {
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

/// Starts an upstream that holds both shards of `snapshot` and has time for many queries.
///
/// # Panics
///
/// Panics if it doesn't start.
pub async fn start_whole_leaf(installation: &Installation, snapshot: u64) -> LeafProcess {
    let settings = json!({
        "slots": 64, "queue": 256, "connections": 100,
        "snapshots": [{ "snapshot": snapshot, "shard_count": 2, "shards": [0, 1] }],
    });
    installation.start_leaf(&settings).await
}

/// Returns a definition that gives queries all the time they need.
pub fn patient_service(name: &str, leaves: &[&LeafProcess]) -> Value {
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
