//! The connection to a node's operators' interface.

use std::{net::SocketAddr, time::Duration};

use clap::Args;
use mux_admin::operators_client::OperatorsClient;
use tonic::{
    Code, Status,
    transport::{Channel, Endpoint},
};

use super::{errors::CommandError, output::OutputForm};

const CONNECT_LIMIT: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Where to send operators' calls, and how to print their results.
#[derive(Debug, Clone, Args)]
pub(crate) struct OperatorArgs {
    /// Operator address of any node.
    #[arg(long, env = "MUSTARDMUX_OPERATORS", value_name = "IP:PORT")]
    pub(crate) operators: SocketAddr,
    /// Form of the output.
    #[arg(long, value_enum, default_value = "table")]
    pub(crate) output: OutputForm,
}

/// Connects to the node named in the arguments.
pub(crate) async fn connect(args: &OperatorArgs) -> Result<OperatorsClient<Channel>, CommandError> {
    let address = args.operators;
    let endpoint = Endpoint::try_from(format!("http://{address}"))
        .map_err(|error| CommandError::Failed(format!("bad address {address}: {error}")))?;
    let channel = endpoint
        .connect_timeout(CONNECT_LIMIT)
        .timeout(CALL_LIMIT)
        .connect()
        .await
        .map_err(|error| {
            CommandError::not_run(format!(
                "cannot reach the node at {address}: {error}; try another node's operator address"
            ))
        })?;
    Ok(OperatorsClient::new(channel))
}

/// Turns the failure of a call that only reads.
pub(crate) fn read_failure(status: &Status) -> CommandError {
    CommandError::not_run(status.message())
}

/// Turns the failure of a call that changes something.
pub(crate) fn change_failure(status: &Status) -> CommandError {
    match status.code() {
        Code::InvalidArgument | Code::Unimplemented | Code::NotFound => {
            CommandError::not_run(status.message())
        }
        _ => CommandError::may_have_run(format!(
            "{}; repeat the command with the same --change-id to learn the outcome",
            status.message()
        )),
    }
}
