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

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time above which the timer reports a pause of this process; the command ignores the reports.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Sends a query as a caller does: requests an address from a node, then sends the query to that
/// address.
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
    /// Deadline of the query, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Sends the request in a new session, as required by services that are not idempotent.
    #[arg(long)]
    session: bool,
    /// Name of the service.
    service: String,
    /// The query as JSON.
    query: String,
}

#[derive(Debug, Deserialize)]
struct AddressResponse {
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
struct VerdictResponse {
    verdict: Verdict,
}

struct HttpResponse {
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
        .map_err(|error| CommandError::Failed(format!("the query is not valid JSON: {error}")))?;
    let client = QueryClient::new();
    let response = client.request_addresses(&args).await?;
    let target = if args.session {
        response.session.address
    } else {
        response
            .addresses
            .first()
            .ok_or_else(|| CommandError::not_run("the node returned no address; try another node"))?
            .address
    };
    let body = QueryBody {
        query,
        deadline_ms: args.deadline_ms,
        session: args.session.then_some(response.session.token.as_str()),
        sequence: args.session.then_some(1),
    };
    let query_response = client.send_query(target, &args.service, &body).await?;
    print_response(&query_response)
}

impl QueryClient {
    fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { timer: TimerService::start(PAUSE_LIMIT), client }
    }

    async fn request_addresses(&self, args: &QueryArgs) -> Result<AddressResponse, CommandError> {
        let uri = format!(
            "http://{}/v1/services/{}/addresses?zone={}",
            args.callers, args.service, args.zone
        );
        let response = self.exchange(Method::GET, &uri, Bytes::new()).await?;
        if response.status != 200 {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            return Err(CommandError::not_run(text));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| CommandError::Failed(format!("invalid address response: {error}")))
    }

    async fn send_query(
        &self,
        target: SocketAddr,
        service: &str,
        body: &QueryBody<'_>,
    ) -> Result<HttpResponse, CommandError> {
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
    ) -> Result<HttpResponse, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CommandError::Failed(format!("invalid request: {error}")))?;
        let operation = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    return CommandError::not_run(format!("cannot connect to {uri}: {error}"));
                }
                CommandError::may_have_run(format!("no response from {uri}: {error}"))
            })?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|error| {
                CommandError::may_have_run(format!("the response was truncated: {error}"))
            })?;
            Ok(HttpResponse { status, body: body.to_bytes() })
        };
        let result = self.timer.timeout(RESPONSE_TIMEOUT, operation).await;
        result.unwrap_or_else(|_| {
            Err(CommandError::may_have_run(format!("no response from {uri} in time")))
        })
    }
}

fn print_response(response: &HttpResponse) -> Result<(), CommandError> {
    let value: serde_json::Value = serde_json::from_slice(&response.body).map_err(|error| {
        CommandError::may_have_run(format!("the response is not complete JSON: {error}"))
    })?;
    output::print_json(&value)?;
    let verdict: VerdictResponse = serde_json::from_value(value).map_err(|error| {
        CommandError::may_have_run(format!("the response has no valid verdict: {error}"))
    })?;
    if verdict.verdict == Verdict::Done {
        return Ok(());
    }
    let message = format!("the query failed (HTTP status {})", response.status);
    Err(CommandError::RequestFailed { verdict: verdict.verdict, message })
}
