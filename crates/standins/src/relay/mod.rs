//! TCP and UDP relays with fault injection.

mod link_control;
mod relay_settings;
mod tcp_relay;
mod udp_relay;

use std::{fs, io, path::Path, sync::Arc, time::Duration};

use futures::future::try_join_all;
use mux_timer::TimerService;
use tokio::net::{TcpListener, UdpSocket};

use crate::bound_addresses::BoundAddresses;

pub(crate) use relay_settings::{RelayControl, RelayFile, RelayMode, RelayProtocol, RelaySettings};

use link_control::LinkControl;

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Runs all configured relays until one fails.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let file: RelayFile = serde_json::from_slice(&fs::read(settings)?)?;
    let timer = TimerService::start(PAUSE_LIMIT);
    try_join_all(file.relays.into_iter().map(|it| serve(it, timer.clone()))).await.map(drop)
}

async fn serve(settings: RelaySettings, timer: TimerService) -> io::Result<()> {
    let link_control = LinkControl::new();
    let control_listener = TcpListener::bind(settings.control_listen).await?;
    let control = Some(control_listener.local_addr()?);
    let control_server = Arc::clone(&link_control).serve(control_listener);
    match settings.protocol {
        RelayProtocol::Tcp => {
            let listener = TcpListener::bind(settings.listen).await?;
            BoundAddresses { listen: listener.local_addr()?, control }.print()?;
            let relay = tcp_relay::run(listener, settings.target, link_control, timer);
            tokio::try_join!(control_server, relay).map(drop)
        }
        RelayProtocol::Udp => {
            let socket = UdpSocket::bind(settings.listen).await?;
            BoundAddresses { listen: socket.local_addr()?, control }.print()?;
            let relay = udp_relay::run(socket, settings.target, link_control, timer);
            tokio::try_join!(control_server, relay).map(drop)
        }
    }
}
