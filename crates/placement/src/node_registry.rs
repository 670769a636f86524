//! The nodes known to be serving, and the selection of those advertised to callers.

use std::{cmp::Reverse, net::SocketAddr};

use mux_model::{AvailabilityZone, FastMap, FastSet, NodeId};
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;

/// Maximum number of nodes that are advertised to the callers of one availability zone.
///
/// With few nodes, each makes enough calls to keep its connections open and to receive recent load
/// reports from the upstreams. With many, new connections would be opened all the time.
const MAX_ADVERTISED_NODES: usize = 3;
/// Minimum number of nodes that are advertised to callers, if that many exist.
const MIN_ADVERTISED_NODES: usize = 2;

/// The record that a node publishes about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone in which the node runs.
    pub availability_zone: AvailabilityZone,
    /// Region of the availability zone.
    pub region: String,
    /// Address at which the node accepts requests of callers.
    pub callers: SocketAddr,
    /// Bandwidth of the node's network link, in megabits per second.
    pub link_mbps: f64,
}

impl NodeRecord {
    /// Returns the bandwidth class of the node's link; each is twice as fast as the one below.
    ///
    /// The results of a query over many shards arrive simultaneously, so a slow link delays every
    /// answer that passes through it.
    fn link_class(&self) -> u32 {
        let mbps = self.link_mbps.clamp(1.0, f64::from(u32::MAX));
        (mbps as u32).ilog2()
    }
}

#[derive(Debug, Clone)]
struct KnownNode {
    record: NodeRecord,
    /// Whether the entry is missing from the store although the node may still be alive.
    missing: bool,
}

/// The nodes that serve callers, including this one.
#[derive(Debug, Clone)]
pub struct NodeRegistry {
    own: NodeRecord,
    is_stopping: bool,
    others: FastMap<NodeId, KnownNode>,
}

impl NodeRegistry {
    /// Creates a registry that contains only its own node.
    pub fn new(own: NodeRecord) -> Self {
        Self { own, is_stopping: false, others: FastMap::default() }
    }

    /// Records that this node begins a planned stop; it is no longer advertised.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Stores the record of another node; returns whether it is new, changed or was missing.
    pub fn on_record(&mut self, record: NodeRecord) -> bool {
        if record.node == self.own.node {
            return false;
        }
        let known = KnownNode { record, missing: false };
        let previous = self.others.insert(known.record.node.clone(), known.clone());
        previous.is_none_or(|it| it.record != known.record || it.missing)
    }

    /// Handles the removal of an entry from the store; with `may_be_alive`, the node is kept and
    /// marked as missing.
    ///
    /// Returns whether the node was removed from the registry.
    pub fn on_removed(&mut self, node: &NodeId, may_be_alive: bool) -> bool {
        if may_be_alive {
            if let Some(known) = self.others.get_mut(node) {
                known.missing = true;
            }
            return false;
        }
        self.others.remove(node).is_some()
    }

    /// Handles a complete listing of the store; entries that are not listed count as removed.
    ///
    /// Returns the nodes that were removed from the registry.
    pub fn on_listing(&mut self, listed: &FastSet<NodeId>, may_be_alive: bool) -> Vec<NodeId> {
        let absent: Vec<_> =
            self.others.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        absent.into_iter().filter(|it| self.on_removed(it, may_be_alive)).collect()
    }

    /// Removes the nodes whose entries are still missing, and returns their names; to be called
    /// once nodes have had time to renew their entries.
    pub fn drop_missing(&mut self) -> Vec<NodeId> {
        self.others.extract_if(|_, it| it.missing).map(|(node, _)| node).collect()
    }

    /// Returns the number of nodes, including this one.
    pub fn node_count(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the number of nodes advertised to callers in at least one availability zone,
    /// ignoring regions; at least 1.
    pub fn advertised_count(&self) -> u32 {
        u32::try_from(self.advertised().len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns whether this node is advertised to callers in at least one availability zone,
    /// ignoring regions.
    pub fn is_advertised(&self) -> bool {
        self.advertised().contains(&self.own.callers)
    }

    fn advertised(&self) -> FastSet<SocketAddr> {
        let mut zones: FastSet<&str> = FastSet::default();
        zones.extend(self.records().map(|it| it.availability_zone.as_str()));
        let mut advertised: FastSet<SocketAddr> = FastSet::default();
        for zone in zones {
            advertised.extend(self.addresses_for(zone, ""));
        }
        advertised
    }

    /// Returns the addresses for callers in `zone`; empty only if this node is stopping and no
    /// other is known.
    ///
    /// Nodes are ranked by link class, then by the caller's zone, then by its region. Equal nodes
    /// are ranked by a hash of zone and node, so that all nodes return the same addresses. A second
    /// node is advertised even if it is farther away, so that callers can fail over to it.
    pub fn addresses_for(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        let mut ranked: Vec<NodeRank> =
            self.records().map(|it| NodeRank::new(it, zone, region)).collect();
        ranked.sort_unstable();
        let Some(best) = ranked.first().copied() else {
            return Vec::new();
        };
        let tier_size = ranked.iter().filter(|it| it.is_same_tier(&best)).count();
        let count = tier_size.clamp(MIN_ADVERTISED_NODES, MAX_ADVERTISED_NODES);
        ranked.into_iter().take(count).map(|it| it.caller_address).collect()
    }

    fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        let own = (!self.is_stopping).then_some(&self.own);
        self.others.values().map(|it| &it.record).chain(own)
    }
}

/// Sort key of a node; the lowest is advertised first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NodeRank {
    link: Reverse<u32>,
    /// 0 in the caller's zone, 1 elsewhere in its region, 2 elsewhere.
    distance: u8,
    hash: u64,
    caller_address: SocketAddr,
}

impl NodeRank {
    fn new(record: &NodeRecord, zone: &str, region: &str) -> Self {
        let distance = match record {
            it if it.availability_zone.as_str() == zone => 0,
            it if it.region == region => 1,
            _ => 2,
        };
        let hash = stable_hash(&[zone.as_bytes(), record.node.as_str().as_bytes()]);
        Self { link: Reverse(record.link_class()), distance, hash, caller_address: record.callers }
    }

    fn is_same_tier(&self, other: &Self) -> bool {
        (self.link, self.distance) == (other.link, other.distance)
    }
}
