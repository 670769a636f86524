//! A request rejected as not run did not run, and the node keeps serving.

use futures::future::join_all;
use googletest::prelude::*;
use hyper::{Method, StatusCode};
use proofs::{
    HttpClient, Installation, LeafProcess, QueryRequest, fixed_latency, leaf_settings,
    service_definition, wait_until, with_overrides,
};
use serde_json::{Value, json};

const SERVICE: &str = "shopfront-01";
const NON_IDEMPOTENT_SERVICE: &str = "backoffice";
const QUERY_PATH: &str = "/v1/services/shopfront-01/query";
const BODY_LIMIT_BYTES: usize = 4_096;
/// Longer than any timeout of the tests.
const ENDLESS_MS: u64 = 3_600_000;
const SHORT_MS: u64 = 5;

/// Invalid request with the expected status and error code.
struct InvalidRequest {
    method: Method,
    path: &'static str,
    content_type: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

/// Invalid requests are not sent to any upstream.
#[gtest]
#[tokio::test]
async fn invalid_requests_do_not_run() {
    let limits = json!({ "caller_limits": { "body_bytes": BODY_LIMIT_BYTES } });
    let installation = Installation::start_with(1, &limits).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({})).await;
    let address = installation.nodes[0].addresses.caller;
    let http = HttpClient::new();

    for request in invalid_requests() {
        let before = leaf.count("received").await;
        let InvalidRequest { method, path, content_type, body, status, code } = request;
        let reply = http.send_typed(method, address, path, content_type, body).await;

        let reply = reply.expect("a complete reply");
        let reply_body = reply.json().expect("JSON");
        expect_that!(reply.status.as_u16(), eq(status), "{code}");
        expect_that!(reply_body["error"]["code"].as_str(), some(eq(code)));
        expect_that!(reply_body["verdict"].as_str(), some(eq("not_run")), "{code}");
        expect_that!(leaf.count("received").await, eq(before), "{code}");
        installation.wait_for_full_coverage(&installation.nodes[0], SERVICE).await;
    }
    expect_that!(leaf.runs("refused", 0).await, eq(0));
}

/// Requests rejected for overload did not run, and the service is available afterwards.
#[gtest]
#[tokio::test]
async fn requests_rejected_for_overload_do_not_run() {
    const QUERY_COUNT: usize = 64;
    /// Half of the wait timeout, so that the slot of the first query is released in time.
    const FIRST_DEADLINE_MS: u64 = 30_000;
    let installation = Installation::start(1).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({ "queries_in_flight": 1 })).await;
    let (caller, address) = (installation.caller.clone(), installation.nodes[0].addresses.caller);
    set_latency(&leaf, ENDLESS_MS).await;
    let first = tokio::spawn({
        let caller = caller.clone();
        let request = QueryRequest::with_key("first").with_deadline_ms(FIRST_DEADLINE_MS);
        async move { caller.query(address, SERVICE, request).await }
    });
    wait_until(&installation.timer, "the first query runs", async || {
        (0 < leaf.runs("first", 0).await).then_some(())
    })
    .await;

    let keys: Vec<String> = (0..QUERY_COUNT).map(|it| format!("query {it}")).collect();
    let queries = keys.iter().map(|it| caller.query(address, SERVICE, QueryRequest::with_key(it)));
    let outcomes = join_all(queries).await;
    first.abort();
    set_latency(&leaf, SHORT_MS).await;

    for (key, outcome) in keys.iter().zip(outcomes) {
        let outcome = outcome.expect("a complete reply");
        expect_that!(outcome.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(outcome.code(), eq("overloaded"));
        expect_that!(outcome.verdict, eq("not_run"));
        expect_that!(outcome.retry_after_ms(), some(gt(0)));
        expect_that!(leaf.runs(key, 0).await, eq(0), "{key}");
    }
    expect_that!(leaf.runs("first", 0).await, eq(1));
    installation.wait_for_full_coverage(&installation.nodes[0], SERVICE).await;
}

/// A request rejected by the upstream is reported as not run, and runs once when retried.
#[gtest]
#[tokio::test]
async fn requests_rejected_by_the_upstream_do_not_run() {
    let installation = Installation::start(1).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({})).await;
    let (caller, address) = (&installation.caller, installation.nodes[0].addresses.caller);
    let session = caller
        .addresses(address, NON_IDEMPOTENT_SERVICE)
        .await
        .expect("an address reply")
        .session
        .token;
    let request = || QueryRequest::with_key("order").with_session(&session, 1);

    leaf.set_behaviour(&json!({ "shed_rate": 1.0 })).await;
    let rejected =
        caller.query(address, NON_IDEMPOTENT_SERVICE, request()).await.expect("a complete reply");
    let runs_when_rejected = leaf.runs("order", 0).await;
    leaf.set_behaviour(&json!({ "shed_rate": 0.0 })).await;
    let retried = wait_until(&installation.timer, "the retry runs", async || {
        let outcome = caller.query(address, NON_IDEMPOTENT_SERVICE, request()).await?;
        (outcome.verdict != "not_run").then_some(outcome)
    })
    .await;

    expect_that!(rejected.verdict, eq("not_run"));
    expect_that!(runs_when_rejected, eq(0));
    expect_that!(retried.verdict, eq("done"));
    expect_that!(leaf.runs("order", 0).await, eq(1));
}

