//! `mustardmux node drain`.

use clap::Args;
use mux_admin::DrainNodeRequest;

use super::{
    errors::CommandError,
    operator_client::{self, OperatorArgs},
    output::{self, OutputFormat},
};

/// Starts draining a node for a planned stop.
#[derive(Debug, Args)]
#[command(after_help = "Example: mustardmux node drain --operators 127.0.0.1:7003 --operator ada")]
pub(crate) struct DrainArgs {
    #[command(flatten)]
    target: OperatorArgs,
    /// Name of the operator, for the node's log.
    #[arg(long, env = "USER")]
    operator: String,
}

/// Runs the command.
pub(crate) async fn run(args: DrainArgs) -> Result<(), CommandError> {
    let mut client = operator_client::connect(&args.target).await?;
    let reply = client
        .drain_node(DrainNodeRequest { operator: args.operator })
        .await
        .map_err(|it| operator_client::change_failure(&it))?
        .into_inner();
    match args.target.output {
        OutputFormat::Json => output::print_json(&reply),
        OutputFormat::Table => {
            println!(
                "The node is draining; it exits after {} ms at the earliest.",
                reply.exits_after_ms
            );
            Ok(())
        }
    }
}
