//! `mustardmux settings`.

use std::path::PathBuf;

use clap::Subcommand;
use mux_node::conf::NodeSettings;

use super::{errors::CommandError, output};

/// Checks a settings file, or prints an example.
#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Checks a settings file without starting anything.
    #[command(after_help = "Example: mustardmux settings check node.json")]
    Check {
        /// Settings file (JSON).
        file: PathBuf,
    },
    /// Prints settings with every key and its default.
    #[command(after_help = "Example: mustardmux settings example > node.json")]
    Example,
}

/// Runs the command.
pub(crate) fn run(command: SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Check { file } => {
            NodeSettings::load(&file).map_err(|error| CommandError::Failed(error.to_string()))?;
            println!("{} is valid", file.display());
            Ok(())
        }
        SettingsCommand::Example => output::print_json(&NodeSettings::example()),
    }
}
