//! Calls to other nodes over persistent connections.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use mux_config::ConfigUpdate;
use mux_model::{FastMap, RevisionNumber, UpstreamId};
use mux_quarantine::{Evidence, EvidenceKey};
use mux_timer::TimerService;
use tarpc::{
    client::{Config, RpcError},
    context::{self, Context},
    serde_transport::tcp,
    tokio_serde::formats::Bincode,
};

use super::{peer_protocol::PeerProtocolClient, peer_server::MESSAGE_BYTES_LIMIT};
use crate::dispatch::{QueryCommand, QueryOutcome};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const REPLY_GRACE: Duration = Duration::from_millis(50);

/// Reason why a call to another node returned no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// No connection could be opened, so that nothing was sent.
    NotSent,
    /// The call was sent and no reply was received.
    NoReply,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotSent => "the peer could not be reached",
            Self::NoReply => "the peer did not reply",
        };
        f.write_str(text)
    }
}

/// Connections to other nodes, one to each, opened on first use.
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
    /// An existing connection is checked with a call first, so that a query is rarely sent on a
    /// dead connection: if no reply is received, it is unknown whether the query ran.
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
        let client = self.verified_connection(peer).await?;
        let result = client.run_query(context_with_timeout(limit + REPLY_GRACE), command).await;
        self.check_result(peer, result)
    }

    /// Reads the changes to the configuration since revision `since`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no reply was received.
    pub(crate) async fn read_config(
        &self,
        peer: SocketAddr,
        since: RevisionNumber,
    ) -> Result<ConfigUpdate, PeerError> {
        let client = self.connection(peer).await?;
        let result = client.read_config(context_with_timeout(CONTROL_CALL_TIMEOUT), since).await;
        self.check_result(peer, result)
    }

    /// Sends evidence against requests, and the keys of withdrawn evidence; returns the evidence of the
    /// peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no reply was received.
    pub(crate) async fn exchange_evidence(
        &self,
        peer: SocketAddr,
        evidence: Vec<Evidence>,
        withdrawn: Vec<EvidenceKey>,
    ) -> Result<Vec<Evidence>, PeerError> {
        let client = self.connection(peer).await?;
        let context = context_with_timeout(CONTROL_CALL_TIMEOUT);
        let result = client.exchange_evidence(context, evidence, withdrawn).await;
        self.check_result(peer, result)
    }

    /// Returns which of the upstreams the peer reaches.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no reply was received.
    pub(crate) async fn reach_upstreams(
        &self,
        peer: SocketAddr,
        upstreams: Vec<UpstreamId>,
    ) -> Result<Vec<bool>, PeerError> {
        let client = self.connection(peer).await?;
        let context = context_with_timeout(LIVENESS_CHECK_TIMEOUT);
        let result = client.reach_upstreams(context, upstreams).await;
        self.check_result(peer, result)
    }

    /// Closes the connections to nodes that are not in `peers`.
    pub(crate) fn retain(&self, peers: &[SocketAddr]) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|it, _| peers.contains(it));
    }

    async fn verified_connection(&self, peer: SocketAddr) -> Result<PeerProtocolClient, PeerError> {
        if let Some(client) = self.cached_connection(peer) {
            if client.read_revision(context_with_timeout(LIVENESS_CHECK_TIMEOUT)).await.is_ok() {
                return Ok(client);
            }
            self.drop_connection(peer);
        }
        self.connection(peer).await
    }

    async fn connection(&self, peer: SocketAddr) -> Result<PeerProtocolClient, PeerError> {
        if let Some(client) = self.cached_connection(peer) {
            return Ok(client);
        }
        let mut connect = tcp::connect(peer, Bincode::default);
        connect.config_mut().max_frame_length(MESSAGE_BYTES_LIMIT);
        let transport = self.timer.timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Ok(transport)) = transport else {
            return Err(PeerError::NotSent);
        };
        let client = PeerProtocolClient::new(Config::default(), transport).spawn();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.insert(peer, client.clone());
        Ok(client)
    }

    fn cached_connection(&self, peer: SocketAddr) -> Option<PeerProtocolClient> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.get(&peer).cloned()
    }

    fn drop_connection(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.remove(&peer);
    }

    fn check_result<T>(
        &self,
        peer: SocketAddr,
        result: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        result.map_err(|_| {
            self.drop_connection(peer);
            PeerError::NoReply
        })
    }
}

fn context_with_timeout(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
