//! Connections that transfer no more data are detected and aborted without a lost query.

use googletest::prelude::*;
use proofs::{Installation, QueryRequest, leaf_settings, service_definition, wait_until};

const SERVICE: &str = "shopfront-01";

/// The open connections to one replica transfer no more data, without a reset, while new
/// connections work.
#[gtest]
#[tokio::test]
async fn silent_connections_are_aborted_and_no_query_is_lost() {
    const QUERY_COUNT: usize = 60;
    let installation = Installation::start(1).await;
    let settings = leaf_settings(12, 2, &[0, 1]);
    let (relayed, direct) =
        (installation.start_leaf(&settings).await, installation.start_leaf(&settings).await);
    let relay = installation.start_relay(relayed.address).await;
    let upstreams = [relay.address, direct.address];
    installation.create_service(&service_definition(SERVICE, &upstreams)).await;
    let (caller, node) = (&installation.caller, &installation.nodes[0]);
    let address = node.addresses.caller;
    wait_until(&installation.timer, "the replica behind the relay completes calls", async || {
        caller.query(address, SERVICE, QueryRequest::default()).await?;
        (0 < relayed.count("completed").await).then_some(())
    })
    .await;

    relay.set_mode("silent_open").await;
    relay.set_mode("pass").await;
    let mut outcomes = Vec::new();
    for number in 0..QUERY_COUNT {
        let request = QueryRequest::with_key(&format!("query {number}"));
        let outcome = caller
            .query_with_overload_retries(&installation.timer, address, SERVICE, request)
            .await;
        outcomes.push(outcome.expect("a complete reply"));
    }
    wait_until(&installation.timer, "the silent connections are aborted", async || {
        caller.query(address, SERVICE, QueryRequest::default()).await?;
        let count = node.metric("mustardmux_silent_connections").await?;
        (0.0 < count).then_some(())
    })
    .await;
    let before = relayed.count("completed").await;
    wait_until(
        &installation.timer,
        "the replica behind the relay completes calls again",
        async || {
            let request = QueryRequest::default();
            let outcome = caller
                .query_with_overload_retries(&installation.timer, address, SERVICE, request)
                .await?;
            outcomes.push(outcome);
            (before < relayed.count("completed").await).then_some(())
        },
    )
    .await;

    for outcome in outcomes {
        expect_that!(outcome.verdict, eq("done"), "{:?}", outcome.body);
        expect_that!(outcome.coverage(), some(eq((2, 2))));
    }
}
