//! Validation of settings: each error message names the key, the allowed values or the position.

use googletest::prelude::*;
use mux_node::conf::NodeSettings;
use serde_json::{Value, json};

fn example() -> Value {
    serde_json::to_value(NodeSettings::example()).expect("settings are JSON")
}

/// The example with the value at `path` (a JSON pointer) replaced.
fn example_with(path: &str, value: Value) -> String {
    let mut settings = example();
    *settings.pointer_mut(path).expect("the path exists") = value;
    settings.to_string()
}

fn message(text: &str) -> String {
    match NodeSettings::parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[gtest]
fn example_is_valid() {
    let text = example().to_string();

    let settings = NodeSettings::parse(&text);

    expect_that!(settings, ok(eq(&NodeSettings::example())));
}

#[gtest]
fn invalid_values_are_reported_with_allowed_values() {
    let cases = [
        ("/node", json!("Node 1"), "`node`", "a-z"),
        ("/availability_zone", json!(""), "`availability_zone`", "1 to 63"),
        ("/installation", json!("x".repeat(64)), "`installation`", "1 to 63"),
        ("/listen/caller", json!("0.0.0.0:7001"), "`listen.caller`", "an IP address"),
        ("/listen/peer", json!("127.0.0.1:0"), "`listen.peer`", "1 to 65535"),
        ("/listen/metrics", json!("127.0.0.1:7001"), "`listen.metrics`", "no other listener"),
        ("/platform/call_limit_ms", json!(49), "`platform.call_limit_ms`", "50 to 30000"),
        ("/timing/probe_period_ms", json!(99), "`timing.probe_period_ms`", "100 to 5000"),
        ("/timing/isolation_limit_ms", json!(5001), "`timing.isolation_limit_ms`", "1000 to 5000"),
        ("/timing/address_lifetime_ms", json!(0), "`timing.address_lifetime_ms`", "500 to"),
        ("/timing/session_lifetime_ms", json!(1), "`timing.session_lifetime_ms`", "10000 to"),
        ("/timing/pause_limit_ms", json!(9000), "`timing.pause_limit_ms`", "200 to 5000"),
        ("/caller_limits/body_bytes", json!(1), "`caller_limits.body_bytes`", "1024 to"),
        (
            "/caller_limits/body_memory_bytes",
            json!(1),
            "`caller_limits.body_memory_bytes`",
            "1048576 to",
        ),
        ("/caller_limits/requests", json!(0), "`caller_limits.requests`", "1 to"),
        (
            "/caller_limits/requests_per_ip",
            json!(1_000_001),
            "`caller_limits.requests_per_ip`",
            "1 to",
        ),
    ];

    for (path, value, key, allowed) in cases {
        let message = message(&example_with(path, value));

        expect_that!(message, all!(contains_substring(key), contains_substring(allowed)), "{path}");
    }
}

#[gtest]
fn unknown_missing_and_mistyped_keys_are_reported() {
    let mut unknown = example();
    unknown["timing"]["probe_ms"] = json!(1);
    let mut missing = example();
    missing.as_object_mut().expect("an object").remove("platform");
    let cases = [
        (unknown.to_string(), "probe_ms"),
        (missing.to_string(), "platform"),
        (example_with("/caller_limits/requests", json!("many")), "u32"),
        (example_with("/logs/level", json!("loud")), "loud"),
        ("{".to_owned(), "EOF"),
    ];

    for (text, key) in cases {
        let message = message(&text);

        expect_that!(message, contains_substring(key));
        expect_that!(message, contains_substring("settings example"));
    }
}
