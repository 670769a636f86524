//! Calls to other nodes over kept connections.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use mux_config::ConfigUpdate;
use mux_model::{FastMap, RevisionNumber};
use mux_timer::TimerService;
use tarpc::{
    client::{Config, RpcError},
    context::{self, Context},
    serde_transport::tcp,
    tokio_serde::formats::Bincode,
};

use super::{peer_protocol::PeerProtocolClient, peer_server::MESSAGE_BYTES_LIMIT};
use crate::dispatch::{QueryCommand, QueryOutcome};

const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
const CONTROL_CALL_LIMIT: Duration = Duration::from_millis(2_000);
const LIVENESS_LIMIT: Duration = Duration::from_millis(500);
const REPLY_GRACE: Duration = Duration::from_millis(50);

/// Why a call to another node gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The node could not be reached; nothing was sent.
    NotSent,
    /// The call was sent and no reply came.
    Lost,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotSent => "the peer could not be reached",
            Self::Lost => "the peer did not reply",
        };
        f.write_str(text)
    }
}

/// Connections to other nodes, one each, opened when first needed.
#[derive(Debug)]
pub(crate) struct PeerClient {
    timer: TimerService,
    connections: Mutex<FastMap<SocketAddr, PeerProtocolClient>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub(crate) fn new(timer: TimerService) -> Self {
        Self { timer, connections: Mutex::default() }
    }

    /// Runs a query at another node, within `limit`.
    ///
    /// The connection is proven alive first, so that a call that is reported as lost was most
    /// likely received.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] only if the command was not written to the connection.
    pub(crate) async fn run_query(
        &self,
        peer: SocketAddr,
        command: QueryCommand,
        limit: Duration,
    ) -> Result<QueryOutcome, PeerError> {
        let client = self.live_connection(peer).await?;
        let result = client.run_query(within(limit + REPLY_GRACE), command).await;
        self.settle(peer, result)
    }

    /// Reads what changed in the configuration since `since`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no reply came.
    pub(crate) async fn read_config(
        &self,
        peer: SocketAddr,
        since: RevisionNumber,
    ) -> Result<ConfigUpdate, PeerError> {
        let client = self.connection(peer).await?;
        let result = client.read_config(within(CONTROL_CALL_LIMIT), since).await;
        self.settle(peer, result)
    }

    /// Closes the connections to nodes that are not in `peers`.
    pub(crate) fn retain(&self, peers: &[SocketAddr]) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|it, _| peers.contains(it));
    }

    async fn live_connection(&self, peer: SocketAddr) -> Result<PeerProtocolClient, PeerError> {
        if let Some(client) = self.kept(peer) {
            if client.read_revision(within(LIVENESS_LIMIT)).await.is_ok() {
                return Ok(client);
            }
            self.forget(peer);
        }
        self.connection(peer).await
    }

    async fn connection(&self, peer: SocketAddr) -> Result<PeerProtocolClient, PeerError> {
        if let Some(client) = self.kept(peer) {
            return Ok(client);
        }
        let mut connect = tcp::connect(peer, Bincode::default);
        connect.config_mut().max_frame_length(MESSAGE_BYTES_LIMIT);
        let transport = self.timer.timeout(CONNECT_LIMIT, connect).await;
        let Ok(Ok(transport)) = transport else {
            return Err(PeerError::NotSent);
        };
        let client = PeerProtocolClient::new(Config::default(), transport).spawn();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.insert(peer, client.clone());
        Ok(client)
    }

    fn kept(&self, peer: SocketAddr) -> Option<PeerProtocolClient> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.get(&peer).cloned()
    }

    fn forget(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.remove(&peer);
    }

    fn settle<T>(&self, peer: SocketAddr, result: Result<T, RpcError>) -> Result<T, PeerError> {
        result.map_err(|_| {
            self.forget(peer);
            PeerError::Lost
        })
    }
}

fn within(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
