//! The mustardmux program: a node of the query tier and the operators' tools.

mod cli;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::run(cli::ProgramArgs::parse())
}
