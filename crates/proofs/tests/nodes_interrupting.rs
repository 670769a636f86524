//! Planned stops that are shorter than the queries in flight.

use std::time::Duration;

use googletest::prelude::*;
use proofs::{
    Installation, LeafProcess, QueryRequest, long_deadline_service, start_leaf_with_all_shards,
    wait_until,
};
use serde_json::json;

const SERVICE: &str = "shopfront-01";
/// Time for which a stopping node waits for its queries, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 1_000;
/// Time that a query takes, in milliseconds; longer than every delay of the stop together.
const LONG_QUERY_MS: u64 = 25_000;
/// Time within which a query that cannot be completed is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);
/// Time from the stop after which no query that takes so long is taken.
const LATE_TIME: Duration = Duration::from_millis(1_500);

async fn start(idempotent: bool) -> (Installation, LeafProcess) {
    let timing =
        json!({ "timing": { "address_lifetime_ms": 500, "drain_limit_ms": DRAIN_LIMIT_MS } });
    let installation = Installation::start_with(1, &timing).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    let definition = long_deadline_service(SERVICE, &[&leaf]);
    let definition = proofs::with_overrides(definition, &json!({ "idempotent": idempotent }));
    installation.create_service(&definition).await;
    let latency = json!({ "median_ms": LONG_QUERY_MS, "p99_ms": LONG_QUERY_MS + 1 });
    leaf.set_behaviour(&json!({ "latency": latency })).await;
    (installation, leaf)
}

/// Queries in flight were cut without an answer when the process ended, and later ones were taken although
/// they could not be complete in time.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_that_outlast_a_planned_stop_are_answered() {
    for idempotent in [true, false] {
        let (mut installation, leaf) = start(idempotent).await;
        let (caller, address) =
            (installation.caller.clone(), installation.nodes[0].addresses.caller);
        let session = async || {
            let answer = caller.addresses(address, SERVICE).await.expect("an address answer");
            answer.session.token
        };
        let (early_session, late_session) = (session().await, session().await);
        let request = |key: &str, session: &str| match idempotent {
            true => QueryRequest::with_key(key),
            false => QueryRequest::with_key(key).with_session(session, 1),
        };
        let early = request("early", &early_session);
        let sender = caller.clone();
        let early = tokio::spawn(async move { sender.query(address, SERVICE, early).await });
        wait_until(&installation.timer, "the query is in flight", async || {
            (0 < leaf.runs("early", 0).await).then_some(())
        })
        .await;

        installation.nodes[0].process.terminate();
        installation.timer.sleep(LATE_TIME).await;
        let sent_at = installation.timer.now();
        let late = caller.query(address, SERVICE, request("late", &late_session)).await;
        let took = installation.timer.now().since(sent_at);

        let late = late.expect("a complete reply");
        expect_that!(late.verdict, eq("not_run"), "{idempotent}");
        expect_that!(late.code(), eq("draining"), "{idempotent}");
        expect_that!(took, lt(REFUSAL_TIME), "{idempotent}");
        expect_that!(leaf.runs("late", 0).await, eq(0), "{idempotent}");
        let early = early.await.expect("the task completes").expect("a complete reply");
        expect_that!(early.verdict, eq("may_have_run"), "{idempotent}");
        expect_that!(early.code(), eq("interrupted"), "{idempotent}");
        let Installation { nodes, timer, .. } = &mut installation;
        let exit = wait_until(timer, "the node exits", async || nodes[0].process.exit_status());
        expect_true!(exit.await.success());
    }
}
