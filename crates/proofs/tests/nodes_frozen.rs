//! A node whose process is paused and resumed.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use proofs::{
    ChangeClient, HttpClient, HttpReply, Installation, RevisionSampler, long_deadline_service,
    start_in_zones_with_timing, start_leaf_with_all_shards, wait_until,
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

const SERVICE: &str = "shopfront-01";
const REMOVED_SERVICE: &str = "newsletter-01";
const PAUSE_LIMIT_MS: u64 = 500;
const REQUEST_COUNT: usize = 20;

/// A node that was paused while a change was accepted does not reply from its outdated
/// configuration: each reply is a rejection or follows the new configuration.
#[gtest]
#[tokio::test]
async fn resumed_node_verifies_its_configuration_before_replying() {
    let timing = json!({ "pause_limit_ms": PAUSE_LIMIT_MS });
    let mut installation = start_in_zones_with_timing(3, &timing).await;
    let old_leaf = start_leaf_with_all_shards(&installation, 1).await;
    let new_leaf = start_leaf_with_all_shards(&installation, 2).await;
    installation.create_service(&long_deadline_service(SERVICE, &[&old_leaf])).await;
    installation.create_service(&long_deadline_service(REMOVED_SERVICE, &[&old_leaf])).await;
    let paused_address = installation.nodes[2].addresses.caller;
    let sampler = RevisionSampler::start(&installation);
    let old_runs = old_leaf.count("runs").await;

    installation.nodes[2].process.pause();
    let revision =
        move_and_remove_services(&installation, &long_deadline_service(SERVICE, &[&new_leaf]))
            .await;
    let queries = send_requests(paused_address, "POST", &format!("/v1/services/{SERVICE}/query"));
    let address_requests =
        send_requests(paused_address, "GET", &format!("/v1/services/{REMOVED_SERVICE}/addresses"));
    // The requests are queued in the sockets of the paused node.
    installation.timer.sleep(Duration::from_millis(2 * PAUSE_LIMIT_MS)).await;
    installation.nodes[2].process.resume();

    for query in queries {
        let reply = query.await.expect("the task completes").expect("a reply");
        expect_that!(describe_query_reply(&reply), any![eq("not_run"), eq("snapshot 2")]);
    }
    expect_that!(old_leaf.count("runs").await, eq(old_runs));
    for address_request in address_requests {
        let reply = address_request.await.expect("the task completes").expect("a reply");
        expect_that!(describe_address_reply(&reply), any![eq("not_ready"), eq("unknown_service")]);
    }
    wait_until(&installation.timer, "the resumed node has the new revision in force", async || {
        let status = installation.nodes[2].operator_client.status().await?;
        (status.state == "ready" && status.revision == revision).then_some(())
    })
    .await;
    for history in sampler.stop().await {
        expect_true!(history.is_monotonic());
    }
}

/// Moves one service to another upstream and removes the other service; returns the last revision.
async fn move_and_remove_services(installation: &Installation, definition: &Value) -> u64 {
    let client = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    let service = client.get(SERVICE).await.expect("the service exists");
    let reply = client.put("move", definition, service.revision).await.expect("a reply");
    assert!(matches!(reply.code.as_str(), "accepted" | "not_in_force"), "{reply:?}");
    let removed = client.get(REMOVED_SERVICE).await.expect("the service exists");
    let reply = client.remove("remove", REMOVED_SERVICE, removed.revision).await.expect("a reply");
    assert!(matches!(reply.code.as_str(), "accepted" | "not_in_force"), "{reply:?}");
    reply.revision
}

fn send_requests(
    address: SocketAddr,
    method: &'static str,
    path: &str,
) -> Vec<JoinHandle<Option<HttpReply>>> {
    let tasks = (0..REQUEST_COUNT).map(|_| {
        let path = path.to_owned();
        tokio::spawn(async move {
            let method = method.parse().expect("the method name is valid");
            HttpClient::new().send(method, address, &path, json!({ "query": {} }).to_string()).await
        })
    });
    tasks.collect()
}

fn describe_query_reply(reply: &HttpReply) -> String {
    let body = reply.json().expect("the reply is complete JSON");
    match body["verdict"].as_str() {
        Some("done") => format!("snapshot {}", body["snapshot"]),
        verdict => verdict.unwrap_or_default().to_owned(),
    }
}

fn describe_address_reply(reply: &HttpReply) -> String {
    let body = reply.json().expect("the reply is complete JSON");
    match body["addresses"].is_array() && body["error"].is_null() {
        true => body.to_string(),
        false => body["error"]["code"].as_str().unwrap_or_default().to_owned(),
    }
}
