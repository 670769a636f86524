//! RPC server for other nodes.

use std::{io, net::SocketAddr, sync::Arc};

use futures::StreamExt;
use mux_config::ConfigUpdate;
use mux_model::{RevisionNumber, UpstreamId};
use mux_quarantine::{Evidence, EvidenceKey};
use slog::{Logger, debug};
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::sync::mpsc;

use super::PeerProtocol;
use crate::{
    Node,
    dispatch::{ProblemCode, QueryCommand, QueryOutcome, QueryProblem},
    sync::probe_upstreams,
};

/// Largest message between nodes, in bytes.
pub(super) const MESSAGE_BYTES_LIMIT: usize = 64 << 20;

/// Maximum number of pieces of evidence, and of withdrawals, in one exchange.
pub(crate) const MAX_EXCHANGED_EVIDENCE: usize = 64;

const REQUESTS_PER_CONNECTION: usize = 4_096;
const CONNECTION_LIMIT: usize = 2_048;

/// RPC server for other nodes.
#[derive(Clone)]
pub(crate) struct PeerServer {
    node: Arc<Node>,
}

impl PeerServer {
    /// Creates a server for calls to `node`.
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Listens on `address` and serves until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub(crate) async fn listen(self, address: SocketAddr, logger: Logger) -> io::Result<()> {
        let mut incoming = tcp::listen(address, Bincode::default).await?;
        incoming.config_mut().max_frame_length(MESSAGE_BYTES_LIMIT);
        tokio::spawn(async move {
            let channels = incoming
                .filter_map(|it| std::future::ready(it.ok()))
                .map(BaseChannel::with_defaults)
                .map(|channel| {
                    let server = self.clone();
                    channel
                        .max_concurrent_requests(REQUESTS_PER_CONNECTION)
                        .execute(server.serve())
                        .for_each(|request| async move {
                            tokio::spawn(request);
                        })
                })
                .buffer_unordered(CONNECTION_LIMIT);
            channels.for_each(|()| async {}).await;
            debug!(logger, "peer: listener closed");
        });
        Ok(())
    }
}

impl PeerProtocol for PeerServer {
    async fn run_query(self, _: Context, mut command: QueryCommand) -> QueryOutcome {
        let request = command.request;
        let node = Arc::clone(&self.node);
        command.body = match node.body_buffers().adopt(node.timer().now(), command.body) {
            Ok(body) => body,
            Err(error) => {
                return QueryOutcome { request, result: Err(node.no_memory_problem(error)) };
            }
        };
        let (caller_guard, caller_disconnected) = mpsc::channel(1);
        let task =
            tokio::spawn(
                async move { node.dispatcher().dispatch(command, caller_disconnected).await },
            );
        let outcome = tokio::select! {
            biased;
            outcome = task => outcome,
            () = self.node.wait_for_interruption() => return QueryOutcome::interrupted(request),
        };
        drop(caller_guard);
        outcome.unwrap_or_else(|_| {
            let message = "the node failed while it ran the query";
            let problem = QueryProblem::may_have_run(ProblemCode::Internal, message);
            QueryOutcome { request, result: Err(problem) }
        })
    }

    async fn read_config(self, _: Context, since: RevisionNumber) -> ConfigUpdate {
        self.node.config_since(since)
    }

    async fn read_revision(self, _: Context) -> RevisionNumber {
        self.node.revision()
    }

    async fn exchange_evidence(
        self,
        _: Context,
        evidence: Vec<Evidence>,
        withdrawn: Vec<EvidenceKey>,
    ) -> Vec<Evidence> {
        let now = self.node.timer().now();
        self.node.quarantine().update(|ledger| {
            let own = ledger.summary(MAX_EXCHANGED_EVIDENCE);
            for evidence in evidence.into_iter().take(MAX_EXCHANGED_EVIDENCE) {
                ledger.on_stored(now, evidence);
            }
            withdrawn.iter().take(MAX_EXCHANGED_EVIDENCE).for_each(|it| ledger.retract(it));
            own
        })
    }

    async fn reach_upstreams(self, _: Context, upstreams: Vec<UpstreamId>) -> Vec<bool> {
        probe_upstreams(&self.node, &upstreams).await
    }
}
