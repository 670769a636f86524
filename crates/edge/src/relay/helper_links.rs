//! Connections to the nodes that this one asks whether they reach upstreams.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{FastMap, InstanceId, NodeId};
use mux_placement::RelayPeer;

use super::RelayConnection;
use crate::edge_state::EdgeState;

/// Time limit of the question whether a node reaches upstreams, which it may have to dial.
const REACH_TIMEOUT: Duration = Duration::from_millis(450);

/// Connections to other nodes.
#[derive(Debug, Default)]
pub(crate) struct HelperLinks {
    links: Mutex<FastMap<NodeId, RelayConnection>>,
}

impl HelperLinks {
    /// Returns which of the upstreams `peer` reaches; `None` if it does not answer.
    pub(crate) async fn reach_upstreams(
        &self,
        edge: &EdgeState,
        peer: &RelayPeer,
        instances: Vec<InstanceId>,
    ) -> Option<Vec<bool>> {
        let known = self.lock().get(&peer.node).cloned();
        let connection = match known {
            Some(it) => it,
            None => RelayConnection::open(&edge.timer, peer.address).await.ok()?,
        };
        let reached = connection.reach_upstreams(instances, REACH_TIMEOUT).await.ok();
        match reached {
            Some(_) => _ = self.lock().insert(peer.node.clone(), connection),
            None => _ = self.lock().remove(&peer.node),
        }
        reached
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<NodeId, RelayConnection>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
