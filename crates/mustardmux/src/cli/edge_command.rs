//! `mustardmux edge`.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::Args;
use mux_adapter::{KvClient, KvSettings, PlatformSettings, PlatformStore, PlatformWire};

use super::errors::CommandError;

/// Longest time that a call to the store may take; a slow store takes a quarter of a second.
const STORE_CALL_LIMIT: Duration = Duration::from_millis(800);

/// Runs a node on the users' platform.
#[derive(Debug, Args)]
#[command(after_help = "Example: mustardmux edge --metrics-port 9464\n\n\
                        The settings file is the one that MUSTARDMUX_NODE_FILE names.")]
pub(crate) struct EdgeArgs {
    /// Settings file, in place of the one that the environment names.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Port for metrics, on the address for callers; not served without it.
    #[arg(long)]
    metrics_port: Option<u16>,
}

/// Runs the command.
pub(crate) fn run(args: &EdgeArgs) -> Result<(), CommandError> {
    let loaded = match &args.settings {
        Some(path) => PlatformSettings::load(path),
        None => PlatformSettings::from_environment(),
    };
    let PlatformSettings { mut edge, store } =
        loaded.map_err(|error| CommandError::Failed(error.to_string()))?;
    let address = edge.listen.callers.ip();
    edge.listen.metrics = args.metrics_port.map(|it| SocketAddr::new(address, it));
    mux_edge::run::<PlatformWire, _>(edge, |timer| {
        let settings = KvSettings { address: store, call_timeout: STORE_CALL_LIMIT };
        PlatformStore::new(KvClient::new(timer.clone(), settings))
    })
    .map_err(|error| CommandError::Failed(error.to_string()))
}
