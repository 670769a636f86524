//! `mustardmux query`.

use std::{net::SocketAddr, time::Duration};

use clap::Args;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Bytes, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use mux_model::Verdict;
use mux_timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{errors::CommandError, output};

const REPLY_LIMIT: Duration = Duration::from_secs(30);
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Sends a query as a caller would: asks for an address, then queries there.
#[derive(Debug, Args)]
#[command(
    after_help = "Example: mustardmux query --callers 127.0.0.1:7001 shop '{\"text\": \"prints\"}'"
)]
pub(crate) struct QueryArgs {
    /// Caller address of any node.
    #[arg(long, env = "MUSTARDMUX_CALLERS", value_name = "IP:PORT")]
    callers: SocketAddr,
    /// Availability zone of the caller.
    #[arg(long, default_value = "")]
    zone: String,
    /// Time to wait for the answer, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Sends the request in a new session, as services that are not idempotent require.
    #[arg(long)]
    session: bool,
    /// Name of the service.
    service: String,
    /// The query as JSON.
    query: String,
}

#[derive(Debug, Deserialize)]
struct AddressReply {
    addresses: Vec<AddressEntry>,
    session: SessionEntry,
}

#[derive(Debug, Deserialize)]
struct AddressEntry {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct SessionEntry {
    token: String,
    address: SocketAddr,
}

#[derive(Debug, Serialize)]
struct QueryBody<'a> {
    query: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sequence: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct VerdictReply {
    verdict: Verdict,
}

struct HttpReply {
    status: u16,
    body: Bytes,
}

struct QueryClient {
    timer: TimerService,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Runs the command.
pub(crate) async fn run(args: QueryArgs) -> Result<(), CommandError> {
    let query: &RawValue = serde_json::from_str(&args.query)
        .map_err(|error| CommandError::Failed(format!("the query is not JSON: {error}")))?;
    let client = QueryClient::new();
    let reply = client.ask_addresses(&args).await?;
    let target = if args.session {
        reply.session.address
    } else {
        reply
            .addresses
            .first()
            .ok_or_else(|| CommandError::not_run("the node names no address; try another node"))?
            .address
    };
    let body = QueryBody {
        query,
        deadline_ms: args.deadline_ms,
        session: args.session.then_some(reply.session.token.as_str()),
        sequence: args.session.then_some(1),
    };
    let answer = client.send_query(target, &args.service, &body).await?;
    print_answer(&answer)
}

impl QueryClient {
    fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { timer: TimerService::start(PAUSE_LIMIT), client }
    }

    async fn ask_addresses(&self, args: &QueryArgs) -> Result<AddressReply, CommandError> {
        let uri = format!(
            "http://{}/v1/services/{}/addresses?zone={}",
            args.callers, args.service, args.zone
        );
        let reply = self.exchange(Method::GET, &uri, Bytes::new()).await?;
        if reply.status != 200 {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(CommandError::not_run(text));
        }
        serde_json::from_slice(&reply.body)
            .map_err(|error| CommandError::Failed(format!("bad address answer: {error}")))
    }

    async fn send_query(
        &self,
        target: SocketAddr,
        service: &str,
        body: &QueryBody<'_>,
    ) -> Result<HttpReply, CommandError> {
        let uri = format!("http://{target}/v1/services/{service}/query");
        let bytes =
            serde_json::to_vec(body).map_err(|error| CommandError::Failed(error.to_string()))?;
        self.exchange(Method::POST, &uri, Bytes::from(bytes)).await
    }

    async fn exchange(
        &self,
        method: Method,
        uri: &str,
        body: Bytes,
    ) -> Result<HttpReply, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CommandError::Failed(format!("bad request: {error}")))?;
        let operation = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    return CommandError::not_run(format!("cannot connect to {uri}: {error}"));
                }
                CommandError::may_have_run(format!("no answer from {uri}: {error}"))
            })?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|error| {
                CommandError::may_have_run(format!("the answer was cut off: {error}"))
            })?;
            Ok(HttpReply { status, body: body.to_bytes() })
        };
        let result = self.timer.timeout(REPLY_LIMIT, operation).await;
        result.unwrap_or_else(|_| {
            Err(CommandError::may_have_run(format!("no answer from {uri} in time")))
        })
    }
}

fn print_answer(reply: &HttpReply) -> Result<(), CommandError> {
    let value: serde_json::Value = serde_json::from_slice(&reply.body).map_err(|error| {
        CommandError::may_have_run(format!("the answer is not complete JSON: {error}"))
    })?;
    output::print_json(&value)?;
    let verdict: VerdictReply = serde_json::from_value(value)
        .map_err(|error| CommandError::may_have_run(format!("no verdict: {error}")))?;
    if verdict.verdict == Verdict::Done {
        return Ok(());
    }
    let message = format!("the query was not answered (HTTP status {})", reply.status);
    Err(CommandError::Refused { verdict: verdict.verdict, message })
}
