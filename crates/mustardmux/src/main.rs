//! The mustardmux program: runs nodes of the query tier and provides the operator commands.

mod cli;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::run(cli::ProgramArgs::parse())
}
