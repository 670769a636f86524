//! Arguments of the program and their dispatch.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use super::{
    audit_command::{self, AuditArgs},
    edge_command::{self, EdgeArgs},
    errors::CommandError,
    logs_command::{self, LogsCommand},
    node_command::{self, NodeArgs},
    platform_command::{self, PlatformCommand},
    query_command::{self, QueryArgs},
    service_command::{self, ServiceCommand},
    settings_command::{self, SettingsCommand},
    status_command::{self, StatusArgs},
};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 usage, 3 not run (safe to repeat), \
                          4 may have run (read back before repeating).";

/// A query tier over many shards.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub(crate) struct ProgramArgs {
    #[command(subcommand)]
    command: ProgramCommand,
}

#[derive(Debug, Subcommand)]
enum ProgramCommand {
    /// Runs a node of the query services, or drains a running one.
    Node(NodeArgs),
    /// Runs an edge node, which serves the platform's own protocol, with the settings file that the
    /// platform provides.
    Edge(EdgeArgs),
    /// Inspects or queries a node that `mustardmux edge` runs.
    #[command(subcommand)]
    Platform(PlatformCommand),
    /// Finds the cause of a failed request in log lines.
    #[command(subcommand)]
    Logs(LogsCommand),
    /// Validates a settings file, or prints an example.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Creates, changes and shows query services.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Shows the status of a node, and of its peers and services as known to it.
    Status(StatusArgs),
    /// Shows the audit trail of configuration changes.
    Audit(AuditArgs),
    /// Sends a query as a caller does.
    Query(QueryArgs),
}

/// Runs the command and returns its exit code.
pub(crate) fn run(args: ProgramArgs) -> ExitCode {
    let result = match args.command {
        ProgramCommand::Node(args) => node_command::run(args),
        ProgramCommand::Edge(args) => edge_command::run(&args),
        ProgramCommand::Platform(command) => block_on(platform_command::run(command)),
        ProgramCommand::Logs(command) => logs_command::run(command),
        ProgramCommand::Settings(command) => settings_command::run(command),
        ProgramCommand::Service(command) => block_on(service_command::run(command)),
        ProgramCommand::Status(args) => block_on(status_command::run(args)),
        ProgramCommand::Audit(args) => block_on(audit_command::run(args)),
        ProgramCommand::Query(args) => block_on(query_command::run(args)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mustardmux: {error}");
            error.exit_code()
        }
    }
}

/// Runs a client command to completion on a new single-threaded runtime.
pub(super) fn block_on<F>(command: F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), CommandError>>,
{
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|error| {
            CommandError::Failed(format!("cannot start the async runtime: {error}"))
        })?;
    runtime.block_on(command)
}
