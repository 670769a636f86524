//! A request refused as not run did not run, and the node goes on answering.

use futures::future::join_all;
use googletest::prelude::*;
use hyper::{Method, StatusCode};
use proofs::{
    HttpClient, Installation, LeafProcess, QueryParts, fixed_latency, leaf_settings,
    service_definition, wait_until, with_overrides,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const ORDERS: &str = "backoffice";
const QUERY_PATH: &str = "/v1/services/shopfront-01/query";
const BODY_LIMIT_BYTES: usize = 4_096;
const ENDLESS_MS: u64 = 3_600_000;
const SHORT_MS: u64 = 5;

/// A request that is to be refused.
struct BadRequest {
    method: Method,
    path: &'static str,
    content_type: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

/// Requests with faults of the caller's own run nowhere.
#[gtest]
#[tokio::test]
async fn requests_with_faults_run_nowhere() {
    let limits = json!({ "caller_limits": { "body_bytes": BODY_LIMIT_BYTES } });
    let installation = Installation::start_with(1, &limits).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({})).await;
    let at = installation.nodes[0].addresses.caller;
    let http = HttpClient::new();

    for request in bad_requests() {
        let before = leaf.count("received").await;
        let BadRequest { method, path, content_type, body, status, code } = request;
        let reply = http.send_typed(method, at, path, content_type, body).await;

        let reply = reply.expect("an answer");
        let content = reply.json().expect("JSON");
        expect_that!(reply.status.as_u16(), eq(status), "{code}");
        expect_that!(content["error"]["code"].as_str(), some(eq(code)));
        expect_that!(content["verdict"].as_str(), some(eq("not_run")), "{code}");
        expect_that!(leaf.count("received").await, eq(before), "{code}");
        installation.wait_for_full_answer(&installation.nodes[0], SERVICE).await;
    }
    expect_that!(leaf.runs("refused", 0).await, eq(0));
}

/// Under overload, what is refused as not run ran nowhere, and the service answers afterwards.
#[gtest]
#[tokio::test]
async fn overload_refuses_without_a_run() {
    const QUERIES: usize = 64;
    /// Half of the limit of a wait, so that the place of the first query comes free in time.
    const FIRST_DEADLINE_MS: u64 = 30_000;
    let installation = Installation::start(1).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({ "queries_in_flight": 1 })).await;
    let (caller, at) = (installation.caller.clone(), installation.nodes[0].addresses.caller);
    set_latency(&leaf, ENDLESS_MS).await;
    let first = tokio::spawn({
        let caller = caller.clone();
        let parts = QueryParts::keyed("first").within_ms(FIRST_DEADLINE_MS);
        async move { caller.query(at, SERVICE, parts).await }
    });
    wait_until(&installation.timer, "the first query runs", async || {
        (0 < leaf.runs("first", 0).await).then_some(())
    })
    .await;

    let keys: Vec<String> = (0..QUERIES).map(|it| format!("query {it}")).collect();
    let queries = keys.iter().map(|it| caller.query(at, SERVICE, QueryParts::keyed(it)));
    let outcomes = join_all(queries).await;
    first.abort();
    set_latency(&leaf, SHORT_MS).await;

    for (key, outcome) in keys.iter().zip(outcomes) {
        let outcome = outcome.expect("an answer");
        expect_that!(outcome.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(outcome.code(), eq("overloaded"));
        expect_that!(outcome.verdict, eq("not_run"));
        expect_that!(outcome.retry_after_ms(), some(gt(0)));
        expect_that!(leaf.runs(key, 0).await, eq(0), "{key}");
    }
    expect_that!(leaf.runs("first", 0).await, eq(1));
    installation.wait_for_full_answer(&installation.nodes[0], SERVICE).await;
}

/// What an upstream provably did not run is reported as not run, and runs once it is repeated.
#[gtest]
#[tokio::test]
async fn refusals_of_the_upstream_are_not_runs() {
    let installation = Installation::start(1).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({})).await;
    let (caller, at) = (&installation.caller, installation.nodes[0].addresses.caller);
    let session = caller.addresses(at, ORDERS).await.expect("addresses").session.token;
    let request = || QueryParts::keyed("order").in_session(&session, 1);

    leaf.set_behaviour(&json!({ "shed_rate": 1.0 })).await;
    let refused = caller.query(at, ORDERS, request()).await.expect("an answer");
    let runs_when_refused = leaf.runs("order", 0).await;
    leaf.set_behaviour(&json!({ "shed_rate": 0.0 })).await;
    let repeated = wait_until(&installation.timer, "the repeat runs", async || {
        let outcome = caller.query(at, ORDERS, request()).await?;
        (outcome.verdict != "not_run").then_some(outcome)
    })
    .await;

    expect_that!(refused.verdict, eq("not_run"));
    expect_that!(runs_when_refused, eq(0));
    expect_that!(repeated.verdict, eq("done"));
    expect_that!(leaf.runs("order", 0).await, eq(1));
}

