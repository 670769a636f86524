//! Connection to the operator API of a node.

use std::{net::SocketAddr, time::Duration};

use clap::Args;
use mux_admin::operators_client::OperatorsClient;
use tonic::{
    Code, Status,
    transport::{Channel, Endpoint},
};

use super::{errors::CommandError, output::OutputFormat};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Node to which operator requests are sent, and the output format of the results.
#[derive(Debug, Clone, Args)]
pub(crate) struct OperatorArgs {
    /// Operator address of any node.
    #[arg(long, env = "MUSTARDMUX_OPERATORS", value_name = "IP:PORT")]
    pub(crate) operators: SocketAddr,
    /// Output format.
    #[arg(long, value_enum, default_value = "table")]
    pub(crate) output: OutputFormat,
}

/// Connects to the node named in the arguments.
pub(crate) async fn connect(args: &OperatorArgs) -> Result<OperatorsClient<Channel>, CommandError> {
    let address = args.operators;
    let endpoint = Endpoint::try_from(format!("http://{address}"))
        .map_err(|error| CommandError::Failed(format!("invalid address {address}: {error}")))?;
    let channel = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .connect()
        .await
        .map_err(|error| {
        CommandError::not_run(format!(
            "cannot connect to the node at {address}: {error}; try another node's operator address"
        ))
    })?;
    Ok(OperatorsClient::new(channel))
}

/// Converts the failure of a read-only call.
pub(crate) fn read_failure(status: &Status) -> CommandError {
    CommandError::not_run(status.message())
}

/// Converts the failure of a call that changes state.
pub(crate) fn change_failure(status: &Status) -> CommandError {
    match status.code() {
        Code::InvalidArgument | Code::Unimplemented | Code::NotFound => {
            CommandError::not_run(status.message())
        }
        _ => CommandError::may_have_run(format!(
            "{}; repeat the command with the same --change-id to find out the outcome",
            status.message()
        )),
    }
}
