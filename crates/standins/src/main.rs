//! Test doubles of the systems around mustardmux, for tests, demos and benchmarks; not shipped.

mod bound_addresses;
mod experiment;
mod fleet;
mod kv;
mod leaf;
mod load;
mod relay;

use std::{io, path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};

/// Test doubles of the systems around mustardmux, a load generator and experiments.
#[derive(Debug, Parser)]
struct CliArgs {
    #[command(subcommand)]
    command: CliCommand,
}

#[derive(Debug, Subcommand)]
enum CliCommand {
    /// Runs an in-memory key-value service with the VM list.
    Kv {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs one or more upstreams that serve shards.
    Leaf {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs TCP and UDP relays that can reset, stall or delay their links.
    Relay {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Compares hedging and concurrency policies on dedicated nodes under faults and overload.
    Experiment {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Measures gossip, key-value service load and resource use by number of nodes.
    Fleet {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Generates open-loop load and reports latency, coverage and verdicts.
    Load {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = CliArgs::parse();
    let result: io::Result<()> = match args.command {
        CliCommand::Experiment { settings } => experiment::run(&settings).await,
        CliCommand::Fleet { settings } => fleet::run(&settings).await,
        CliCommand::Kv { settings } => kv::run(&settings).await,
        CliCommand::Leaf { settings } => leaf::run(&settings).await,
        CliCommand::Relay { settings } => relay::run(&settings).await,
        CliCommand::Load { settings } => load::run(&settings).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}
