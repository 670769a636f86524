//! The nodes that a node takes to be serving, and which of them callers are sent to.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, FastMap, FastSet, NodeId};
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;

/// Nodes of one availability zone that callers are sent to, at most.
///
/// A few nodes hold warm connections and see what the upstreams' queues hold; traffic that is
/// spread over many would set up connections all the time.
const NAMED_NODES: usize = 3;

/// What a node says of itself to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region of the availability zone.
    pub region: String,
    /// Address for callers.
    pub callers: SocketAddr,
}

#[derive(Debug, Clone)]
struct KnownNode {
    record: NodeRecord,
    /// Set while the entry is missing and its node may still live.
    missing: bool,
}

/// The serving nodes, this one included.
#[derive(Debug, Clone)]
pub struct NodeRegistry {
    own: NodeRecord,
    is_stopping: bool,
    others: FastMap<NodeId, KnownNode>,
}

impl NodeRegistry {
    /// Creates a registry that knows only its own node.
    pub fn new(own: NodeRecord) -> Self {
        Self { own, is_stopping: false, others: FastMap::default() }
    }

    /// Returns this node's record.
    pub fn own(&self) -> &NodeRecord {
        &self.own
    }

    /// Takes in that this node begins its planned stop: callers are no longer sent to it.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Takes in the entry of a node; returns whether it is news.
    pub fn on_record(&mut self, record: NodeRecord) -> bool {
        if record.node == self.own.node {
            return false;
        }
        let known = KnownNode { record, missing: false };
        let previous = self.others.insert(known.record.node.clone(), known.clone());
        previous.is_none_or(|it| it.record != known.record || it.missing)
    }

    /// Takes in that an entry is gone; `doubtful` if its node may still live.
    ///
    /// Returns whether the node is no longer named.
    pub fn on_removed(&mut self, node: &NodeId, doubtful: bool) -> bool {
        if doubtful {
            if let Some(known) = self.others.get_mut(node) {
                known.missing = true;
            }
            return false;
        }
        self.others.remove(node).is_some()
    }

    /// Takes in which entries a complete listing held; returns the nodes that are gone.
    pub fn on_listing(&mut self, listed: &FastSet<NodeId>, doubtful: bool) -> Vec<NodeId> {
        let absent: Vec<_> =
            self.others.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        absent.into_iter().filter(|it| self.on_removed(it, doubtful)).collect()
    }

    /// Forgets the nodes whose entries are still missing, and returns them.
    pub fn drop_missing(&mut self) -> Vec<NodeId> {
        self.others.extract_if(|_, it| it.missing).map(|(node, _)| node).collect()
    }

    /// Returns the number of nodes, this one included.
    pub fn node_count(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the addresses for callers in `zone`; empty only if this node stops and knows of
    /// no other.
    ///
    /// Nodes of the caller's zone go before those of its region, and those before all others.
    /// Every node gives the same answer, as it ranks the nodes of a zone by a hash of both.
    pub fn addresses_for(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        let own = (!self.is_stopping).then_some(&self.own);
        let serving: Vec<&NodeRecord> =
            self.others.values().map(|it| &it.record).chain(own).collect();
        let nearest = serving.iter().map(|it| distance(it, zone, region)).min();
        let mut near: Vec<_> = serving
            .into_iter()
            .filter(|it| Some(distance(it, zone, region)) == nearest)
            .map(|it| (stable_hash(&[zone.as_bytes(), it.node.as_str().as_bytes()]), it.callers))
            .collect();
        near.sort_unstable();
        near.into_iter().take(NAMED_NODES).map(|(_, callers)| callers).collect()
    }
}

/// Returns how far a node is from callers in `zone`; a lower figure is nearer.
fn distance(record: &NodeRecord, zone: &str, region: &str) -> u8 {
    match record {
        it if it.availability_zone.as_str() == zone => 0,
        it if it.region == region => 1,
        _ => 2,
    }
}
