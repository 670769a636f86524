//! Client in the role of a caller.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use mux_timer::TimerService;
use serde::Deserialize;
use serde_json::{Value, json};

use super::HttpClient;

const OVERLOAD_REPEATS: u32 = 1_000;

/// Keep-alive client of the callers' interface.
#[derive(Debug, Clone, Default)]
pub struct CallerClient {
    http: HttpClient,
}

/// What a caller sends with a query.
#[derive(Debug, Clone, Default)]
pub struct QueryParts {
    /// The query itself.
    pub query: Value,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Session token.
    pub session: Option<String>,
    /// Number within the session.
    pub sequence: Option<u64>,
}

/// What a caller is told about a query.
#[derive(Debug, Clone, Deserialize)]
pub struct QueryOutcome {
    /// HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// Name of the verdict.
    pub verdict: String,
    /// Answer or problem as it came.
    #[serde(flatten)]
    pub content: Value,
}

/// Addresses to use, and a session.
#[derive(Debug, Clone, Deserialize)]
pub struct AddressReply {
    /// Addresses, best first.
    pub addresses: Vec<NodeAddress>,
    /// Session for requests that are not idempotent.
    pub session: SessionReply,
}

/// Address of one node.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeAddress {
    /// Name of the node.
    pub node: String,
    /// Address for callers.
    pub address: SocketAddr,
}

/// A session that a node minted.
#[derive(Debug, Clone, Deserialize)]
pub struct SessionReply {
    /// Token to send with requests.
    pub token: String,
    /// Address of the node that minted it.
    pub address: SocketAddr,
}

impl CallerClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks the node at `at` for addresses and a session.
    pub async fn addresses(&self, at: SocketAddr, service: &str) -> Option<AddressReply> {
        let path = format!("/v1/services/{service}/addresses");
        serde_json::from_value(self.http.get(at, &path).await?).ok()
    }

    /// Sends a query; `None` if no complete answer came.
    pub async fn query(
        &self,
        at: SocketAddr,
        service: &str,
        parts: QueryParts,
    ) -> Option<QueryOutcome> {
        let path = format!("/v1/services/{service}/query");
        let body = parts.to_json().to_string();
        let reply = self.http.send(Method::POST, at, &path, body).await?;
        let outcome: QueryOutcome = serde_json::from_value(reply.json()?).ok()?;
        Some(QueryOutcome { status: reply.status, ..outcome })
    }

    /// Sends a query, and comes back when it is told to for as long as the service is overloaded.
    ///
    /// A busy machine makes any service overloaded; such a refusal is proof of not-run.
    pub async fn query_patiently(
        &self,
        timer: &TimerService,
        at: SocketAddr,
        service: &str,
        parts: QueryParts,
    ) -> Option<QueryOutcome> {
        for _ in 0..OVERLOAD_REPEATS {
            let outcome = self.query(at, service, parts.clone()).await?;
            if outcome.verdict != "not_run" || outcome.code() != "overloaded" {
                return Some(outcome);
            }
            let millis = outcome.retry_after_ms()?;
            timer.sleep(Duration::from_millis(millis)).await;
        }
        None
    }
}

impl QueryParts {
    /// Creates a query whose runs the leaves record under `key`.
    pub fn keyed(key: &str) -> Self {
        Self { query: json!({ "key": key }), ..Self::default() }
    }

    /// Adds a session token and a sequence number.
    pub fn in_session(self, token: &str, sequence: u64) -> Self {
        Self { session: Some(token.to_owned()), sequence: Some(sequence), ..self }
    }

    /// Adds the time that the caller waits.
    pub fn within_ms(self, deadline_ms: u64) -> Self {
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
    /// Returns the code of the problem; empty for an answer.
    pub fn code(&self) -> &str {
        self.content["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns the time after which to come back, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.content["retry_after_ms"].as_u64()
    }

    /// Returns the snapshot of the answer.
    pub fn snapshot(&self) -> Option<u64> {
        self.content["snapshot"].as_u64()
    }

    /// Returns the shards that contributed, and all shards, as the answer reports them.
    pub fn coverage(&self) -> Option<(u64, u64)> {
        let coverage = &self.content["coverage"];
        Some((coverage["contributed"].as_u64()?, coverage["total"].as_u64()?))
    }

    /// Returns whether the answer has all shards.
    pub fn is_full(&self) -> bool {
        self.coverage().is_some_and(|(contributed, total)| contributed == total)
    }

    /// Returns the results as pairs of shard and result.
    pub fn results(&self) -> Vec<(u64, &Value)> {
        let results = self.content["results"].as_array().into_iter().flatten();
        results.filter_map(|it| Some((it["shard"].as_u64()?, &it["result"]))).collect()
    }

    /// Returns whether this is the kept answer of an earlier attempt.
    pub fn is_replayed(&self) -> bool {
        self.content["replayed"].as_bool().unwrap_or(false)
    }
}
