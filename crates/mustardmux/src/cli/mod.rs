//! Subcommands of the command line.

mod audit_command;
mod drain_command;
mod edge_command;
mod errors;
mod logs_command;
mod node_command;
mod operator_client;
mod output;
mod platform_command;
mod program_args;
mod query_command;
mod service_command;
mod settings_command;
mod status_command;

pub(crate) use program_args::{ProgramArgs, run};
