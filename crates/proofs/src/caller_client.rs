//! HTTP client of the nodes' interface for callers.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use mux_timer::TimerService;
use serde::Deserialize;
use serde_json::{Value, json};

use super::HttpClient;

const MAX_OVERLOAD_ATTEMPTS: u32 = 1_000;

/// Client of the nodes' interface for callers, with persistent connections.
#[derive(Debug, Clone, Default)]
pub struct CallerClient {
    http: HttpClient,
}

/// Body of a query request.
#[derive(Debug, Clone, Default)]
pub struct QueryRequest {
    /// Query that the node forwards to the upstreams.
    pub query: Value,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Session token.
    pub session: Option<String>,
    /// Sequence number of the request within the session.
    pub sequence: Option<u64>,
}

/// Reply to a query.
#[derive(Debug, Clone, Deserialize)]
pub struct QueryOutcome {
    /// HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// Verdict: `done`, `not_run` or `may_have_run`.
    pub verdict: String,
    /// All other members of the reply, which is a result or an error.
    #[serde(flatten)]
    pub body: Value,
}

/// Reply to an address request.
#[derive(Debug, Clone, Deserialize)]
pub struct AddressReply {
    /// Node addresses in descending order of preference.
    pub addresses: Vec<NodeAddress>,
    /// Session for requests that are not idempotent.
    pub session: SessionReply,
}

/// Address of one node.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeAddress {
    /// Name of the node.
    pub node: String,
    /// Address on which the node serves callers.
    pub address: SocketAddr,
}

/// Session issued by a node.
#[derive(Debug, Clone, Deserialize)]
pub struct SessionReply {
    /// Token to send with requests.
    pub token: String,
    /// Address of the node that issued the session.
    pub address: SocketAddr,
}

impl CallerClient {
    /// Creates a client that connects with its first request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fetches addresses and a session from the node at `address`.
    pub async fn addresses(&self, address: SocketAddr, service: &str) -> Option<AddressReply> {
        let path = format!("/v1/services/{service}/addresses");
        serde_json::from_value(self.http.get(address, &path).await?).ok()
    }

    /// Sends a query; returns `None` if no complete reply is received.
    pub async fn query(
        &self,
        address: SocketAddr,
        service: &str,
        request: QueryRequest,
    ) -> Option<QueryOutcome> {
        let path = format!("/v1/services/{service}/query");
        let body = request.to_json().to_string();
        let reply = self.http.send(Method::POST, address, &path, body).await?;
        let outcome: QueryOutcome = serde_json::from_value(reply.json()?).ok()?;
        Some(QueryOutcome { status: reply.status, ..outcome })
    }

    /// Sends a query, and retries it after the suggested delay while the service is overloaded.
    ///
    /// Any service may be overloaded on a busy machine. Retries are safe, as a request rejected for
    /// overload has not run. Returns `None` if a reply is incomplete or suggests no delay, or if
    /// all `MAX_OVERLOAD_ATTEMPTS` attempts are rejected.
    pub async fn query_with_overload_retries(
        &self,
        timer: &TimerService,
        address: SocketAddr,
        service: &str,
        request: QueryRequest,
    ) -> Option<QueryOutcome> {
        for _ in 0..MAX_OVERLOAD_ATTEMPTS {
            let outcome = self.query(address, service, request.clone()).await?;
            if outcome.verdict != "not_run" || outcome.code() != "overloaded" {
                return Some(outcome);
            }
            let millis = outcome.retry_after_ms()?;
            timer.sleep(Duration::from_millis(millis)).await;
        }
        None
    }
}

impl QueryRequest {
    /// Creates a query whose runs are counted by the leaves under `key`.
    pub fn with_key(key: &str) -> Self {
        Self { query: json!({ "key": key }), ..Self::default() }
    }

    /// Adds a session token and a sequence number.
    pub fn with_session(self, token: &str, sequence: u64) -> Self {
        Self { session: Some(token.to_owned()), sequence: Some(sequence), ..self }
    }

    /// Adds the time until the deadline, in milliseconds.
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms: Some(deadline_ms), ..self }
    }

    fn to_json(&self) -> Value {
        let mut body = json!({ "query": self.query });
        let fields = [
            ("deadline_ms", self.deadline_ms.map(Value::from)),
            ("session", self.session.clone().map(Value::from)),
            ("sequence", self.sequence.map(Value::from)),
        ];
        for (name, value) in fields {
            if let Some(value) = value {
                body[name] = value;
            }
        }
        body
    }
}

impl QueryOutcome {
    /// Returns the error code, or an empty string if the reply is not an error.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns the suggested retry delay in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.body["retry_after_ms"].as_u64()
    }

    /// Returns the snapshot that the results belong to.
    pub fn snapshot(&self) -> Option<u64> {
        self.body["snapshot"].as_u64()
    }

    /// Returns the reported numbers of contributing shards and of all shards.
    pub fn coverage(&self) -> Option<(u64, u64)> {
        let coverage = &self.body["coverage"];
        Some((coverage["contributed"].as_u64()?, coverage["total"].as_u64()?))
    }

    /// Returns whether all shards contributed to the reply.
    pub fn has_full_coverage(&self) -> bool {
        self.coverage().is_some_and(|(contributed, total)| contributed == total)
    }

    /// Returns pairs of shard and result.
    pub fn results(&self) -> Vec<(u64, &Value)> {
        let results = self.body["results"].as_array().into_iter().flatten();
        results.filter_map(|it| Some((it["shard"].as_u64()?, &it["result"]))).collect()
    }

    /// Returns whether this is the stored reply to an earlier attempt.
    pub fn is_replayed(&self) -> bool {
        self.body["replayed"].as_bool().unwrap_or(false)
    }
}
