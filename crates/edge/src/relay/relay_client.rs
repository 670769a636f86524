//! Reads changes from other nodes.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use mux_quarantine::Evidence;
use mux_timer::TimerService;
use tarpc::{
    client::Config, context, context::Context, serde_transport::tcp, tokio_serde::formats::Bincode,
};

use super::{
    RelayedUpdate, relay_protocol::RelayProtocolClient, relay_server::MESSAGE_BYTES_LIMIT,
};
use crate::StoreRevision;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a call in addition to the time for which it waits for changes. A node with a small
/// share of a core may need that long for a complete copy.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason why a peer returned no changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RelayError {
    /// No connection could be opened.
    NotConnected,
    /// No reply was received.
    NoReply(String),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected => f.write_str("no connection"),
            Self::NoReply(why) => write!(f, "no reply: {why}"),
        }
    }
}

/// A connection to the relay of another node.
#[derive(Debug, Clone)]
pub(crate) struct RelayConnection {
    timer: TimerService,
    client: RelayProtocolClient,
}

impl RelayConnection {
    /// Connects to the relay at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::NotConnected`] if no connection could be opened.
    pub(crate) async fn open(
        timer: &TimerService,
        address: SocketAddr,
    ) -> Result<Self, RelayError> {
        let mut connect = tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(MESSAGE_BYTES_LIMIT);
        let Ok(Ok(transport)) = timer.timeout(CONNECT_TIMEOUT, connect).await else {
            return Err(RelayError::NotConnected);
        };
        let client = RelayProtocolClient::new(Config::default(), transport).spawn();
        Ok(Self { timer: timer.clone(), client })
    }

    /// Waits up to `wait` for changes after `after`; without `after`, reads all entries.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::NoReply`] if no reply was received.
    pub(crate) async fn read_changes(
        &self,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<RelayedUpdate, RelayError> {
        let limit = wait + REPLY_TIMEOUT;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = self.client.read_changes(context_with_timeout(limit), after, wait_ms);
        match self.timer.timeout(limit, call).await {
            Ok(result) => result.map_err(|error| RelayError::NoReply(error.to_string())),
            Err(_) => Err(RelayError::NoReply(format!("none within {} ms", limit.as_millis()))),
        }
    }

    /// Sends evidence against requests, and returns that of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::NoReply`] if no reply was received.
    pub(crate) async fn exchange_evidence(
        &self,
        evidence: Vec<Evidence>,
    ) -> Result<Vec<Evidence>, RelayError> {
        let call = self.client.exchange_evidence(context_with_timeout(REPLY_TIMEOUT), evidence);
        match self.timer.timeout(REPLY_TIMEOUT, call).await {
            Ok(result) => result.map_err(|error| RelayError::NoReply(error.to_string())),
            Err(_) => {
                let limit = REPLY_TIMEOUT.as_millis();
                Err(RelayError::NoReply(format!("none within {limit} ms")))
            }
        }
    }
}

fn context_with_timeout(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
