//! Settings of leaves (stand-ins for upstreams) and definitions of services.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Returns settings of a leaf that holds `shards` of one snapshot.
pub fn leaf_settings(snapshot: u64, shard_count: u32, shards: &[u32]) -> Value {
    json!({ "snapshots": [snapshot_entry(snapshot, shard_count, shards)] })
}

/// Returns an entry for the `snapshots` setting of a leaf that holds `shards`.
pub fn snapshot_entry(snapshot: u64, shard_count: u32, shards: &[u32]) -> Value {
    json!({ "snapshot": snapshot, "shard_count": shard_count, "shards": shards })
}

/// Returns latency settings of a leaf that takes `millis` milliseconds for each request.
pub fn fixed_latency(millis: u64) -> Value {
    json!({ "median_ms": millis, "p99_ms": millis })
}

/// Returns a service definition with long time limits, so that outcomes do not depend on the
/// speed of the machine.
pub fn service_definition(name: &str, upstreams: &[SocketAddr]) -> Value {
    let entry = |it: &SocketAddr| json!({ "address": it, "availability_zone": "muc-a" });
    json!({
        "name": name,
        "upstreams": upstreams.iter().map(entry).collect::<Vec<_>>(),
        "latency_target_ms": 60_000,
        "deadline_ms": 60_000,
    })
}

/// Returns `base` with its members replaced by those of `overrides`; nested objects are not merged.
///
/// # Panics
///
/// Panics if `overrides` is not a JSON object.
pub fn with_overrides(mut base: Value, overrides: &Value) -> Value {
    for (name, value) in overrides.as_object().expect("the overrides are a JSON object") {
        base[name] = value.clone();
    }
    base
}
