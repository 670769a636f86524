//! Replays the recorded traces in `traces/` and compares their ends with the stated outcomes.

mod fixtures;

use std::{fs, path::Path, sync::Arc, time::Duration};

use fixtures::{Harness, Input, REQUEST, RouterScript, SNAPSHOT, millis, reply, upstream};
use googletest::prelude::*;
use mux_model::{CallFailure, NotRunReason, RequestId, ShardIndex, SnapshotId, SnapshotMap};
use mux_query::{CallReply, FanOutPlan};
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// The recorded traces of one promise.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceFile {
    promise: String,
    traces: Vec<Trace>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    name: String,
    #[serde(default)]
    plan: PlanRecord,
    #[serde(default)]
    router: RouterRecord,
    events: Vec<(u64, EventRecord)>,
    /// What has to be true at the end; what is left out is not compared.
    outcome: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PlanRecord {
    /// Replicas of each shard.
    shards: Vec<Vec<u32>>,
    idempotent: bool,
    coverage_target: f64,
    coverage_minimum: f64,
    latency_target_ms: u64,
    deadline_ms: u64,
}

impl Default for PlanRecord {
    fn default() -> Self {
        Self {
            shards: vec![vec![0, 1], vec![2, 3]],
            idempotent: true,
            coverage_target: 1.0,
            coverage_minimum: 0.5,
            latency_target_ms: 100,
            deadline_ms: 1_000,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RouterRecord {
    hedge_ms: Option<u64>,
    extra_calls: u32,
    down: Vec<u32>,
    saturated: Vec<u32>,
    slots: Option<u32>,
    slot_after_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
enum EventRecord {
    Start,
    Wake,
    Abandon,
    EarlierReply,
    /// The saturated upstreams have free slots again.
    SlotsFree,
    /// A valid reply to a call.
    Reply(u32),
    /// A reply to a call that names something else.
    Foreign {
        call: u32,
        request: Option<u64>,
        snapshot: Option<u64>,
        shard: Option<u32>,
    },
    /// A failed call, by the text of its failure.
    Fail(u32, String),
    Shed {
        call: u32,
        retry_after_ms: u64,
    },
}

#[gtest]
fn recorded_traces_end_as_stated() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut count = 0;

    for entry in fs::read_dir(directory).unwrap() {
        let text = fs::read_to_string(entry.unwrap().path()).unwrap();
        let file: TraceFile = serde_json::from_str(&text).unwrap();
        for trace in file.traces {
            let name = format!("{}: {}", file.promise, trace.name);
            let harness = replay(&trace);
            check(&name, &harness, &trace.outcome);
            count += 1;
        }
    }

    expect_that!(count, ge(40));
}

fn replay(trace: &Trace) -> Harness {
    let mut harness = Harness::new(plan(&trace.plan), script(&trace.router));
    for (at, event) in &trace.events {
        let input = match event {
            EventRecord::Start => Input::Start,
            EventRecord::Wake => Input::Wake,
            EventRecord::Abandon => Input::Abandon,
            EventRecord::EarlierReply => Input::EarlierReply,
            EventRecord::SlotsFree => {
                harness.script(|it| it.saturated.clear());
                continue;
            }
            EventRecord::Reply(call) => Input::Reply(*call, reply_to(&harness, *call)),
            EventRecord::Foreign { call, request, snapshot, shard } => {
                let mut reply = reply_to(&harness, *call);
                reply.request = request.map_or(REQUEST, |it| RequestId(it.into()));
                reply.snapshot = snapshot.map_or(SNAPSHOT, SnapshotId);
                reply.shard = shard.map_or(reply.shard, ShardIndex);
                Input::Reply(*call, reply)
            }
            EventRecord::Fail(call, failure) => Input::Fail(*call, failure_of(failure)),
            EventRecord::Shed { call, retry_after_ms } => {
                let retry_after = Some(Duration::from_millis(*retry_after_ms));
                let reason = NotRunReason::Shed;
                Input::Fail(*call, CallFailure::NotRun { reason, retry_after })
            }
        };
        harness.input(millis(*at), input);
    }
    harness
}

fn check(name: &str, harness: &Harness, outcome: &Map<String, Value>) {
    let actual = outcome_of(harness);
    let open_calls = harness.sent.iter().filter(|it| it.open).count();

    expect_that!(harness.results.len(), le(1), "{name}: results");
    expect_that!(harness.script(|it| it.open_slots()), eq(open_calls), "{name}: slots");
    expect_that!(actual["finished_at"].is_null() || open_calls == 0, eq(true), "{name}: open");
    expect_that!(outcome.contains_key("finished_at"), eq(true), "{name}: time not stated");
    for (key, stated) in outcome {
        expect_that!(&actual[key], eq(stated), "{name}: {key}");
    }
    for (_, result) in &harness.results {
        let contributed = usize::try_from(result.coverage.contributed);
        expect_that!(contributed, ok(eq(result.shards.len())), "{name}: coverage");
        expect_that!(result.retry_after.is_some(), eq(result.stop.is_some()), "{name}: return");
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
        "called": harness.sent.iter().map(|it| it.upstream.0.port() - 1_000).collect::<Vec<_>>(),
        "kinds": harness.script(|it| it.acquired.iter().map(|it| format!("{it:?}")).collect::<Vec<_>>()),
        "cancelled": harness.cancelled,
        "dropped_replies": harness.fan_out.dropped_replies(),
        "wakes": harness.wakes,
        "wake_at": harness.wake_at.map(|it| it.as_micros() / 1_000),
    })
}

fn plan(record: &PlanRecord) -> FanOutPlan {
    let replicas = |it: &Vec<u32>| it.iter().copied().map(upstream).collect();
    let map = SnapshotMap::new(SNAPSHOT, record.shards.iter().map(replicas).collect());
    FanOutPlan {
        request: REQUEST,
        map: Arc::new(map),
        idempotent: record.idempotent,
        latency_target: millis(record.latency_target_ms),
        deadline: millis(record.deadline_ms),
        coverage_target: record.coverage_target,
        coverage_minimum: record.coverage_minimum,
    }
}

fn script(record: &RouterRecord) -> RouterScript {
    RouterScript {
        hedge_delay: record.hedge_ms.map(Duration::from_millis),
        extra_calls: record.extra_calls,
        down: record.down.iter().copied().map(upstream).collect(),
        saturated: record.saturated.iter().copied().map(upstream).collect(),
        slots_per_upstream: record.slots,
        slot_after: Duration::from_millis(record.slot_after_ms),
        ..RouterScript::default()
    }
}

fn reply_to(harness: &Harness, call: u32) -> CallReply {
    reply(harness.sent[call as usize].shard)
}

/// Returns the failure whose text is `text`.
fn failure_of(text: &str) -> CallFailure {
    let reasons = [
        NotRunReason::NotSent,
        NotRunReason::Shed,
        NotRunReason::Draining,
        NotRunReason::SnapshotMissing,
        NotRunReason::Rejected,
    ];
    let not_run = reasons.map(|reason| CallFailure::NotRun { reason, retry_after: None });
    let others = [
        CallFailure::ConnectionLost,
        CallFailure::Silent,
        CallFailure::UpstreamError,
        CallFailure::BadReply,
    ];
    let mut failures = not_run.into_iter().chain(others);
    failures.find(|it| it.to_string() == text).expect(text)
}
