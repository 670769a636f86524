//! The nodes that a node takes to be serving, and which of them callers are sent to.

use std::{cmp::Reverse, net::SocketAddr};

use mux_model::{AvailabilityZone, FastMap, FastSet, NodeId};
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;

/// Nodes of one availability zone that callers are sent to, at most.
///
/// A few nodes hold warm connections and see what the upstreams' queues hold; traffic that is
/// spread over many would set up connections all the time.
const MAX_NAMED_NODES: usize = 3;
/// Nodes that callers are sent to at least, if there are so many.
const MIN_NAMED_NODES: usize = 2;

/// What a node says of itself to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region of the availability zone.
    pub region: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Bandwidth of the node's own link, in megabits a second.
    pub link_mbps: f64,
}

impl NodeRecord {
    /// Returns the class of the node's link; each is twice as fast as the one below.
    ///
    /// The parts of a query over many shards arrive at one moment, so that a slow link delays every
    /// answer that passes it.
    fn link_class(&self) -> u32 {
        let mbps = self.link_mbps.clamp(1.0, f64::from(u32::MAX));
        (mbps as u32).ilog2()
    }
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

    /// Returns the number of nodes that callers are sent to, over all availability zones.
    pub fn advertised_count(&self) -> u32 {
        u32::try_from(self.named().len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns whether callers of any availability zone are sent to this node.
    pub fn is_advertised(&self) -> bool {
        self.named().contains(&self.own.callers)
    }

    fn named(&self) -> FastSet<SocketAddr> {
        let mut zones: FastSet<&str> = FastSet::default();
        zones.extend(self.records().map(|it| it.availability_zone.as_str()));
        let mut named: FastSet<SocketAddr> = FastSet::default();
        for zone in zones {
            named.extend(self.addresses_for(zone, ""));
        }
        named
    }

    /// Returns the addresses for callers in `zone`; empty only if this node stops and knows of
    /// no other.
    ///
    /// Nodes with fast links go first, then those of the caller's zone, then those of its region.
    /// Every node gives the same answer, as it ranks equal nodes by a hash of zone and node. A
    /// second node is named even if it is farther, so that callers have one to turn to.
    pub fn addresses_for(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        let mut ranked: Vec<NodeRank> =
            self.records().map(|it| NodeRank::new(it, zone, region)).collect();
        ranked.sort_unstable();
        let Some(best) = ranked.first().copied() else {
            return Vec::new();
        };
        let equals = ranked.iter().filter(|it| it.is_equal(&best)).count();
        let count = equals.clamp(MIN_NAMED_NODES, MAX_NAMED_NODES);
        ranked.into_iter().take(count).map(|it| it.callers).collect()
    }

    fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        let own = (!self.is_stopping).then_some(&self.own);
        self.others.values().map(|it| &it.record).chain(own)
    }
}

/// The order in which nodes are named; the first is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NodeRank {
    link: Reverse<u32>,
    distance: u8,
    hash: u64,
    callers: SocketAddr,
}

impl NodeRank {
    fn new(record: &NodeRecord, zone: &str, region: &str) -> Self {
        let distance = match record {
            it if it.availability_zone.as_str() == zone => 0,
            it if it.region == region => 1,
            _ => 2,
        };
        let hash = stable_hash(&[zone.as_bytes(), record.node.as_str().as_bytes()]);
        Self { link: Reverse(record.link_class()), distance, hash, callers: record.callers }
    }

    fn is_equal(&self, other: &Self) -> bool {
        (self.link, self.distance) == (other.link, other.distance)
    }
}
