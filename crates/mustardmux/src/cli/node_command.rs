//! `mustardmux node`.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use mux_node::conf::NodeSettings;

use super::{
    drain_command::{self, DrainArgs},
    errors::CommandError,
    program_args::wait_for,
};

/// Runs a node, or begins the planned stop of a running one.
#[derive(Debug, Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  mustardmux node --settings node.json\n  \
                  mustardmux node drain --operators 127.0.0.1:7003 --operator ada"
)]
pub(crate) struct NodeArgs {
    /// Settings file (JSON); `mustardmux settings example` shows every key.
    #[arg(long, required = true)]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<NodeCommand>,
}

#[derive(Debug, Subcommand)]
enum NodeCommand {
    /// Begins the planned stop of a node; it cuts no query in flight.
    Drain(DrainArgs),
}

/// Runs the command.
pub(crate) fn run(args: NodeArgs) -> Result<(), CommandError> {
    if let Some(NodeCommand::Drain(args)) = args.command {
        return wait_for(drain_command::run(args));
    }
    let Some(path) = args.settings else {
        return Err(CommandError::Failed("give the settings file with --settings".to_owned()));
    };
    let settings =
        NodeSettings::load(&path).map_err(|error| CommandError::Failed(error.to_string()))?;
    mux_node::run(settings).map_err(|error| CommandError::Failed(error.to_string()))
}
