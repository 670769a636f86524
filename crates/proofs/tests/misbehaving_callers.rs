//! Callers that press nodes with bodies, most of which stop just short of their end.
//!
//! Each test checks that the process lives, that its memory and its descriptors stay under a bound, and
//! that an ordinary request is answered afterwards.

use googletest::prelude::*;
use proofs::{
    BodyForm, CallerCrowd, CrowdRequest, Installation, LeafProcess, NodeProcess, ProcessUsage,
    QueryRequest, fixed_latency, long_deadline_service, send_request, start_leaf_with_all_shards,
    unread_bytes, wait_until, waiting_connections,
};
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};

/// Memory of a small machine, in MiB.
const MEMORY_MIB: u64 = 160;
/// Descriptors of a small machine.
const MAX_FDS: usize = 4_100;
/// Default of the longest body, in bytes.
const BODY_BYTES: usize = 262_144;
/// Connections of a crowd that sends large bodies.
const LARGE_CROWD: usize = 900;
/// Connections of a crowd that sends chunks of one byte.
const SMALL_CHUNK_CROWD: usize = 300;
/// Chunks of one byte that are sent at once on each connection.
const SMALL_CHUNKS_AT_ONCE: usize = 16_000;
/// Chunks of one byte that are sent one by one on each connection.
const SMALL_CHUNKS_ONE_BY_ONE: usize = 300;
/// Time limit for receiving a body, longer than a test takes, in milliseconds.
const RECEIVE_MS: u64 = 60_000;
/// Time that an upstream takes, longer than a test, in milliseconds.
const ENDLESS_MS: u64 = 60_000;
/// Descriptors of a node in the tests of its connections.
const FEW_FDS: usize = 400;
/// Descriptors that callers leave to files, upstreams, the store and other nodes.
const RESERVED_FDS: usize = 200;
/// Connections of a crowd that takes all of these.
const CONNECTION_CROWD: usize = 500;
const SERVICE: &str = "shopfront-01";

/// One test runs at a time, so that none takes the processor from another's nodes.
static TURN: Mutex<()> = Mutex::const_new(());

async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Starts nodes, and an upstream that accepts so few connections that one of the nodes is the home of its
/// service.
async fn start_nodes(count: usize, max_descriptors: Option<usize>) -> (Installation, LeafProcess) {
    let settings = json!({ "caller_limits": { "receive_ms": RECEIVE_MS } });
    let installation = Installation::start_limited(count, &settings, max_descriptors).await;
    let leaf = start_leaf_with_all_shards(&installation, 1).await;
    let mut service = long_deadline_service(SERVICE, &[&leaf]);
    service["limits"]["connections_per_upstream"] = json!(6);
    installation.create_service(&service).await;
    (installation, leaf)
}

/// Returns a query whose body lacks its last byte.
fn unfinished(body_bytes: usize, form: BodyForm) -> CrowdRequest {
    CrowdRequest { held_back: 1, ..whole(body_bytes, form) }
}

/// Returns a query with a body of `body_bytes`.
fn whole(body_bytes: usize, form: BodyForm) -> CrowdRequest {
    let head = format!("POST /v1/services/{SERVICE}/query HTTP/1.1\r\nhost: node.example\r\n");
    let head = format!("{head}content-type: application/json\r\n");
    let envelope = json!({ "query": "" }).to_string().len();
    let query = "b".repeat(body_bytes.saturating_sub(envelope));
    let body = json!({ "query": query }).to_string().into_bytes();
    CrowdRequest { head, body, held_back: 0, form }
}

/// Checks that each node lives within its limits.
fn expect_within_limits(installation: &Installation) {
    for node in &installation.nodes {
        let usage = ProcessUsage::read(&node.process);
        println!("{}: {usage:?}", node.name);
        let usage = usage.expect("the process lives");
        expect_that!(usage.peak_memory_kib, le(MEMORY_MIB * 1_024));
        expect_that!(usage.descriptors, le(MAX_FDS));
    }
}

/// Waits until each node has read what callers have sent, or has closed their connections.
async fn wait_until_read(installation: &Installation) {
    for node in &installation.nodes {
        let address = node.addresses.caller;
        let mut unread = unread_bytes(address);
        while 0 < unread {
            unread = wait_until(&installation.timer, "the node goes on reading", async || {
                Some(unread_bytes(address)).filter(|it| *it < unread)
            })
            .await;
        }
    }
}

/// Waits until each node has answered an ordinary query.
async fn wait_for_ordinary_answers(installation: &Installation) {
    for node in &installation.nodes {
        let address = node.addresses.caller;
        wait_until(&installation.timer, "an ordinary query is answered", async || {
            let query = QueryRequest::with_key("print");
            let outcome = installation.caller.query(address, SERVICE, query).await?;
            outcome.has_full_coverage().then_some(())
        })
        .await;
    }
}

/// Presses a node with a crowd of `count` callers that each begin `request`, and checks it during the
/// crowd and after it.
async fn press_node(count: usize, request: CrowdRequest) {
    let (installation, _leaf) = start_nodes(1, None).await;

    let mut crowd = CallerCrowd::connect(installation.nodes[0].addresses.caller, count).await;
    crowd.begin_requests(&request).await;

    wait_until_read(&installation).await;
    expect_within_limits(&installation);
    wait_for_ordinary_answers(&installation).await;
    drop(crowd);
    wait_for_ordinary_answers(&installation).await;
    expect_within_limits(&installation);
}

