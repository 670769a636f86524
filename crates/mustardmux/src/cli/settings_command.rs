//! `mustardmux settings`.

use std::path::PathBuf;

use clap::Subcommand;
use mux_adapter::PlatformSettings;
use mux_node::conf::NodeSettings;

use super::{errors::CommandError, output};

/// Validates a settings file, or prints an example.
#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Validates a settings file without starting a node.
    #[command(after_help = "Example: mustardmux settings check node.json")]
    Check {
        /// Settings file (JSON).
        file: PathBuf,
        /// Validates the file as platform settings, which `mustardmux edge` reads.
        #[arg(long)]
        platform: bool,
    },
    /// Prints example settings that contain all keys.
    #[command(after_help = "Example: mustardmux settings example > node.json")]
    Example {
        /// Prints an example of platform settings, which `mustardmux edge` reads.
        #[arg(long)]
        platform: bool,
    },
}

/// Runs the command.
pub(crate) fn run(command: SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Check { file, platform: true } => {
            PlatformSettings::load(&file)
                .map_err(|error| CommandError::Failed(error.to_string()))?;
            println!("{} is valid", file.display());
            Ok(())
        }
        SettingsCommand::Check { file, platform: false } => {
            NodeSettings::load(&file).map_err(|error| CommandError::Failed(error.to_string()))?;
            println!("{} is valid", file.display());
            Ok(())
        }
        SettingsCommand::Example { platform: true } => {
            print!("{}", PlatformSettings::EXAMPLE);
            Ok(())
        }
        SettingsCommand::Example { platform: false } => {
            output::print_json(&NodeSettings::example())
        }
    }
}
