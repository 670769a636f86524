//! `mustardmux platform`.

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

/// Time that a node has for an answer about itself.
const QUESTION_LIMIT: Duration = Duration::from_secs(3);
/// Time past its deadline for which the answer to a query is waited for.
const PATIENCE: Duration = Duration::from_secs(1);
/// Gap in the command's own time that counts as a pause; nothing depends on it here.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Host for which addresses are asked when any will do.
const ANY_HOST: &str = "any";

/// Asks a node on the users' platform.
#[derive(Debug, Subcommand)]
pub(crate) enum PlatformCommand {
    /// Shows whether a node is ready and which addresses it names to callers in its zone.
    #[command(after_help = "Example: mustardmux platform status --settings front-a-1.json")]
    Status(NodeChoice),
    /// Sends a query as a caller would: asks the node for an address, then queries there.
    #[command(
        after_help = "Example: mustardmux platform query --settings front-a-1.json shop.example /all/1"
    )]
    Query(QueryArgs),
}

/// Which node is asked.
#[derive(Debug, Args)]
pub(crate) struct NodeChoice {
    /// Settings file of the node, in place of the one that the environment names.
    #[arg(long)]
    settings: Option<PathBuf>,
}

/// What is asked for.
#[derive(Debug, Args)]
pub(crate) struct QueryArgs {
    #[command(flatten)]
    node: NodeChoice,
    /// Time to wait for the answer, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// Identity of the request, by which its log lines are found.
    #[arg(long, default_value = "0123456789abcdef")]
    id: String,
    /// Host of the route.
    host: String,
    /// Path, which begins with the prefix of the route.
    path: String,
}

struct NodeClient {
    timer: TimerService,
    client: Client<HttpConnector, Full<Bytes>>,
}

struct NodeAnswer {
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

async fn show_status(node: &NodeChoice) -> Result<(), CommandError> {
    let settings = load(node)?;
    let client = NodeClient::new();
    let listen = &settings.listen;
    let question = readiness_request(listen.readiness).map_err(bad_question)?;
    let readiness = client.ask(listen.readiness, question, QUESTION_LIMIT).await?;
    let is_ready = readiness.status.is_success();
    let record = &settings.node;
    let state = if is_ready { "ready" } else { "not ready" };
    println!("node {} in {}: {state}", record.node, record.availability_zone);
    let addresses = ask_addresses(&client, &settings, ANY_HOST).await?;
    println!("callers in {} are sent to:", record.availability_zone);
    for address in &addresses {
        println!("  {address}");
    }
    if is_ready {
        return Ok(());
    }
    Err(CommandError::Failed(
        "the node is not ready: it stops, or has not read configuration and upstreams; see its log"
            .to_owned(),
    ))
}

async fn send_query(args: &QueryArgs) -> Result<(), CommandError> {
    let settings = load(&args.node)?;
    let client = NodeClient::new();
    let addresses = ask_addresses(&client, &settings, &args.host).await?;
    let node_address = *addresses.first().ok_or_else(|| {
        CommandError::not_run("the node names no address; look at `mustardmux platform status`")
    })?;
    let time_left = Duration::from_millis(args.deadline_ms);
    let query =
        CallerQuery { node_address, host: &args.host, path: &args.path, id: &args.id, time_left };
    let started = client.timer.now();
    let question = query_request(query).map_err(bad_question)?;
    let answer = client.ask(node_address, question, time_left + PATIENCE).await?;
    let took = client.timer.now().since(started);
    println!("{} from {node_address} in {} ms, id {}", answer.status, took.as_millis(), args.id);
    if !answer.status.is_success() {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        // These promise that nothing ran.
        let is_unrun = matches!(answer.status.as_u16(), 400 | 404 | 408 | 421 | 429 | 503);
        return Err(match is_unrun {
            true => CommandError::not_run(text),
            false => CommandError::may_have_run(text),
        });
    }
    let coverage = read_coverage(&answer.headers);
    if 0 < coverage.contributing_shards {
        let total =
            coverage.contributing_shards + usize::try_from(coverage.missing_shards).unwrap_or(0);
        println!("{} of {total} shards contributed", coverage.contributing_shards);
    }
    println!("{} bytes", answer.body.len());
    Ok(())
}

fn load(node: &NodeChoice) -> Result<EdgeSettings, CommandError> {
    let loaded = match &node.settings {
        Some(path) => PlatformSettings::load(path),
        None => PlatformSettings::from_environment(),
    };
    Ok(loaded.map_err(|error| CommandError::Failed(error.to_string()))?.edge)
}

async fn ask_addresses(
    client: &NodeClient,
    settings: &EdgeSettings,
    host: &str,
) -> Result<Vec<SocketAddr>, CommandError> {
    let directory = settings.listen.directory;
    let question = address_request(directory, host, &settings.node).map_err(bad_question)?;
    let answer = client.ask(directory, question, QUESTION_LIMIT).await?;
    read_addresses(&answer.body).map_err(|error| {
        CommandError::not_run(format!("{directory} gave no addresses ({}): {error}", answer.status))
    })
}

fn bad_question(error: impl Display) -> CommandError {
    CommandError::not_run(format!("this cannot be sent: {error}; check host, path and id"))
}

impl NodeClient {
    fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { timer: TimerService::start(PAUSE_LIMIT), client }
    }

    async fn ask(
        &self,
        node_address: SocketAddr,
        question: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<NodeAnswer, CommandError> {
        let failed = |error: String| {
            CommandError::may_have_run(format!(
                "no answer from {node_address}: {error}; is the node running?"
            ))
        };
        let exchange = async {
            let response = self.client.request(question).await.map_err(|it| it.to_string())?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|it| it.to_string())?.to_bytes();
            Ok(NodeAnswer { status: head.status, headers: head.headers, body })
        };
        match self.timer.timeout(limit, exchange).await {
            Ok(result) => result.map_err(failed),
            Err(_) => Err(failed(format!("nothing within {} ms", limit.as_millis()))),
        }
    }
}
