//! `mustardmux platform`: inspects or queries nodes that `mustardmux edge` runs.

use std::{fmt::Display, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Subcommand};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use mux_adapter::{
    CallerQuery, PlatformSettings, address_request, query_request, read_addresses, read_coverage,
    readiness_request,
};
use mux_edge::EdgeSettings;
use mux_timer::TimerService;

use super::errors::CommandError;

/// Timeout of requests for readiness and addresses.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the query's deadline until the request times out.
const RESPONSE_GRACE_TIME: Duration = Duration::from_secs(1);
/// Time above which the timer reports a pause of this process; the command ignores the reports.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Host in address requests that are not for a specific host.
const ANY_HOST: &str = "any";

/// Inspects or queries a node that `mustardmux edge` runs.
#[derive(Debug, Subcommand)]
pub(crate) enum PlatformCommand {
    /// Shows the readiness of a node and the addresses that it advertises to callers in its zone.
    #[command(after_help = "Example: mustardmux platform status --settings front-a-1.json")]
    Status(NodeTarget),
    /// Sends a query as a caller does: requests an address from the node, then sends the query to
    /// that address.
    #[command(
        after_help = "Example: mustardmux platform query --settings front-a-1.json shop.example /all/1"
    )]
    Query(QueryArgs),
}

/// Node to which requests are sent.
#[derive(Debug, Args)]
pub(crate) struct NodeTarget {
    /// Settings file of the node; overrides the one in MUSTARDMUX_NODE_FILE.
    #[arg(long)]
    settings: Option<PathBuf>,
}

/// Query to send.
#[derive(Debug, Args)]
pub(crate) struct QueryArgs {
    #[command(flatten)]
    node: NodeTarget,
    /// Deadline of the query, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// Request ID, which the node includes in its log lines about the request.
    #[arg(long, default_value = "0123456789abcdef")]
    id: String,
    /// Host of the route.
    host: String,
    /// Path; starts with the prefix of the route.
    path: String,
}

struct NodeClient {
    timer: TimerService,
    client: Client<HttpConnector, Full<Bytes>>,
}

struct NodeResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Runs the command.
pub(crate) async fn run(command: PlatformCommand) -> Result<(), CommandError> {
    match command {
        PlatformCommand::Status(node) => show_status(&node).await,
        PlatformCommand::Query(args) => send_query(&args).await,
    }
}

async fn show_status(node: &NodeTarget) -> Result<(), CommandError> {
    let settings = load_settings(node)?;
    let client = NodeClient::new();
    let listen = &settings.listen;
    let request = readiness_request(listen.readiness).map_err(invalid_request)?;
    let readiness = client.send(listen.readiness, request, REQUEST_TIMEOUT).await;
    // Reading the state of a node has no effect, so its failure needs no verdict.
    let readiness = readiness.map_err(CommandError::Failed)?;
    let is_ready = readiness.status.is_success();
    let record = &settings.node;
    let state = if is_ready { "ready" } else { "not ready" };
    println!("node {} in {}: {state}", record.node, record.availability_zone);
    let addresses = request_addresses(&client, &settings, ANY_HOST).await?;
    println!("callers in {} are sent to:", record.availability_zone);
    for address in &addresses {
        println!("  {address}");
    }
    if is_ready {
        return Ok(());
    }
    Err(CommandError::Failed(
        "the node is not ready: it is stopping, or has not loaded its configuration and upstreams; \
         see its log"
            .to_owned(),
    ))
}

async fn send_query(args: &QueryArgs) -> Result<(), CommandError> {
    let settings = load_settings(&args.node)?;
    let client = NodeClient::new();
    let addresses = request_addresses(&client, &settings, &args.host).await?;
    let node_address = *addresses.first().ok_or_else(|| {
        CommandError::not_run("the node returned no address; check `mustardmux platform status`")
    })?;
    let time_left = Duration::from_millis(args.deadline_ms);
    let query =
        CallerQuery { node_address, host: &args.host, path: &args.path, id: &args.id, time_left };
    let started = client.timer.now();
    let request = query_request(query).map_err(invalid_request)?;
    let limit = time_left + RESPONSE_GRACE_TIME;
    let response =
        client.send(node_address, request, limit).await.map_err(CommandError::may_have_run)?;
    let took = client.timer.now().since(started);
    println!("{} from {node_address} in {} ms, id {}", response.status, took.as_millis(), args.id);
    if !response.status.is_success() {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        // With these status codes, the request is known not to have run.
        let is_not_run = matches!(response.status.as_u16(), 400 | 404 | 408 | 421 | 429 | 503);
        return Err(match is_not_run {
            true => CommandError::not_run(text),
            false => CommandError::may_have_run(text),
        });
    }
    let coverage = read_coverage(&response.headers);
    if 0 < coverage.contributing_shards {
        let total =
            coverage.contributing_shards + usize::try_from(coverage.missing_shards).unwrap_or(0);
        println!("{} of {total} shards contributed", coverage.contributing_shards);
    }
    println!("{} bytes", response.body.len());
    Ok(())
}

fn load_settings(node: &NodeTarget) -> Result<EdgeSettings, CommandError> {
    let loaded = match &node.settings {
        Some(path) => PlatformSettings::load(path),
        None => PlatformSettings::from_environment(),
    };
    Ok(loaded.map_err(|error| CommandError::Failed(error.to_string()))?.edge)
}

async fn request_addresses(
    client: &NodeClient,
    settings: &EdgeSettings,
    host: &str,
) -> Result<Vec<SocketAddr>, CommandError> {
    let directory = settings.listen.directory;
    let request = address_request(directory, host, &settings.node).map_err(invalid_request)?;
    let response =
        client.send(directory, request, REQUEST_TIMEOUT).await.map_err(CommandError::Failed)?;
    read_addresses(&response.body).map_err(|error| {
        CommandError::not_run(format!(
            "{directory} returned no valid addresses ({}): {error}",
            response.status
        ))
    })
}

fn invalid_request(error: impl Display) -> CommandError {
    CommandError::not_run(format!("invalid request: {error}; check host, path and id"))
}

impl NodeClient {
    fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { timer: TimerService::start(PAUSE_LIMIT), client }
    }

    async fn send(
        &self,
        node_address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<NodeResponse, String> {
        let failed = |error: String| {
            format!("no response from {node_address}: {error}; is the node running?")
        };
        let exchange = async {
            let response = self.client.request(request).await.map_err(|it| it.to_string())?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|it| it.to_string())?.to_bytes();
            Ok(NodeResponse { status: head.status, headers: head.headers, body })
        };
        match self.timer.timeout(limit, exchange).await {
            Ok(result) => result.map_err(failed),
            Err(_) => Err(failed(format!("timed out after {} ms", limit.as_millis()))),
        }
    }
}
