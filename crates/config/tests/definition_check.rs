//! Validation reports each invalid value with the allowed values.

mod common;

use googletest::prelude::*;
use mux_config::{DefinitionError, ServiceDefinition, ShardMapSource};
use mux_model::{SnapshotId, UpstreamId};

use self::common::{definition, put};

fn bad_keys(result: Result<(), DefinitionError>) -> Vec<String> {
    match result {
        Err(DefinitionError::BadValues(values)) => values.into_iter().map(|it| it.key).collect(),
        _ => Vec::new(),
    }
}

fn fixed_map(shards: Vec<Vec<UpstreamId>>) -> ShardMapSource {
    ShardMapSource::Fixed { snapshot: SnapshotId(1), shards }
}

#[gtest]
fn each_bad_value_is_reported() {
    type Corrupt = fn(&mut ServiceDefinition);
    let cases: [(&str, Corrupt); 18] = [
        ("name", |it| it.name = "Shop Front".into()),
        ("name", |it| it.name = "x".repeat(64).into()),
        ("upstreams (count)", |it| it.upstreams.clear()),
        ("upstreams[1].address", |it| it.upstreams[1] = it.upstreams[0].clone()),
        ("upstreams[0].address", |it| it.upstreams[0].address.0.set_port(0)),
        ("upstreams[2].availability_zone", |it| it.upstreams[2].availability_zone = "".into()),
        ("deadline_ms", |it| it.deadline_ms = 600_001),
        ("latency_target_ms", |it| it.latency_target_ms = it.deadline_ms + 1),
        ("coverage_target", |it| it.coverage_target = 1.1),
        ("coverage_minimum", |it| it.coverage_minimum = f64::NAN),
        ("limits.slots_per_upstream", |it| it.limits.slots_per_upstream = 0),
        ("limits.connections_per_upstream", |it| it.limits.connections_per_upstream = 100_001),
        ("limits.connection_reserve", |it| it.limits.connection_reserve = 25),
        ("limits.queries_in_flight", |it| it.limits.queries_in_flight = 0),
        ("hedging.quantile", |it| it.hedging.quantile = 1.0),
        ("hedging.budget_percent", |it| it.hedging.budget_percent = -1.0),
        ("shard_map.shards", |it| it.shard_map = fixed_map(Vec::new())),
        ("shard_map.shards[1]", |it| {
            let listed = it.upstreams[0].address;
            let unlisted = UpstreamId(([10, 0, 0, 9], 1).into());
            it.shard_map = fixed_map(vec![vec![listed], vec![unlisted]]);
        }),
    ];
    for (key, corrupt) in cases {
        let mut definition = definition("shopfront");
        corrupt(&mut definition);
        expect_that!(bad_keys(definition.check()), elements_are![eq(key)]);
    }
}

#[gtest]
fn all_bad_values_are_reported_with_the_allowed_values() {
    let mut definition = definition("shopfront");
    definition.coverage_target = -0.5;
    definition.limits.slots_per_upstream = 0;
    let text = definition.check().map_err(|it| it.to_string());
    expect_that!(text, err(contains_substring("coverage_target is -0.5; allowed: 0 to 1")));
    expect_that!(text, err(contains_substring("slots_per_upstream is 0; allowed: 1 to 10000")));
}

#[gtest]
fn bad_change_id_and_mismatched_service_name_are_reported() {
    let mut change = put("c1", "shopfront", 0);
    expect_that!(change.check(), ok(anything()));
    change.id = "a/b".into();
    change.service = "newsletter".into();
    expect_that!(bad_keys(change.check()), elements_are![eq("change_id"), eq("name")]);
}

#[gtest]
fn unknown_field_is_rejected() {
    let text = r#"{"name": "shopfront", "upstreams": [], "colour": 1}"#;
    let result = ServiceDefinition::from_json(text);
    expect_that!(result, err(matches_pattern!(DefinitionError::Malformed(_))));
}
