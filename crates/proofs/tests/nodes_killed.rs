//! The sudden end of a node under load.

use std::net::SocketAddr;

use googletest::prelude::*;
use proofs::{
    HttpClient, Installation, QueryLoad, patient_service, start_in_zones, start_whole_leaf,
    wait_until,
};

const SERVICE: &str = "shopfront-01";
const QUESTION_COUNT: usize = 50;

/// No query at another node fails, and no node names the lost one any longer.
#[gtest]
#[tokio::test]
async fn kill_of_a_node_fails_no_query_elsewhere() {
    let mut installation = start_in_zones(4).await;
    let leaf = start_whole_leaf(&installation, 1).await;
    installation.create_service(&patient_service(SERVICE, &[&leaf])).await;
    let others: Vec<_> = installation.nodes[..3].iter().map(|it| it.addresses.caller).collect();
    let lost = installation.nodes[3].addresses.caller;
    let doomed_load = QueryLoad::start(&installation, &[lost], SERVICE);
    let load = QueryLoad::start(&installation, &others, SERVICE);
    load.wait_for_more(20).await;
    wait_until_named(&installation, lost).await;

    installation.nodes[3].process.kill();

    for node in &installation.nodes[..3] {
        wait_until(&installation.timer, "the lost node is no member", async || {
            let status = node.operators.status().await?;
            status.members.iter().all(|it| it.node != "node-4").then_some(())
        })
        .await;
    }
    for at in &others {
        for caller in 0..QUESTION_COUNT {
            let named = addresses(*at, &format!("caller-{caller}")).await;
            expect_that!(named, not(contains(eq(&lost.to_string()))));
        }
    }
    load.wait_for_more(20).await;
    expect_that!(load.end().await, is_empty());
    doomed_load.end().await;
}

/// Waits until the node at `lost` is in the answers, so that its absence later means something.
async fn wait_until_named(installation: &Installation, lost: SocketAddr) {
    let at = installation.nodes[0].addresses.caller;
    wait_until(&installation.timer, "the node is named", async || {
        let named = addresses(at, "caller").await;
        named.contains(&lost.to_string()).then_some(())
    })
    .await;
}

async fn addresses(at: SocketAddr, caller: &str) -> Vec<String> {
    let path = format!("/v1/services/{SERVICE}/addresses?caller={caller}");
    let reply = HttpClient::new().get(at, &path).await.expect("an address answer");
    let entries = reply["addresses"].as_array().into_iter().flatten();
    entries.filter_map(|it| it["address"].as_str().map(str::to_owned)).collect()
}
