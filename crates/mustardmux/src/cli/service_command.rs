//! `mustardmux service`.

use std::{fs, path::PathBuf};

use clap::{Args, Subcommand};
use mux_admin::{
    ChangeReply, ChangeServiceRequest, GetServiceRequest, ListServicesRequest,
    RemoveServiceRequest, ServiceEntry, Verdict as WireVerdict, operators_client::OperatorsClient,
};
use mux_config::ServiceDefinition;
use mux_model::{RequestId, Verdict};
use tonic::{Code, transport::Channel};

use super::{
    errors::CommandError,
    operator_client::{self, OperatorArgs},
    output::{self, OutputFormat},
};

/// Creates, changes and shows query services.
#[derive(Debug, Subcommand)]
pub(crate) enum ServiceCommand {
    /// Creates a service from a definition file.
    #[command(
        after_help = "Example: mustardmux service create --operators 127.0.0.1:7003 shop.json"
    )]
    Create(ChangeArgs),
    /// Replaces the definition of a service.
    #[command(
        after_help = "Example: mustardmux service update --operators 127.0.0.1:7003 --dry-run shop.json"
    )]
    Update(ChangeArgs),
    /// Creates the service, or updates it if it exists.
    #[command(
        after_help = "Example: mustardmux service apply --operators 127.0.0.1:7003 shop.json"
    )]
    Apply(ChangeArgs),
    /// Lists all services.
    #[command(after_help = "Example: mustardmux service list --operators 127.0.0.1:7003")]
    List(ListArgs),
    /// Shows one service.
    #[command(after_help = "Example: mustardmux service show --operators 127.0.0.1:7003 shop")]
    Show(ShowArgs),
    /// Prints the definition of one service in the format that `apply` accepts.
    #[command(
        after_help = "Example: mustardmux service export --operators 127.0.0.1:7003 shop > shop.json"
    )]
    Export(ShowArgs),
    /// Removes a service.
    #[command(after_help = "Example: mustardmux service remove --operators 127.0.0.1:7003 shop")]
    Remove(RemoveArgs),
}

/// Arguments common to all changes.
#[derive(Debug, Clone, Args)]
pub(crate) struct ChangeOptions {
    #[command(flatten)]
    target: OperatorArgs,
    /// Name of the operator, for the audit trail.
    #[arg(long, env = "USER")]
    operator: String,
    /// Idempotency key; repeating a change with the same key and content has no further effect.
    #[arg(long)]
    change_id: Option<String>,
    /// Revision of the service on which an update or removal is based, by default the node's
    /// current one; a creation accepts only 0.
    #[arg(long)]
    expected_revision: Option<u64>,
    /// Shows the differences without applying them.
    #[arg(long)]
    dry_run: bool,
}

/// Arguments of create, update and apply.
#[derive(Debug, Args)]
pub(crate) struct ChangeArgs {
    #[command(flatten)]
    options: ChangeOptions,
    /// Definition file (JSON).
    file: PathBuf,
}

/// Arguments of list.
#[derive(Debug, Args)]
pub(crate) struct ListArgs {
    #[command(flatten)]
    target: OperatorArgs,
}

/// Arguments of show and export.
#[derive(Debug, Args)]
pub(crate) struct ShowArgs {
    #[command(flatten)]
    target: OperatorArgs,
    /// Name of the service.
    name: String,
}

/// Arguments of remove.
#[derive(Debug, Args)]
pub(crate) struct RemoveArgs {
    #[command(flatten)]
    options: ChangeOptions,
    /// Name of the service.
    name: String,
}

enum ChangeMode {
    Create,
    Update,
    Apply,
}

/// Runs the command.
pub(crate) async fn run(command: ServiceCommand) -> Result<(), CommandError> {
    match command {
        ServiceCommand::Create(args) => change(args, ChangeMode::Create).await,
        ServiceCommand::Update(args) => change(args, ChangeMode::Update).await,
        ServiceCommand::Apply(args) => change(args, ChangeMode::Apply).await,
        ServiceCommand::List(args) => list(args).await,
        ServiceCommand::Show(args) => show(args).await,
        ServiceCommand::Export(args) => export(args).await,
        ServiceCommand::Remove(args) => remove(args).await,
    }
}

async fn change(args: ChangeArgs, mode: ChangeMode) -> Result<(), CommandError> {
    let definition = read_definition(&args.file)?;
    let options = args.options;
    let mut client = operator_client::connect(&options.target).await?;
    let current = find_service(&mut client, definition.name.as_str()).await?;
    let is_creation = match mode {
        ChangeMode::Create => true,
        ChangeMode::Update => false,
        ChangeMode::Apply => current.is_none(),
    };
    let current_revision = current.map_or(0, |it| it.revision);
    let expected =
        options.expected_revision.unwrap_or(if is_creation { 0 } else { current_revision });
    let text = serde_json::to_string(&definition)
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    let request = ChangeServiceRequest {
        definition_json: text,
        change_id: change_id(&options),
        operator: options.operator.clone(),
        expected_revision: expected,
        dry_run: options.dry_run,
    };
    let reply = if is_creation {
        client.create_service(request).await
    } else {
        client.update_service(request).await
    };
    let reply = reply.map_err(|it| operator_client::change_failure(&it))?;
    finish_change(&reply.into_inner(), options.target.output)
}

