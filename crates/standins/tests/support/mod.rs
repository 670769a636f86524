//! Test doubles as child processes.

#![allow(dead_code, reason = "each test file uses a part only")]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use mux_model::{CallFailure, CallId, RequestId, ServiceName, ShardIndex, SnapshotId, UpstreamId};
use mux_timer::TimerService;
use mux_upstream::{CallHeader, PoolSettings, UpstreamPool, UpstreamReply};
use serde::Deserialize;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};

/// Loopback address with a port that the operating system chooses.
pub(crate) const ANY_PORT: &str = "127.0.0.1:0";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Upstream process with a pool that calls it.
pub(crate) struct LeafFixture {
    pub(crate) pool: UpstreamPool,
    pub(crate) timer: TimerService,
    pub(crate) upstream: UpstreamId,
    control: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    _process: TestDoubleProcess,
}

impl LeafFixture {
    /// Starts an upstream that holds shards 0 and 1 of snapshot 1, with the additional `settings`.
    pub(crate) async fn start(settings: Value) -> Self {
        let mut leaf = json!({
            "listen": ANY_PORT,
            "control_listen": ANY_PORT,
            "availability_zone": "muc-a",
            "record_calls": true,
            "snapshots": [{ "snapshot": 1, "shard_count": 2, "shards": [0, 1] }],
        });
        for (key, value) in settings.as_object().expect("an object") {
            leaf[key] = value.clone();
        }
        let process = TestDoubleProcess::start("leaf", &json!({ "leaves": [leaf] }));
        let BoundAddresses { listen, control } = process.addresses;
        let timer = TimerService::start(Duration::from_secs(1));
        let log = Logger::root(Discard, o!());
        let pool = UpstreamPool::start(PoolSettings::default(), timer.clone(), log);
        let upstream = UpstreamId(listen);
        pool.set_limit(upstream, 1);
        let client = Client::builder(TokioExecutor::new()).build_http();
        let fixture = Self { pool, timer, upstream, control, client, _process: process };
        fixture.wait_for_report(|_| true).await;
        fixture
    }

    /// Changes the behaviour of the upstream.
    pub(crate) async fn control(&self, change: Value) {
        let body = change.to_string().into();
        self.send_control_request(Method::PUT, body)
            .await
            .expect("the upstream accepts the control request");
    }

    /// Waits until the control report of the upstream meets `condition`, and returns the report.
    pub(crate) async fn wait_for_report(&self, condition: impl Fn(&Value) -> bool) -> Value {
        let deadline = self.timer.now() + TEST_TIMEOUT;
        loop {
            let report = self.send_control_request(Method::GET, Bytes::new()).await;
            if let Some(report) = report.filter(|it| condition(it)) {
                return report;
            }
            assert!(self.timer.now() < deadline, "no report met the condition in time");
            self.timer.sleep(RETRY_PERIOD).await;
        }
    }

    /// Calls a shard of a snapshot.
    pub(crate) async fn call(
        &self,
        snapshot: u64,
        shard: u32,
        query: &'static str,
    ) -> Result<UpstreamReply, CallFailure> {
        self.call_within(snapshot, shard, query, TEST_TIMEOUT).await
    }

    /// Calls a shard of a snapshot with a deadline after `limit`.
    pub(crate) async fn call_within(
        &self,
        snapshot: u64,
        shard: u32,
        query: &'static str,
        limit: Duration,
    ) -> Result<UpstreamReply, CallFailure> {
        let header = CallHeader {
            request: RequestId::random(),
            call: CallId(1),
            service: ServiceName::from("shopfront-1"),
            snapshot: SnapshotId(snapshot),
            shard: ShardIndex(shard),
            deadline: self.timer.now() + limit,
        };
        self.pool.call(self.upstream, &header, query.into()).await
    }

    async fn send_control_request(&self, method: Method, body: Bytes) -> Option<Value> {
        let uri = format!("http://{}/v1/control", self.control);
        let request = Request::builder().method(method).uri(uri).body(Full::new(body)).ok()?;
        let response = self.client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}

/// Addresses that a test double reports on its standard output.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct BoundAddresses {
    pub(crate) listen: SocketAddr,
    pub(crate) control: SocketAddr,
}

/// Process of a test double that serves one upstream or relay; killed on drop.
pub(crate) struct TestDoubleProcess {
    child: Child,
    pub(crate) addresses: BoundAddresses,
}

impl TestDoubleProcess {
    /// Starts `standins` with the subcommand `command` and `settings`.
    #[expect(clippy::disallowed_methods, reason = "the test runs the test double as a process")]
    pub(crate) fn start(command: &str, settings: &Value) -> Self {
        static COUNTER: AtomicU32 = AtomicU32::new(0);
        let number = COUNTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("{command}-{}-{number}.json", std::process::id());
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, settings.to_string()).expect("settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_standins"))
            .args([command, "--settings", &path.to_string_lossy()])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the test double starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("piped output");
        BufReader::new(output).read_line(&mut line).expect("the test double reports addresses");
        let addresses = serde_json::from_str(&line).expect("a report of addresses");
        Self { child, addresses }
    }
}

impl Drop for TestDoubleProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
