//! A node killed under load.

use std::net::SocketAddr;

use googletest::prelude::*;
use proofs::{
    HttpClient, Installation, QueryLoad, long_deadline_service, start_in_zones,
    start_leaf_with_all_shards, wait_until,
};

const SERVICE: &str = "shopfront-01";
const ADDRESS_REQUEST_COUNT: usize = 50;

/// No query at another node fails, and no node advertises the killed one any longer.
#[gtest]
#[tokio::test]
async fn kill_of_a_node_fails_no_query_elsewhere() {
    let mut installation = start_in_zones(4).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&leaf])).await;
    let survivors: Vec<_> = installation.nodes[..3].iter().map(|it| it.addresses.caller).collect();
    let killed = installation.nodes[3].addresses.caller;
    let load_on_killed_node = QueryLoad::start(&installation, &[killed], SERVICE);
    let load = QueryLoad::start(&installation, &survivors, SERVICE);
    load.wait_for_completed_queries(20).await;
    wait_until_advertised(&installation, killed).await;

    installation.nodes[3].process.kill();

    for node in &installation.nodes[..3] {
        wait_until(&installation.timer, "the killed node is no longer a member", async || {
            let status = node.operator_client.status().await?;
            status.members.iter().all(|it| it.node != "node-4").then_some(())
        })
        .await;
    }
    for address in &survivors {
        for caller in 0..ADDRESS_REQUEST_COUNT {
            let advertised = advertised_addresses(*address, &format!("caller-{caller}")).await;
            expect_that!(advertised, not(contains(eq(&killed.to_string()))));
        }
    }
    load.wait_for_completed_queries(20).await;
    expect_that!(load.stop().await, is_empty());
    load_on_killed_node.stop().await;
}

/// Waits until the node at `killed` is advertised, as otherwise its later absence
/// would prove nothing.
async fn wait_until_advertised(installation: &Installation, killed: SocketAddr) {
    let address = installation.nodes[0].addresses.caller;
    wait_until(&installation.timer, "the node is advertised", async || {
        let advertised = advertised_addresses(address, "caller").await;
        advertised.contains(&killed.to_string()).then_some(())
    })
    .await;
}

async fn advertised_addresses(address: SocketAddr, caller: &str) -> Vec<String> {
    let path = format!("/v1/services/{SERVICE}/addresses?caller={caller}");
    let reply = HttpClient::new().get(address, &path).await.expect("an address reply");
    let entries = reply["addresses"].as_array().into_iter().flatten();
    entries.filter_map(|it| it["address"].as_str().map(str::to_owned)).collect()
}