async fn remove(args: RemoveArgs) -> Result<(), CommandError> {
    let options = args.options;
    let mut client = operator_client::connect(&options.target).await?;
    let current = find_service(&mut client, &args.name).await?;
    let current_revision = current.map_or(0, |it| it.revision);
    let request = RemoveServiceRequest {
        name: args.name,
        change_id: change_id(&options),
        operator: options.operator.clone(),
        expected_revision: options.expected_revision.unwrap_or(current_revision),
        dry_run: options.dry_run,
    };
    let reply =
        client.remove_service(request).await.map_err(|it| operator_client::change_failure(&it))?;
    finish_change(&reply.into_inner(), options.target.output)
}

async fn list(args: ListArgs) -> Result<(), CommandError> {
    let mut client = operator_client::connect(&args.target).await?;
    let reply = client
        .list_services(ListServicesRequest {})
        .await
        .map_err(|it| operator_client::read_failure(&it))?
        .into_inner();
    if args.target.output == OutputFormat::Json {
        return output::print_json(&reply);
    }
    println!("configuration revision {}", reply.revision);
    let rows: Result<Vec<_>, _> = reply.services.iter().map(service_row).collect();
    output::print_table(["SERVICE", "REVISION", "UPSTREAMS", "IDEMPOTENT", "TARGET MS"], &rows?);
    Ok(())
}

async fn show(args: ShowArgs) -> Result<(), CommandError> {
    let mut client = operator_client::connect(&args.target).await?;
    let entry = find_existing_service(&mut client, &args.name).await?;
    if args.target.output == OutputFormat::Json {
        return output::print_json(&entry);
    }
    println!("revision {}", entry.revision);
    output::print_json(&parse_definition(&entry.definition_json)?)
}

async fn export(args: ShowArgs) -> Result<(), CommandError> {
    let mut client = operator_client::connect(&args.target).await?;
    let entry = find_existing_service(&mut client, &args.name).await?;
    output::print_json(&parse_definition(&entry.definition_json)?)
}

async fn find_existing_service(
    client: &mut OperatorsClient<Channel>,
    name: &str,
) -> Result<ServiceEntry, CommandError> {
    let entry = find_service(client, name).await?;
    entry.ok_or_else(|| {
        CommandError::not_run(format!(
            "there is no service {name}; `mustardmux service list` shows all services"
        ))
    })
}

async fn find_service(
    client: &mut OperatorsClient<Channel>,
    name: &str,
) -> Result<Option<ServiceEntry>, CommandError> {
    match client.get_service(GetServiceRequest { name: name.to_owned() }).await {
        Ok(reply) => Ok(Some(reply.into_inner())),
        Err(status) if status.code() == Code::NotFound => Ok(None),
        Err(status) => Err(operator_client::read_failure(&status)),
    }
}

fn finish_change(reply: &ChangeReply, format: OutputFormat) -> Result<(), CommandError> {
    match format {
        OutputFormat::Json => output::print_json(reply)?,
        OutputFormat::Table => print_change(reply),
    }
    let verdict = match WireVerdict::try_from(reply.verdict) {
        Ok(WireVerdict::Done) => return Ok(()),
        Ok(WireVerdict::NotRun) if reply.code == "dry_run" => return Ok(()),
        Ok(WireVerdict::NotRun) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    };
    Err(CommandError::RequestFailed {
        verdict,
        message: format!("{}: {}", reply.code, reply.message),
    })
}

fn print_change(reply: &ChangeReply) {
    let rows: Vec<_> = reply
        .differences
        .iter()
        .map(|it| [it.field.clone(), it.before.clone(), it.after.clone()])
        .collect();
    if !rows.is_empty() {
        output::print_table(["FIELD", "BEFORE", "AFTER"], &rows);
    }
    let verdict = WireVerdict::try_from(reply.verdict).unwrap_or(WireVerdict::Unspecified);
    println!("{} (verdict {}, revision {})", reply.code, verdict.as_text(), reply.revision);
    if let Some(in_force) = &reply.in_force {
        println!("in force at {} of {} nodes", in_force.nodes_in_force, in_force.nodes_live);
    }
}

fn service_row(entry: &ServiceEntry) -> Result<[String; 5], CommandError> {
    let definition = parse_definition(&entry.definition_json)?;
    Ok([
        definition.name.to_string(),
        entry.revision.to_string(),
        definition.upstreams.len().to_string(),
        definition.idempotent.to_string(),
        definition.latency_target_ms.to_string(),
    ])
}

fn read_definition(path: &PathBuf) -> Result<ServiceDefinition, CommandError> {
    let text = fs::read_to_string(path).map_err(|error| {
        CommandError::Failed(format!("cannot read {}: {error}", path.display()))
    })?;
    parse_definition(&text)
}

fn parse_definition(text: &str) -> Result<ServiceDefinition, CommandError> {
    serde_json::from_str(text)
        .map_err(|error| CommandError::Failed(format!("invalid service definition: {error}")))
}

fn change_id(options: &ChangeOptions) -> String {
    let given = options.change_id.clone();
    given.unwrap_or_else(|| RequestId::random().to_string())
}
