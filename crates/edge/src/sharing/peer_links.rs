//! Connections to the nodes that are asked for grants.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{FastMap, FastSet, NodeId};
use mux_placement::RelayPeer;
use mux_timer::TimerService;

use crate::relay::{GrantRequest, RelayConnection, RelayError};

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    connection: RelayConnection,
}

/// Open connections to nodes, so that a question costs one round trip.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: Mutex<FastMap<NodeId, PeerLink>>,
}

impl PeerLinks {
    /// Asks `peer` for grants; returns how many of each bound it lent, in the order of `requests`.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError`] if there was no reply within `limit`, the setup of a connection
    /// included.
    pub(super) async fn borrow_grants(
        &self,
        timer: &TimerService,
        peer: &RelayPeer,
        requests: Vec<GrantRequest>,
        limit: Duration,
    ) -> Result<Vec<u32>, RelayError> {
        let exchange = Box::pin(async {
            let connection = self.connection(timer, peer).await?;
            connection.borrow_grants(requests, limit).await
        });
        let result = timer.timeout(limit, exchange).await;
        let result = result.unwrap_or_else(|_| Err(RelayError::no_reply_within(limit)));
        if result.is_err() {
            // The peer may have been started again, or the connection is dead.
            self.lock().remove(&peer.node);
        }
        result
    }

    /// Closes the connections to all other nodes.
    pub(super) fn keep_only(&self, peers: &[RelayPeer]) {
        let kept: FastSet<_> = peers.iter().map(|it| (&it.node, it.address)).collect();
        self.lock().retain(|node, it| kept.contains(&(node, it.address)));
    }

    async fn connection(
        &self,
        timer: &TimerService,
        peer: &RelayPeer,
    ) -> Result<RelayConnection, RelayError> {
        if let Some(link) = self.lock().get(&peer.node).filter(|it| it.address == peer.address) {
            return Ok(link.connection.clone());
        }
        let connection = RelayConnection::open(timer, peer.address).await?;
        let link = PeerLink { address: peer.address, connection: connection.clone() };
        self.lock().insert(peer.node.clone(), link);
        Ok(connection)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<NodeId, PeerLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
