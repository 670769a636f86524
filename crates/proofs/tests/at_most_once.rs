//! Non-idempotent requests run at most once, and their verdicts are correct.

use googletest::prelude::*;
use mux_admin::Verdict;
use proofs::{
    AddressReply, ChangeClient, Installation, LeafProcess, NodeProcess, QueryOutcome, QueryRequest,
    RelayProcess, fixed_latency, leaf_settings, service_definition, wait_until, with_overrides,
};
use serde_json::json;

const SERVICE: &str = "backoffice";
const SHARD_COUNT: u32 = 2;
/// Longer than any timeout of the tests.
const ENDLESS_MS: u64 = 3_600_000;
const SHORT_MS: u64 = 5;

/// The node that issued the session is killed between request and reply; the caller retries at
/// another node, and at the killed node after its restart under the same name.
#[gtest]
#[tokio::test]
async fn retry_after_the_session_owner_was_killed() {
    let mut fixture = SessionFixture::start(2, ENDLESS_MS).await;
    let (owner, other) = (fixture.owner, 1 - fixture.owner);
    let first = fixture.send("order", 1, owner);
    fixture.wait_for_runs("order").await;

    fixture.installation.nodes[owner].process.kill();
    let first = first.await.expect("the task completes");
    let at_other_node = fixture.send("order", 1, other).await.expect("the task completes");
    fixture.restart_node(owner).await;
    let restarted = fixture.send("order", 1, owner).await.expect("the task completes");
    let forwarded = fixture.send("order", 1, other).await.expect("the task completes");

    expect_that!(first.is_none(), eq(true));
    for outcome in [at_other_node, restarted, forwarded] {
        expect_that!(outcome.expect("a complete reply").verdict, eq("may_have_run"));
    }
    expect_that!(fixture.runs("order").await, elements_are![eq(&1), eq(&1)]);
}

/// The only home node is killed between request and reply, while the node that issued the session
/// keeps running; that node reports that the request may have run, also to retries.
#[gtest]
#[tokio::test]
async fn retry_after_the_home_node_was_killed() {
    let limits = json!({ "connections_per_upstream": 2, "connection_reserve": 0 });
    let mut fixture = SessionFixture::start_with(3, ENDLESS_MS, limits).await;
    let home = fixture.only_home_node().await;
    let owner = (home + 1) % 3;
    fixture.use_session_of(owner).await;
    let first = fixture.send("order", 1, owner);
    fixture.wait_for_runs("order").await;

    fixture.installation.nodes[home].process.kill();
    let first = first.await.expect("the task completes").expect("a complete reply");
    let retry = fixture.send("order", 1, owner).await.expect("the task completes");
    fixture.restart_node(home).await;
    let restarted = fixture.send("order", 1, home).await.expect("the task completes");

    expect_that!(first.verdict, eq("may_have_run"));
    expect_that!(retry.expect("a complete reply").verdict, eq("may_have_run"));
    expect_that!(restarted.expect("a complete reply").verdict, eq("may_have_run"));
    expect_that!(fixture.runs("order").await, elements_are![eq(&1), eq(&1)]);
}

/// Retries during the run receive the error `in_progress`; later ones receive the stored reply.
#[gtest]
#[tokio::test]
async fn retries_at_two_nodes_receive_the_stored_reply() {
    const SERVICE_TIME_MS: u64 = 5_000;
    let fixture = SessionFixture::start(2, SERVICE_TIME_MS).await;
    let (owner, other) = (fixture.owner, 1 - fixture.owner);
    let first = fixture.send("order", 1, owner);
    fixture.wait_for_runs("order").await;

    let replies_during_run = [
        fixture
            .send("order", 1, owner)
            .await
            .expect("the task completes")
            .expect("a complete reply"),
        fixture
            .send("order", 1, other)
            .await
            .expect("the task completes")
            .expect("a complete reply"),
    ];
    let replies_after_run =
        [fixture.retry_until_done(owner).await, fixture.retry_until_done(other).await];

    let first = first.await.expect("the task completes").expect("a complete reply");
    expect_that!(first.verdict, eq("done"));
    expect_that!(first.is_replayed(), eq(false));
    for outcome in replies_during_run {
        // On a machine that is busy for seconds, the request may have completed before the retry.
        if outcome.code() == "in_progress" {
            expect_that!(outcome.verdict, eq("may_have_run"));
            expect_that!(outcome.retry_after_ms(), some(anything()));
        } else {
            expect_that!(outcome.is_replayed(), eq(true));
        }
    }
    for outcome in replies_after_run {
        expect_that!(outcome.is_replayed(), eq(true));
        expect_that!(outcome.results(), eq(&first.results()));
    }
    expect_that!(fixture.runs("order").await, elements_are![eq(&1), eq(&1)]);
}

