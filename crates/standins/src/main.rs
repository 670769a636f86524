//! Stand-ins for the systems around mustardmux, for tests, demos and measurements; not shipped.

mod experiment;
mod fleet;
mod kv;
mod leaf;
mod load;
mod relay;

use std::{io, path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};

/// Stand-ins for the systems around mustardmux.
#[derive(Debug, Parser)]
struct StandinArgs {
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, Subcommand)]
enum StandinCommand {
    /// Runs the key-value service and the VM list.
    Kv {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs one or more upstreams that hold shards.
    Leaf {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs relays that can cut, silence or delay TCP and UDP links.
    Relay {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Compares routing policies on a node of its own under faults and overload.
    Experiment {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Measures what nodes cost each other and the key-value service, by number of nodes.
    Fleet {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Offers load and reports latency, coverage and verdicts.
    Load {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = StandinArgs::parse();
    let result: io::Result<()> = match args.command {
        StandinCommand::Experiment { settings } => experiment::run(&settings).await,
        StandinCommand::Fleet { settings } => fleet::run(&settings).await,
        StandinCommand::Kv { settings } => kv::run(&settings).await,
        StandinCommand::Leaf { settings } => leaf::run(&settings).await,
        StandinCommand::Relay { settings } => relay::run(&settings).await,
        StandinCommand::Load { settings } => load::run(&settings).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}
