//! RPC server for other nodes.

use std::{future, io, marker::PhantomData, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use mux_model::InstanceId;
use mux_quarantine::Evidence;
use slog::warn;
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};

use super::{
    ForwardedAnswer, ForwardedRequest, GrantRequest, RelayedUpdate, relay_protocol::RelayProtocol,
};
use crate::{
    StoreRevision, WireProtocol,
    edge_state::EdgeState,
    query::serve_forwarded,
    reach::probe_instances,
    sharing::lend_all,
    sync::{MAX_EXCHANGED_EVIDENCE, forward_notice},
};

/// Largest message between nodes, in bytes.
pub(super) const MESSAGE_BYTES_LIMIT: usize = 64 << 20;
/// Maximum number of connections of other nodes.
const CONNECTION_LIMIT: usize = 512;
/// Maximum number of pending calls of a connection, forwarded requests included.
const CALLS_PER_CONNECTION: usize = 512;
/// Longest time for which a call waits for changes.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// RPC server for other nodes.
pub(crate) struct RelayServer<W> {
    edge: Arc<EdgeState>,
    wire: PhantomData<fn() -> W>,
}

impl<W> Clone for RelayServer<W> {
    fn clone(&self) -> Self {
        Self { edge: Arc::clone(&self.edge), wire: PhantomData }
    }
}

impl<W: WireProtocol> RelayServer<W> {
    /// Creates a server that reads from the copy of `edge`, and serves requests as `edge` does.
    pub(crate) fn new(edge: Arc<EdgeState>) -> Self {
        Self { edge, wire: PhantomData }
    }

    /// Listens on `address`, and serves until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub(crate) async fn listen(self, address: SocketAddr) -> io::Result<()> {
        let mut incoming = tcp::listen(address, Bincode::default).await?;
        incoming.config_mut().max_frame_length(MESSAGE_BYTES_LIMIT);
        tokio::spawn(async move {
            let logger = self.edge.logger.clone();
            let channels = incoming
                .filter_map(|it| future::ready(it.ok()))
                .map(BaseChannel::with_defaults)
                .map(|channel| {
                    let server = self.clone();
                    channel
                        .max_concurrent_requests(CALLS_PER_CONNECTION)
                        .execute(server.serve())
                        .for_each(|request| async move {
                            tokio::spawn(request);
                        })
                })
                .buffer_unordered(CONNECTION_LIMIT);
            channels.for_each(|()| async {}).await;
            warn!(logger, "relay: listener closed");
        });
        Ok(())
    }
}

impl<W: WireProtocol> RelayProtocol for RelayServer<W> {
    async fn read_changes(
        self,
        _: Context,
        after: Option<StoreRevision>,
        wait_ms: u64,
    ) -> RelayedUpdate {
        let edge = &self.edge;
        let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
        let mut revisions = edge.mirror_revision.subscribe();
        let changed = revisions.wait_for(|it| after < *it);
        // Without a change in that time, the reply tells the age of the copy.
        let _ = edge.timer.timeout(wait, changed).await;
        let mirror = edge.store_mirror();
        RelayedUpdate {
            update: mirror.changes_after(after),
            revision: mirror.revision(),
            reachability: edge.copy_report(edge.timer.now()),
        }
    }

    async fn exchange_evidence(self, _: Context, evidence: Vec<Evidence>) -> Vec<Evidence> {
        let now = self.edge.timer.now();
        let own = self.edge.quarantine.ledger.update(|ledger| {
            let own = ledger.summary(MAX_EXCHANGED_EVIDENCE);
            for evidence in evidence.into_iter().take(MAX_EXCHANGED_EVIDENCE) {
                ledger.on_peer_evidence(now, evidence);
            }
            own
        });
        forward_notice(&self.edge);
        own
    }

    async fn reach_upstreams(self, _: Context, instances: Vec<InstanceId>) -> Vec<bool> {
        probe_instances(&self.edge, &instances).await
    }

    async fn run_request(self, _: Context, request: ForwardedRequest) -> ForwardedAnswer {
        serve_forwarded::<W>(&self.edge, request).await
    }

    async fn borrow_grants(self, _: Context, requests: Vec<GrantRequest>) -> Vec<u32> {
        lend_all(&self.edge, &requests)
    }
}
