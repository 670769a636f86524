//! Settings of leaves and definitions of services.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Returns leaf settings with one snapshot.
pub fn leaf_settings(snapshot: u64, shard_count: u32, shards: &[u32]) -> Value {
    json!({ "snapshots": [held_snapshot(snapshot, shard_count, shards)] })
}

/// Returns an entry of a leaf's list of snapshots.
pub fn held_snapshot(snapshot: u64, shard_count: u32, shards: &[u32]) -> Value {
    json!({ "snapshot": snapshot, "shard_count": shard_count, "shards": shards })
}

/// Returns latency settings of a leaf that takes the same time for each request.
pub fn fixed_latency(millis: u64) -> Value {
    json!({ "median_ms": millis, "p99_ms": millis })
}

/// Returns the definition of a service with long limits, so that its answers do not depend on
/// the speed of the machine.
pub fn service_definition(name: &str, upstreams: &[SocketAddr]) -> Value {
    let entry = |it: &SocketAddr| json!({ "address": it, "availability_zone": "muc-a" });
    json!({
        "name": name,
        "upstreams": upstreams.iter().map(entry).collect::<Vec<_>>(),
        "latency_target_ms": 60_000,
        "deadline_ms": 60_000,
    })
}

/// Returns `base` with the members of `change` instead of its own.
///
/// # Panics
///
/// Panics if `change` is no object.
pub fn with_overrides(mut base: Value, change: &Value) -> Value {
    for (name, value) in change.as_object().expect("an object") {
        base[name] = value.clone();
    }
    base
}