/// While a node stops as planned, each answer is true, and no request in flight is cut off.
#[gtest]
#[tokio::test]
async fn a_stopping_node_tells_the_truth() {
    let installation = Installation::start(2).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({})).await;
    let caller = &installation.caller;
    let (stopping, staying) = (&installation.nodes[0], &installation.nodes[1]);
    set_latency(&leaf, 2_000).await;
    let early = tokio::spawn({
        let (caller, at) = (caller.clone(), stopping.addresses.caller);
        async move { caller.query(at, SERVICE, QueryParts::keyed("early")).await }
    });
    wait_until(&installation.timer, "the early query runs", async || {
        (0 < leaf.runs("early", 0).await).then_some(())
    })
    .await;
    set_latency(&leaf, SHORT_MS).await;

    stopping.operators.drain_node().await.expect("the node takes the call");
    let mut outcomes = Vec::new();
    wait_until(&installation.timer, "the node is gone", async || {
        let key = format!("query {}", outcomes.len());
        let parts = QueryParts::keyed(&key);
        let outcome = caller.query(stopping.addresses.caller, SERVICE, parts).await;
        let gone = outcome.is_none();
        outcomes.push((key, outcome));
        gone.then_some(())
    })
    .await;

    expect_that!(early.await.expect("the task ends").expect("an answer").is_full(), eq(true));
    let report = leaf.report().await.expect("a report");
    for (key, outcome) in outcomes {
        let runs = report["calls"]["run"][format!("{key}/0")].as_u64().unwrap_or(0);
        match outcome {
            Some(outcome) if outcome.verdict == "done" => expect_that!(runs, ge(1), "{key}"),
            Some(outcome) => {
                expect_that!(outcome.verdict, eq("not_run"), "{key}");
                expect_that!(outcome.code(), eq("draining"), "{key}");
                expect_that!(runs, eq(0), "{key}");
            }
            None => {}
        }
    }
    installation.wait_for_full_answer(staying, SERVICE).await;
}

fn bad_requests() -> Vec<BadRequest> {
    let query = || json!({ "query": { "key": "refused" } });
    let with = |change: Value| with_overrides(query(), &change).to_string();
    let post = |path, body, status, code| BadRequest {
        method: Method::POST,
        path,
        content_type: "application/json",
        body,
        status,
        code,
    };
    let orders = "/v1/services/backoffice/query";
    let large = json!({ "query": { "key": "refused", "text": "x".repeat(BODY_LIMIT_BYTES) } });
    let whole = with(json!({}));
    let half = whole[..whole.len() / 2].to_owned();
    vec![
        post("/v1/services/nothing-here/query", with(json!({})), 404, "unknown_service"),
        post("/v1/nothing-here", with(json!({})), 404, "unknown_path"),
        post(QUERY_PATH, half, 400, "malformed_request"),
        post(QUERY_PATH, with(json!({ "deadline_ms": 0 })), 400, "malformed_request"),
        post(QUERY_PATH, with(json!({ "deadline_ms": "soon" })), 400, "malformed_request"),
        post(QUERY_PATH, "{}".to_owned(), 400, "malformed_request"),
        post(QUERY_PATH, large.to_string(), 413, "body_too_large"),
        post(orders, with(json!({})), 400, "session_required"),
        post(orders, with(json!({ "session": "none", "sequence": 1 })), 400, "session_invalid"),
        BadRequest {
            method: Method::PUT,
            ..post(QUERY_PATH, with(json!({})), 405, "method_not_allowed")
        },
        BadRequest {
            content_type: "text/plain",
            ..post(QUERY_PATH, with(json!({})), 415, "unsupported_media_type")
        },
    ]
}

async fn start_leaf(installation: &Installation) -> LeafProcess {
    installation.start_leaf(&leaf_settings(12, 1, &[0])).await
}

/// Creates an idempotent service and one that is not, both on `leaf`.
async fn create_services(installation: &Installation, leaf: &LeafProcess, limits: Value) {
    let orders = json!({ "idempotent": false });
    let orders = with_overrides(service_definition(ORDERS, &[leaf.address]), &orders);
    installation.create_service(&orders).await;
    let limits = json!({ "limits": limits });
    let shop = with_overrides(service_definition(SERVICE, &[leaf.address]), &limits);
    installation.create_service(&shop).await;
}

async fn set_latency(leaf: &LeafProcess, millis: u64) {
    leaf.set_behaviour(&json!({ "latency": fixed_latency(millis) })).await;
}
