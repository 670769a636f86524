//! `mustardmux node`.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use mux_node::conf::NodeSettings;

use super::{
    drain_command::{self, DrainArgs},
    errors::CommandError,
    program_args::block_on,
};

/// Runs a node of the query services, or drains a running one.
#[derive(Debug, Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  mustardmux node --settings node.json\n  \
                  mustardmux node drain --operators 127.0.0.1:7003 --operator ada"
)]
pub(crate) struct NodeArgs {
    /// Settings file (JSON); `mustardmux settings example` prints all keys.
    #[arg(long, required = true)]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<NodeCommand>,
}

#[derive(Debug, Subcommand)]
enum NodeCommand {
    /// Starts draining a node for a planned stop, which waits for queries in flight up to the
    /// node's drain limit.
    Drain(DrainArgs),
}

/// Runs the command.
pub(crate) fn run(args: NodeArgs) -> Result<(), CommandError> {
    if let Some(NodeCommand::Drain(args)) = args.command {
        return block_on(drain_command::run(args));
    }
    let Some(path) = args.settings else {
        return Err(CommandError::Failed(
            "no settings file is given; pass one with --settings".to_owned(),
        ));
    };
    let settings =
        NodeSettings::load(&path).map_err(|error| CommandError::Failed(error.to_string()))?;
    mux_node::run(settings).map_err(|error| CommandError::Failed(error.to_string()))
}