/// Presses the node that `choose` returns with whole bodies while the upstream does not reply.
async fn press_with_whole_bodies(
    nodes: usize,
    choose: impl AsyncFn(&Installation) -> &NodeProcess,
) {
    let (installation, leaf) = start_nodes(nodes, None).await;
    let address = choose(&installation).await.addresses.caller;
    leaf.set_behaviour(&json!({ "latency": fixed_latency(ENDLESS_MS) })).await;

    let mut crowd = CallerCrowd::connect(address, LARGE_CROWD).await;
    crowd.begin_requests(&whole(BODY_BYTES, BodyForm::Sized { pieces: 1 })).await;

    wait_until_read(&installation).await;
    expect_within_limits(&installation);
    drop(crowd);
    leaf.set_behaviour(&json!({ "latency": fixed_latency(1) })).await;
    wait_for_ordinary_answers(&installation).await;
    expect_within_limits(&installation);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_bodies_sent_at_once() {
    let _turn = take_turn().await;
    press_node(LARGE_CROWD, unfinished(BODY_BYTES, BodyForm::Sized { pieces: 1 })).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_bodies_sent_in_pieces() {
    let _turn = take_turn().await;
    press_node(LARGE_CROWD, unfinished(BODY_BYTES, BodyForm::Sized { pieces: 16 })).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_large_chunks() {
    let _turn = take_turn().await;
    press_node(LARGE_CROWD, unfinished(BODY_BYTES, BodyForm::Chunked { chunks: 4 })).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_many_chunks_of_one_byte() {
    let _turn = take_turn().await;
    let chunks = SMALL_CHUNKS_AT_ONCE;
    press_node(SMALL_CHUNK_CROWD, unfinished(chunks + 1, BodyForm::Chunked { chunks })).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_slow_chunks_of_one_byte() {
    let _turn = take_turn().await;
    let request = unfinished(SMALL_CHUNKS_ONE_BY_ONE + 1, BodyForm::SingleBytes);
    press_node(SMALL_CHUNK_CROWD, request).await;
}

/// Whole bodies are held while their queries run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_whole_bodies() {
    let _turn = take_turn().await;
    press_with_whole_bodies(1, async |installation| &installation.nodes[0]).await;
}

/// A node that is not the home of a service hands its callers' queries on.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_keeps_its_memory_bound_beside_bodies_from_another_node() {
    let _turn = take_turn().await;
    press_with_whole_bodies(2, async |installation| {
        let mut is_home = Vec::new();
        for node in &installation.nodes {
            let status = node.operator_client.status().await.expect("the node's status");
            is_home.push(status.services.iter().any(|it| it.name == SERVICE && it.home));
        }
        let other = is_home.iter().position(|it| !it).expect("a node that is not the home");
        &installation.nodes[other]
    })
    .await;
}

/// Presses a node that has few descriptors with connections on which callers send `bytes` and no more.
async fn press_with_connections(bytes: &[u8]) {
    let (installation, _leaf) = start_nodes(1, Some(FEW_FDS)).await;
    let address = installation.nodes[0].addresses.caller;

    let mut crowd = CallerCrowd::connect(address, CONNECTION_CROWD).await;
    crowd.send(bytes).await;

    let mut sockets = 0;
    wait_until(&installation.timer, "all connections are accepted", async || {
        let usage = ProcessUsage::read(&installation.nodes[0].process).expect("the process lives");
        sockets = sockets.max(usage.sockets);
        (waiting_connections(address) == 0).then_some(())
    })
    .await;
    println!("{sockets} sockets");
    expect_that!(sockets, le(FEW_FDS - RESERVED_FDS));
    wait_for_ordinary_answers(&installation).await;
    drop(crowd);
    wait_for_ordinary_answers(&installation).await;
    expect_within_limits(&installation);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_accepts_connections_beside_silent_ones() {
    let _turn = take_turn().await;
    press_with_connections(b"").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_accepts_connections_beside_unfinished_heads() {
    let _turn = take_turn().await;
    let request = whole(100, BodyForm::Sized { pieces: 1 });
    press_with_connections(request.head.as_bytes()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_accepts_connections_beside_unfinished_short_bodies() {
    let _turn = take_turn().await;
    let head = whole(100, BodyForm::Sized { pieces: 1 }).head;
    press_with_connections(format!("{head}content-length: 100\r\n\r\n{{").as_bytes()).await;
}

/// A single query inside the limits is served, whatever the form of its body.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_serves_a_single_body_of_the_largest_size_in_calm() {
    let _turn = take_turn().await;
    let (installation, _leaf) = start_nodes(1, None).await;
    let address = installation.nodes[0].addresses.caller;

    for form in [
        BodyForm::Sized { pieces: 1 },
        BodyForm::Sized { pieces: 16 },
        BodyForm::Chunked { chunks: 4 },
        BodyForm::Chunked { chunks: BODY_BYTES },
    ] {
        let status = send_request(address, &whole(BODY_BYTES, form)).await;
        expect_that!(status, some(eq(200)), "{form:?}");
    }
    expect_within_limits(&installation);
}
