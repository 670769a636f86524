//! Arguments of the program and their dispatch.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use super::{
    audit_command::{self, AuditArgs},
    edge_command::{self, EdgeArgs},
    errors::CommandError,
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
    /// Runs a node, or begins the planned stop of a running one.
    Node(NodeArgs),
    /// Runs a node on the users' platform, with the settings that the platform hands over.
    Edge(EdgeArgs),
    /// Asks a node on the users' platform.
    #[command(subcommand)]
    Platform(PlatformCommand),
    /// Checks a settings file, or prints an example.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Creates, changes and shows query services.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Shows what a node knows about itself, its peers and its services.
    Status(StatusArgs),
    /// Reads the audit trail of changes.
    Audit(AuditArgs),
    /// Sends a query as a caller would.
    Query(QueryArgs),
}

/// Runs the command and returns the exit code that its verdict stands for.
pub(crate) fn run(args: ProgramArgs) -> ExitCode {
    let result = match args.command {
        ProgramCommand::Node(args) => node_command::run(args),
        ProgramCommand::Edge(args) => edge_command::run(&args),
        ProgramCommand::Platform(command) => wait_for(platform_command::run(command)),
        ProgramCommand::Settings(command) => settings_command::run(command),
        ProgramCommand::Service(command) => wait_for(service_command::run(command)),
        ProgramCommand::Status(args) => wait_for(status_command::run(args)),
        ProgramCommand::Audit(args) => wait_for(audit_command::run(args)),
        ProgramCommand::Query(args) => wait_for(query_command::run(args)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mustardmux: {error}");
            error.exit_code()
        }
    }
}

/// Runs a client command to its end on a runtime of its own.
pub(super) fn wait_for<F>(command: F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), CommandError>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::Failed(format!("cannot start a runtime: {error}")))?;
    runtime.block_on(command)
}