/// During a planned stop of a node, each verdict is correct and no request in flight fails.
#[gtest]
#[tokio::test]
async fn stopping_node_reports_correct_verdicts() {
    let installation = Installation::start(2).await;
    let leaf = start_leaf(&installation).await;
    create_services(&installation, &leaf, json!({})).await;
    let caller = &installation.caller;
    let (stopping, other) = (&installation.nodes[0], &installation.nodes[1]);
    set_latency(&leaf, 2_000).await;
    let early = tokio::spawn({
        let (caller, address) = (caller.clone(), stopping.addresses.caller);
        async move { caller.query(address, SERVICE, QueryRequest::with_key("early")).await }
    });
    wait_until(&installation.timer, "the early query runs", async || {
        (0 < leaf.runs("early", 0).await).then_some(())
    })
    .await;
    set_latency(&leaf, SHORT_MS).await;

    stopping.operator_client.drain_node().await.expect("the drain call is accepted");
    let mut outcomes = Vec::new();
    wait_until(&installation.timer, "the node is unreachable", async || {
        let key = format!("query {}", outcomes.len());
        let request = QueryRequest::with_key(&key);
        let outcome = caller.query(stopping.addresses.caller, SERVICE, request).await;
        let unreachable = outcome.is_none();
        outcomes.push((key, outcome));
        unreachable.then_some(())
    })
    .await;

    expect_that!(
        early.await.expect("the task completes").expect("a complete reply").has_full_coverage(),
        eq(true)
    );
    let report = leaf.report().await.expect("the leaf returns its report");
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
    installation.wait_for_full_coverage(other, SERVICE).await;
}

fn invalid_requests() -> Vec<InvalidRequest> {
    let query = || json!({ "query": { "key": "refused" } });
    let with_fields = |change: Value| with_overrides(query(), &change).to_string();
    let post = |path, body, status, code| InvalidRequest {
        method: Method::POST,
        path,
        content_type: "application/json",
        body,
        status,
        code,
    };
    let orders = "/v1/services/backoffice/query";
    let oversized_body =
        json!({ "query": { "key": "refused", "text": "x".repeat(BODY_LIMIT_BYTES) } });
    let complete_body = with_fields(json!({}));
    let truncated_body = complete_body[..complete_body.len() / 2].to_owned();
    vec![
        post("/v1/services/nothing-here/query", with_fields(json!({})), 404, "unknown_service"),
        post("/v1/nothing-here", with_fields(json!({})), 404, "unknown_path"),
        post(QUERY_PATH, truncated_body, 400, "malformed_request"),
        post(QUERY_PATH, with_fields(json!({ "deadline_ms": 0 })), 400, "malformed_request"),
        post(QUERY_PATH, with_fields(json!({ "deadline_ms": "soon" })), 400, "malformed_request"),
        post(QUERY_PATH, "{}".to_owned(), 400, "malformed_request"),
        post(QUERY_PATH, oversized_body.to_string(), 413, "body_too_large"),
        post(orders, with_fields(json!({})), 400, "session_required"),
        post(
            orders,
            with_fields(json!({ "session": "none", "sequence": 1 })),
            400,
            "session_invalid",
        ),
        InvalidRequest {
            method: Method::PUT,
            ..post(QUERY_PATH, with_fields(json!({})), 405, "method_not_allowed")
        },
        InvalidRequest {
            content_type: "text/plain",
            ..post(QUERY_PATH, with_fields(json!({})), 415, "unsupported_media_type")
        },
    ]
}

async fn start_leaf(installation: &Installation) -> LeafProcess {
    installation.start_leaf(&leaf_settings(12, 1, &[0])).await
}

/// Creates a non-idempotent and an idempotent service, both served by `leaf`.
async fn create_services(installation: &Installation, leaf: &LeafProcess, limits: Value) {
    let orders = json!({ "idempotent": false });
    let orders =
        with_overrides(service_definition(NON_IDEMPOTENT_SERVICE, &[leaf.address]), &orders);
    installation.create_service(&orders).await;
    let limits = json!({ "limits": limits });
    let shop = with_overrides(service_definition(SERVICE, &[leaf.address]), &limits);
    installation.create_service(&shop).await;
}

async fn set_latency(leaf: &LeafProcess, millis: u64) {
    leaf.set_behaviour(&json!({ "latency": fixed_latency(millis) })).await;
}

/// A creation that names the revision of an existing service must not be taken for one that names
/// none, as its operator believes to change that service.
#[gtest]
#[tokio::test]
async fn creation_with_an_expected_revision_is_rejected() {
    let installation = Installation::start(1).await;
    let definition = json!({ "name": "shopfront-01", "upstreams": [] });
    let client = &installation.nodes[0].operator_client;

    let reply = client.create_service_at(&definition, 7).await;

    let message = reply.err().map(|it| it.message().to_owned());
    expect_that!(message, some(contains_substring("expected_revision is 7")));
}
