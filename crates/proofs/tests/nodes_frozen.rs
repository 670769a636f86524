//! A node that is stopped for a while and woken.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use proofs::{
    ChangeClient, HttpClient, HttpReply, Installation, RevisionWatch, patient_service,
    start_whole_leaf, start_with_timing, wait_until,
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

const SERVICE: &str = "shopfront-01";
const REMOVED: &str = "newsletter-01";
const PAUSE_LIMIT_MS: u64 = 500;
const REQUEST_COUNT: usize = 20;

/// A node that was frozen while a change was accepted answers nothing from what it knew before:
/// each of its answers is a refusal or follows the new configuration.
#[gtest]
#[tokio::test]
async fn woken_node_verifies_before_it_answers() {
    let timing = json!({ "pause_limit_ms": PAUSE_LIMIT_MS });
    let mut installation = start_with_timing(3, &timing).await;
    let old_leaf = start_whole_leaf(&installation, 1).await;
    let new_leaf = start_whole_leaf(&installation, 2).await;
    installation.create_service(&patient_service(SERVICE, &[&old_leaf])).await;
    installation.create_service(&patient_service(REMOVED, &[&old_leaf])).await;
    let frozen = installation.nodes[2].addresses.caller;
    let watch = RevisionWatch::start(&installation);
    let old_runs = old_leaf.count("runs").await;

    installation.nodes[2].process.pause();
    let revision = change_both(&installation, &patient_service(SERVICE, &[&new_leaf])).await;
    let queries = send_many(frozen, "POST", &format!("/v1/services/{SERVICE}/query"));
    let questions = send_many(frozen, "GET", &format!("/v1/services/{REMOVED}/addresses"));
    // The requests wait in the sockets of the frozen node.
    installation.timer.sleep(Duration::from_millis(2 * PAUSE_LIMIT_MS)).await;
    installation.nodes[2].process.resume();

    for query in queries {
        let reply = query.await.expect("a task").expect("a reply");
        expect_that!(describe_query(&reply), any![eq("not_run"), eq("snapshot 2")]);
    }
    expect_that!(old_leaf.count("runs").await, eq(old_runs));
    for question in questions {
        let reply = question.await.expect("a task").expect("a reply");
        expect_that!(describe_question(&reply), any![eq("not_ready"), eq("unknown_service")]);
    }
    wait_until(&installation.timer, "the woken node has the new revision", async || {
        let status = installation.nodes[2].operators.status().await?;
        (status.state == "ready" && status.revision == revision).then_some(())
    })
    .await;
    for history in watch.end().await {
        expect_true!(history.only_rises());
    }
}

/// Moves one service to another upstream and removes the other; returns the last revision.
async fn change_both(installation: &Installation, definition: &Value) -> u64 {
    let client = ChangeClient::new(installation.nodes[0].addresses.operator, "ada");
    let service = client.get(SERVICE).await.expect("the service");
    let reply = client.put("move", definition, service.revision).await.expect("a reply");
    assert!(matches!(reply.code.as_str(), "accepted" | "not_in_force"), "{reply:?}");
    let removed = client.get(REMOVED).await.expect("the service");
    let reply = client.remove("remove", REMOVED, removed.revision).await.expect("a reply");
    assert!(matches!(reply.code.as_str(), "accepted" | "not_in_force"), "{reply:?}");
    reply.revision
}

fn send_many(
    at: SocketAddr,
    method: &'static str,
    path: &str,
) -> Vec<JoinHandle<Option<HttpReply>>> {
    let tasks = (0..REQUEST_COUNT).map(|_| {
        let path = path.to_owned();
        tokio::spawn(async move {
            let method = method.parse().expect("a method");
            HttpClient::new().send(method, at, &path, json!({ "query": {} }).to_string()).await
        })
    });
    tasks.collect()
}

fn describe_query(reply: &HttpReply) -> String {
    let body = reply.json().expect("a complete reply");
    match body["verdict"].as_str() {
        Some("done") => format!("snapshot {}", body["snapshot"]),
        verdict => verdict.unwrap_or_default().to_owned(),
    }
}

fn describe_question(reply: &HttpReply) -> String {
    let body = reply.json().expect("a complete reply");
    match body["addresses"].is_array() && body["error"].is_null() {
        true => body.to_string(),
        false => body["error"]["code"].as_str().unwrap_or_default().to_owned(),
    }
}