/// The connections to one upstream are closed after the request was sent: the request is not sent
/// again, although another replica and new connections are available.
#[gtest]
#[tokio::test]
async fn connections_lost_after_the_send_cause_no_second_run() {
    let fixture = SessionFixture::start_behind_relays(ENDLESS_MS).await;
    let first = fixture.send("order", 1, fixture.owner);
    fixture.wait_for_runs("order").await;

    fixture.set_latency(SHORT_MS).await;
    let relay = fixture.relay_of_shard("order", 0).await;
    relay.set_mode("cut").await;
    relay.set_mode("pass").await;
    let first = first.await.expect("the task completes").expect("a complete reply");
    let retry = fixture.send("order", 1, fixture.owner).await.expect("the task completes");
    let next = fixture.send_new_requests_until_done().await;

    expect_that!(first.verdict, eq("may_have_run"));
    expect_that!(retry.expect("a complete reply").verdict, eq("may_have_run"));
    expect_that!(next.has_full_coverage(), eq(true));
    expect_that!(fixture.runs("order").await, elements_are![eq(&1)]);
}

/// A retry receives the stored reply, even if the service has been removed meanwhile.
#[gtest]
#[tokio::test]
async fn retry_after_the_service_was_removed_receives_the_stored_reply() {
    let fixture = SessionFixture::start(2, SHORT_MS).await;
    let (owner, other) = (fixture.owner, 1 - fixture.owner);
    let first = fixture.retry_until_done(owner).await;

    fixture.remove_service().await;
    let retry = fixture
        .send("order", 1, owner)
        .await
        .expect("the task completes")
        .expect("a complete reply");
    let at_other_node = fixture.send("order", 1, other).await.expect("the task completes");
    let new_request = fixture
        .send("order", 2, owner)
        .await
        .expect("the task completes")
        .expect("a complete reply");

    for outcome in [retry, at_other_node.expect("a complete reply")] {
        expect_that!(outcome.verdict, eq("done"));
        expect_that!(outcome.is_replayed(), eq(true));
        expect_that!(outcome.results(), eq(&first.results()));
    }
    expect_that!(new_request.verdict, eq("not_run"));
    expect_that!(new_request.code(), eq("unknown_service"));
    expect_that!(fixture.runs("order").await, elements_are![eq(&1), eq(&1)]);
}

/// Non-idempotent service with two replicas of each shard, and a session of a caller.
struct SessionFixture {
    installation: Installation,
    leaves: Vec<LeafProcess>,
    relays: Vec<RelayProcess>,
    shard_count: u32,
    session: String,
    /// Index of the node that issued the session.
    owner: usize,
}

impl SessionFixture {
    async fn start(nodes: usize, latency_ms: u64) -> Self {
        Self::start_with(nodes, latency_ms, json!({})).await
    }

    async fn start_with(nodes: usize, latency_ms: u64, limits: serde_json::Value) -> Self {
        let installation = Installation::start(nodes).await;
        let leaves = start_leaves(&installation, SHARD_COUNT, latency_ms).await;
        let upstreams: Vec<_> = leaves.iter().map(|it| it.address).collect();
        Self::create(installation, leaves, Vec::new(), &upstreams, limits).await
    }

    async fn start_behind_relays(latency_ms: u64) -> Self {
        let installation = Installation::start(1).await;
        // With one shard, the other replica has free capacity for a second run.
        let leaves = start_leaves(&installation, 1, latency_ms).await;
        let mut relays = Vec::new();
        for leaf in &leaves {
            relays.push(installation.start_relay(leaf.address).await);
        }
        let upstreams: Vec<_> = relays.iter().map(|it| it.address).collect();
        Self::create(installation, leaves, relays, &upstreams, json!({})).await
    }

    async fn create(
        installation: Installation,
        leaves: Vec<LeafProcess>,
        relays: Vec<RelayProcess>,
        upstreams: &[std::net::SocketAddr],
        limits: serde_json::Value,
    ) -> Self {
        let limits = with_overrides(json!({ "slots_per_upstream": 8 }), &limits);
        let overrides = json!({ "idempotent": false, "coverage_minimum": 1.0, "limits": limits });
        let definition = with_overrides(service_definition(SERVICE, upstreams), &overrides);
        installation.create_service(&definition).await;
        let shard_count = if relays.is_empty() { SHARD_COUNT } else { 1 };
        let session = String::new();
        let mut fixture = Self { installation, leaves, relays, shard_count, session, owner: 0 };
        fixture.use_session_of(0).await;
        fixture
    }

