//! `mustardmux settings`.

use std::path::PathBuf;

use clap::Subcommand;
use mux_adapter::PlatformSettings;
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
        /// Takes the file for one that the users' platform hands to `mustardmux edge`.
        #[arg(long)]
        platform: bool,
    },
    /// Prints settings with every key and its default.
    #[command(after_help = "Example: mustardmux settings example > node.json")]
    Example {
        /// Prints a file as the users' platform hands it to `mustardmux edge`.
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
