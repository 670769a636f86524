//! Connections that go silent are found and retired without losing a query.

use googletest::prelude::*;
use proofs::{Installation, QueryParts, leaf_settings, service_definition, wait_until};

const SERVICE: &str = "shopfront-01";

/// One replica's open connections go silent for good; new ones work.
#[gtest]
#[tokio::test]
async fn silent_connections_are_retired_and_no_query_is_lost() {
    const QUERIES: usize = 60;
    let installation = Installation::start(1).await;
    let settings = leaf_settings(12, 2, &[0, 1]);
    let (near, far) =
        (installation.start_leaf(&settings).await, installation.start_leaf(&settings).await);
    let relay = installation.start_relay(near.address).await;
    let upstreams = [relay.address, far.address];
    installation.create_service(&service_definition(SERVICE, &upstreams)).await;
    let (caller, node) = (&installation.caller, &installation.nodes[0]);
    let at = node.addresses.caller;
    wait_until(&installation.timer, "the replica behind the relay answers", async || {
        caller.query(at, SERVICE, QueryParts::default()).await?;
        (0 < near.count("completed").await).then_some(())
    })
    .await;

    relay.set_mode("silent_open").await;
    relay.set_mode("pass").await;
    let mut outcomes = Vec::new();
    for number in 0..QUERIES {
        let parts = QueryParts::keyed(&format!("query {number}"));
        let outcome = caller.query_patiently(&installation.timer, at, SERVICE, parts).await;
        outcomes.push(outcome.expect("an answer"));
    }
    wait_until(&installation.timer, "the silent connections are retired", async || {
        caller.query(at, SERVICE, QueryParts::default()).await?;
        let count = node.metric("mustardmux_silent_connections").await?;
        (0.0 < count).then_some(())
    })
    .await;
    let before = near.count("completed").await;
    wait_until(&installation.timer, "the replica behind the relay answers again", async || {
        let parts = QueryParts::default();
        let outcome = caller.query_patiently(&installation.timer, at, SERVICE, parts).await?;
        outcomes.push(outcome);
        (before < near.count("completed").await).then_some(())
    })
    .await;

    for outcome in outcomes {
        expect_that!(outcome.verdict, eq("done"), "{:?}", outcome.content);
        expect_that!(outcome.coverage(), some(eq((2, 2))));
    }
}