    /// Uses a new session issued by `node`.
    async fn use_session_of(&mut self, node: usize) {
        let address = self.installation.nodes[node].addresses.caller;
        let caller = &self.installation.caller;
        let reply: AddressReply =
            wait_until(&self.installation.timer, "the node issues a session", async || {
                caller.addresses(address, SERVICE).await
            })
            .await;
        self.session = reply.session.token;
        let owner = reply.session.address;
        let is_owner = |it: &NodeProcess| it.addresses.caller == owner;
        self.owner = self
            .installation
            .nodes
            .iter()
            .position(is_owner)
            .expect("the session owner is a node of the fixture");
        assert_eq!(self.owner, node, "the session belongs to the node that returned it");
    }

    /// Removes the service and waits until no node has it in force.
    async fn remove_service(&self) {
        let address = self.installation.nodes[0].addresses.operator;
        let operator = ChangeClient::new(address, "proof");
        let revision = operator.get(SERVICE).await.expect("the service exists").revision;
        let reply = operator.remove("removal", SERVICE, revision).await.expect("a reply");
        assert_eq!(reply.verdict, i32::from(Verdict::Done), "{}", reply.message);
        for node in &self.installation.nodes {
            let client = ChangeClient::new(node.addresses.operator, "proof");
            wait_until(&self.installation.timer, "the service is removed", async || {
                client.get(SERVICE).await.is_err().then_some(())
            })
            .await;
        }
    }

    fn send(
        &self,
        key: &str,
        sequence: u64,
        node: usize,
    ) -> tokio::task::JoinHandle<Option<QueryOutcome>> {
        let request = QueryRequest::with_key(key).with_session(&self.session, sequence);
        let address = self.installation.nodes[node].addresses.caller;
        let caller = self.installation.caller.clone();
        tokio::spawn(async move { caller.query(address, SERVICE, request).await })
    }

    async fn retry_until_done(&self, node: usize) -> QueryOutcome {
        wait_until(&self.installation.timer, "a retry receives the reply", async || {
            let outcome = self.send("order", 1, node).await.expect("the task completes")?;
            (outcome.verdict == "done").then_some(outcome)
        })
        .await
    }

    async fn send_new_requests_until_done(&self) -> QueryOutcome {
        let mut sequence = 1;
        wait_until(&self.installation.timer, "a new request is completed", async || {
            sequence += 1;
            let key = format!("order {sequence}");
            let outcome =
                self.send(&key, sequence, self.owner).await.expect("the task completes")?;
            (outcome.verdict == "done").then_some(outcome)
        })
        .await
    }

    /// Waits until the query with `key` runs on all shards.
    async fn wait_for_runs(&self, key: &str) {
        wait_until(&self.installation.timer, "the query runs on all shards", async || {
            self.runs(key).await.iter().all(|it| 0 < *it).then_some(())
        })
        .await;
    }

    /// Returns the number of runs of the query with `key` on each shard, summed over all replicas.
    async fn runs(&self, key: &str) -> Vec<u64> {
        let mut runs = vec![0; self.shard_count as usize];
        for leaf in &self.leaves {
            for (shard, count) in (0..).zip(&mut runs) {
                *count += leaf.runs(key, shard).await;
            }
        }
        runs
    }

    /// Returns the relay in front of the replica that runs the query with `key` on `shard`.
    async fn relay_of_shard(&self, key: &str, shard: u64) -> &RelayProcess {
        for (leaf, relay) in self.leaves.iter().zip(&self.relays) {
            if 0 < leaf.runs(key, shard).await {
                return relay;
            }
        }
        panic!("no replica has run the query");
    }

    async fn set_latency(&self, millis: u64) {
        for leaf in &self.leaves {
            leaf.set_behaviour(&json!({ "latency": fixed_latency(millis) })).await;
        }
    }

    async fn restart_node(&mut self, node: usize) {
        let Installation { nodes, directory, timer, .. } = &mut self.installation;
        let node = &mut nodes[node];
        node.restart(directory);
        wait_until(timer, "the restarted node is ready", async || {
            let status = node.operator_client.status().await?;
            (status.state == "ready" && !status.services.is_empty()).then_some(())
        })
        .await;
    }

    /// Returns the index of the only home node.
    async fn only_home_node(&self) -> usize {
        let nodes = &self.installation.nodes;
        wait_until(&self.installation.timer, "exactly one home node is known", async || {
            let mut homes = Vec::new();
            for (idx, node) in nodes.iter().enumerate() {
                let status = node.operator_client.status().await?;
                if status.services.iter().any(|it| it.home) {
                    homes.push(idx);
                }
            }
            (homes.len() == 1).then(|| homes[0])
        })
        .await
    }
}

async fn start_leaves(
    installation: &Installation,
    shard_count: u32,
    latency_ms: u64,
) -> Vec<LeafProcess> {
    let overrides = json!({ "latency": fixed_latency(latency_ms), "slots": 8 });
    let settings =
        with_overrides(leaf_settings(12, shard_count, &Vec::from_iter(0..shard_count)), &overrides);
    vec![installation.start_leaf(&settings).await, installation.start_leaf(&settings).await]
}
