//! Test double of upstreams that serve shards.

mod behaviour_sampler;
mod call_handler;
mod leaf_server;
mod leaf_settings;
mod leaf_state;
mod reply_body;
mod silenced_stream;

use std::{fs, io, path::Path, time::Duration};

use futures::future::try_join_all;
use mux_timer::TimerService;
use tokio::net::TcpListener;

use crate::bound_addresses::BoundAddresses;

pub(crate) use leaf_settings::{LatencySettings, LeafControl, LeafFile, LeafSettings};

use leaf_server::LeafServer;
use leaf_state::LeafState;

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Serves all configured upstreams until a listener fails.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let file: LeafFile = serde_json::from_slice(&fs::read(settings)?)?;
    let timer = TimerService::start(PAUSE_LIMIT);
    try_join_all(file.leaves.into_iter().map(|it| serve(it, timer.clone()))).await.map(drop)
}

async fn serve(settings: LeafSettings, timer: TimerService) -> io::Result<()> {
    let calls = TcpListener::bind(settings.listen).await?;
    let control = match settings.control_listen {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    };
    let control_address = control.as_ref().map(TcpListener::local_addr).transpose()?;
    BoundAddresses { listen: calls.local_addr()?, control: control_address }.print()?;
    let server = LeafServer::new(LeafState::new(settings, timer));
    let calls = server.clone().serve_calls(calls);
    match control {
        Some(control) => tokio::try_join!(calls, server.serve_control(control)).map(drop),
        None => calls.await,
    }
}
