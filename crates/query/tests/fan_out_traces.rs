//! Replays the event traces in `traces/` and compares the results with the expected outcomes.

mod fixtures;

use std::{fs, path::Path};

use fixtures::{Harness, Input, PlanScript, RouterScript, millis, reply, upstream_number};
use googletest::prelude::*;
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// The traces that check one property.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceFile {
    property: String,
    traces: Vec<Trace>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    name: String,
    #[serde(default)]
    plan: PlanScript,
    #[serde(default)]
    router: RouterScript,
    events: Vec<(u64, Input)>,
    /// Expected values at the end of the trace; omitted keys are not compared.
    outcome: Map<String, Value>,
}

#[gtest]
fn traces_end_with_expected_outcomes() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut count = 0;

    for entry in fs::read_dir(directory).unwrap() {
        let text = fs::read_to_string(entry.unwrap().path()).unwrap();
        let file: TraceFile = serde_json::from_str(&text).unwrap();
        for trace in file.traces {
            let name = format!("{}: {}", file.property, trace.name);
            let outcome = trace.outcome.clone();
            check(&name, &replay(trace), &outcome);
            count += 1;
        }
    }

    expect_that!(count, ge(60));
}

fn replay(trace: Trace) -> Harness {
    let mut harness = Harness::new(trace.plan.plan(), trace.router);
    for (at, input) in &trace.events {
        harness.input(millis(*at), input);
    }
    harness
}

fn check(name: &str, harness: &Harness, outcome: &Map<String, Value>) {
    let actual = outcome_of(harness);
    let open_calls = harness.sent.iter().filter(|it| it.open).count();

    expect_that!(harness.results.len(), le(1), "{name}: results");
    expect_that!(harness.script(|it| it.held_slots()), eq(open_calls), "{name}: slots");
    expect_that!(actual["finished_at"].is_null() || open_calls == 0, eq(true), "{name}: open");
    expect_that!(outcome.contains_key("finished_at"), eq(true), "{name}: finished_at missing");
    for (key, expected) in outcome {
        expect_that!(&actual[key], eq(expected), "{name}: {key}");
    }
    for (_, result) in &harness.results {
        let contributed = usize::try_from(result.coverage.contributed);
        expect_that!(contributed, ok(eq(result.shards.len())), "{name}: coverage");
        expect_that!(
            result.retry_after.is_some(),
            eq(result.stop.is_some()),
            "{name}: retry delay"
        );
        for shard in &result.shards {
            expect_that!(shard.body, eq(&reply(shard.shard).body), "{name}: body");
        }
    }
}

fn outcome_of(harness: &Harness) -> Value {
    let result = harness.results.first().map(|it| &it.1);
    json!({
        "finished_at": harness.results.first().map(|it| it.0.as_micros() / 1_000),
        "verdict": result.map(|it| it.verdict),
        "shards": result.map(|it| it.shards.iter().map(|it| it.shard).collect::<Vec<_>>()),
        "total": result.map(|it| it.coverage.total),
        "stop": result.and_then(|it| it.stop).map(|it| format!("{it:?}")),
        "retry_after_ms": result.and_then(|it| it.retry_after).map(|it| it.as_millis()),
        "called": harness.sent.iter().map(|it| upstream_number(&it.upstream)).collect::<Vec<_>>(),
        "kinds": harness.script(|it| it.acquired.iter().map(|it| format!("{it:?}")).collect::<Vec<_>>()),
        "cancelled": harness.cancelled,
        "dropped_replies": harness.fan_out.dropped_replies(),
        "wakes": harness.wakes,
        "wake_at": harness.wake_at.map(|it| it.as_micros() / 1_000),
    })
}
