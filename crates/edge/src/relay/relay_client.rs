//! Reads changes from other nodes.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use mux_model::InstanceId;
use mux_quarantine::Evidence;
use mux_timer::TimerService;
use tarpc::{
    client::{Config, RpcError},
    context,
    context::Context,
    serde_transport::tcp,
    tokio_serde::formats::Bincode,
};

use super::{
    ForwardedAnswer, ForwardedRequest, GrantRequest, RelayedUpdate,
    relay_protocol::RelayProtocolClient, relay_server::MESSAGE_BYTES_LIMIT,
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

impl RelayError {
    /// Returns the error of a call without a reply within `limit`.
    pub(crate) fn no_reply_within(limit: Duration) -> Self {
        Self::NoReply(format!("none within {} ms", limit.as_millis()))
    }
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
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = |context| self.client.read_changes(context, after, wait_ms);
        self.call(wait + REPLY_TIMEOUT, call).await
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
        self.call(REPLY_TIMEOUT, |context| self.client.exchange_evidence(context, evidence)).await
    }

    /// Returns which of the upstreams the peer reaches.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::NoReply`] if no reply was received within `limit`.
    pub(crate) async fn reach_upstreams(
        &self,
        instances: Vec<InstanceId>,
        limit: Duration,
    ) -> Result<Vec<bool>, RelayError> {
        self.call(limit, |context| self.client.reach_upstreams(context, instances)).await
    }

    /// Lets the peer serve a request; dropping the future cancels it there.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::NoReply`] if no reply was received within `limit`; the request may have
    /// run.
    pub(crate) async fn run_request(
        &self,
        request: ForwardedRequest,
        limit: Duration,
    ) -> Result<ForwardedAnswer, RelayError> {
        self.call(limit, |context| self.client.run_request(context, request)).await
    }

    /// Asks the peer for grants; returns how many of each bound it lent, in the order of the
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::NoReply`] if no reply was received within `limit`.
    pub(crate) async fn borrow_grants(
        &self,
        requests: Vec<GrantRequest>,
        limit: Duration,
    ) -> Result<Vec<u32>, RelayError> {
        self.call(limit, |context| self.client.borrow_grants(context, requests)).await
    }

    async fn call<T, C: Future<Output = Result<T, RpcError>>>(
        &self,
        limit: Duration,
        start: impl FnOnce(Context) -> C,
    ) -> Result<T, RelayError> {
        match self.timer.timeout(limit, start(context_with_timeout(limit))).await {
            Ok(result) => result.map_err(|error| RelayError::NoReply(error.to_string())),
            Err(_) => Err(RelayError::no_reply_within(limit)),
        }
    }
}

fn context_with_timeout(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
