//! `mustardmux edge`: runs an edge node, which serves the platform's own protocol.

use std::{net::SocketAddr, path::PathBuf, sync::OnceLock, time::Duration};

use clap::Args;
use mux_adapter::{KvClient, KvSettings, PlatformSettings, PlatformStore, PlatformWire};
use mux_timer::TimerService;

use super::errors::CommandError;

/// Timeout of a call to the store; well above the 250 ms that a call to a slow store takes.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs an edge node, which serves the platform's own protocol, with the settings file that the
/// platform provides.
#[derive(Debug, Args)]
#[command(after_help = "Example: mustardmux edge --metrics-port 9464\n\n\
                        MUSTARDMUX_NODE_FILE is the path of the settings file.")]
pub(crate) struct EdgeArgs {
    /// Settings file; overrides the one in MUSTARDMUX_NODE_FILE.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Port on which metrics are served, at the IP address of the listener for callers; without
    /// it, no metrics are served.
    #[arg(long)]
    metrics_port: Option<u16>,
}

/// Runs the command.
pub(crate) fn run(args: &EdgeArgs) -> Result<(), CommandError> {
    let PlatformSettings { edge, store } = load_settings(args).map_err(CommandError::Failed)?;
    // Set when the store's client has been created.
    let client: OnceLock<KvClient> = OnceLock::new();
    let create_store = |timer: &TimerService| {
        let settings = KvSettings { address: store, call_timeout: STORE_CALL_TIMEOUT };
        let client = client.get_or_init(|| KvClient::new(timer.clone(), settings));
        PlatformStore::new(client.clone())
    };
    let reload = || {
        let changed = load_settings(args)?;
        if let Some(client) = client.get() {
            client.set_address(changed.store);
        }
        Ok(changed.edge)
    };
    mux_edge::run::<PlatformWire, _>(edge, create_store, reload)
        .map_err(|error| CommandError::Failed(error.to_string()))
}

/// Reads the settings file, and adds the settings of the command line.
fn load_settings(args: &EdgeArgs) -> Result<PlatformSettings, String> {
    let loaded = match &args.settings {
        Some(path) => PlatformSettings::load(path),
        None => PlatformSettings::from_environment(),
    };
    let mut settings = loaded.map_err(|error| error.to_string())?;
    let address = settings.edge.listen.callers.ip();
    settings.edge.listen.metrics = args.metrics_port.map(|it| SocketAddr::new(address, it));
    Ok(settings)
}
