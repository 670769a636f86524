//! `mustardmux node drain`.

use clap::Args;
use mux_admin::DrainNodeRequest;

use super::{
    errors::CommandError,
    operator_client::{self, OperatorArgs},
    output::{self, OutputForm},
};

/// Begins the planned stop of a node.
#[derive(Debug, Args)]
#[command(after_help = "Example: mustardmux node drain --operators 127.0.0.1:7003 --operator ada")]
pub(crate) struct DrainArgs {
    #[command(flatten)]
    target: OperatorArgs,
    /// Who asks, for the logs.
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
        OutputForm::Json => output::print_json(&reply),
        OutputForm::Table => {
            println!("The node is draining; it exits in {} ms or later.", reply.exits_after_ms);
            Ok(())
        }
    }
}
