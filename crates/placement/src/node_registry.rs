//! The nodes known to be serving, and the selection of those advertised to callers.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

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
/// Number of nodes in each availability zone that have an entry in the store: the advertised ones
/// and as many that can replace them at once.
///
/// Every entry costs lease renewals and is read by every node, so a fleet of hundreds of nodes
/// publishes only those that callers or other nodes may need.
const ANNOUNCED_NODES_PER_ZONE: usize = 2 * MAX_ADVERTISED_NODES;
/// Rank in its availability zone above which an announced node lets its entry expire. The distance
/// from [`ANNOUNCED_NODES_PER_ZONE`] is a hysteresis against entries that come and go.
const MAX_ANNOUNCED_RANK: usize = ANNOUNCED_NODES_PER_ZONE + 2;
/// Time that the slowest links wait for faster nodes to publish their state after a start of the
/// whole fleet, before they read the store themselves.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(6);
/// Time over which the nodes with the slowest links spread their announcements when others in
/// their zone are gone, so that few announce themselves before they learn of each other.
const MAX_ANNOUNCEMENT_SPREAD: Duration = Duration::from_secs(4);
/// Bandwidth of a link from which a node never waits for others, in megabits per second.
const FAST_LINK_MBPS: f64 = 1_000.0;

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
    /// Where other nodes read this node's copy of the store and send it requests; `None` if it offers
    /// neither.
    #[serde(default)]
    pub relay_endpoint: Option<RelayEndpoint>,
    /// Whether the node is cut from all upstreams, so that it forwards its requests to other nodes.
    #[serde(default)]
    pub is_cut: bool,
}

/// Version of the messages between nodes. Nodes send nothing to those with another version, whose
/// messages they could take for others.
const RELAY_PROTOCOL_VERSION: u32 = 3;

/// Where a node answers calls of other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEndpoint {
    /// Address of its relay.
    pub address: SocketAddr,
    /// Version of the messages between nodes.
    protocol: u32,
}

impl RelayEndpoint {
    /// Creates the endpoint of a node of this build.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, protocol: RELAY_PROTOCOL_VERSION }
    }

    /// Returns whether nodes of this build can call it.
    fn is_compatible(&self) -> bool {
        self.protocol == RELAY_PROTOCOL_VERSION
    }
}

/// A node that other nodes can call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPeer {
    /// Name of the node.
    pub node: NodeId,
    /// Address of its relay.
    pub address: SocketAddr,
    /// Whether it is in the availability zone of the reader.
    pub is_near: bool,
    /// Whether callers of the reader's availability zone are directed to it.
    pub is_preferred: bool,
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

    /// Returns how slow the node's link is: 0 for fast links, and more for each halving, up to 1.
    fn slowness(&self) -> f64 {
        1.0 - (self.link_mbps.clamp(1.0, FAST_LINK_MBPS).ln() / FAST_LINK_MBPS.ln())
    }
}

#[derive(Debug, Clone)]
struct KnownNode {
    record: NodeRecord,
    /// Whether the entry is missing from the store although the node may still be alive.
    missing: bool,
}

impl KnownNode {
    /// Returns the address of the node's relay; `None` if it has none that this node can call.
    fn relay_address(&self) -> Option<SocketAddr> {
        self.record.relay_endpoint.filter(RelayEndpoint::is_compatible).map(|it| it.address)
    }
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

    /// Returns the record of this node.
    pub fn own_record(&self) -> &NodeRecord {
        &self.own
    }

    /// Returns the number of other nodes that are cut from all upstreams.
    pub fn cut_count(&self) -> usize {
        self.others.values().filter(|it| it.record.is_cut).count()
    }

    /// Sets whether this node is cut from all upstreams. Callers are directed to it only if all nodes
    /// are.
    pub fn set_cut(&mut self, is_cut: bool) {
        self.own.is_cut = is_cut;
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

    /// Returns the records of the nodes advertised to callers in at least one availability zone,
    /// ignoring regions.
    pub fn advertised_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        let advertised = self.advertised();
        self.records().filter(move |it| advertised.contains(&it.callers))
    }

    /// Returns whether this node is advertised to callers in at least one availability zone,
    /// ignoring regions.
    pub fn is_advertised(&self) -> bool {
        self.advertised().contains(&self.own.callers)
    }

    /// Returns whether this node should have an entry in the store: it is one of the best in its
    /// availability zone among those that have one.
    pub fn must_announce(&self, is_announced: bool) -> bool {
        let limit = if is_announced { MAX_ANNOUNCED_RANK } else { ANNOUNCED_NODES_PER_ZONE };
        self.rank_in_zone() < limit
    }

    /// Returns how long this node waits until it announces itself: nodes that rank higher announce
    /// first, so that the others see that they are not needed.
    ///
    /// After the loss of many nodes, all the others would otherwise announce themselves together.
    /// A node that knows of no other one in its zone waits a quarter of that time.
    pub fn announcement_delay(&self) -> Duration {
        let spread = MAX_ANNOUNCEMENT_SPREAD.mul_f64(self.own.slowness() * self.hash_fraction());
        if self.rank_in_zone() == 0 && self.zone_peers().next().is_none() {
            return spread / 4;
        }
        spread
    }

    /// Returns how long this node waits after its start for another one whose copy of the store it
    /// can read, before it reads the store itself.
    pub fn startup_wait(&self) -> Duration {
        MAX_STARTUP_WAIT.mul_f64(self.own.slowness())
    }

    /// Returns the nodes whose copies of the store this node may read, in the order in which to ask
    /// them: those in its availability zone and region before others, because bytes between zones
    /// cost, and advertised ones before others, because these read the store themselves.
    ///
    /// Equal nodes are in an order of this node's own, which spreads the readers.
    pub fn relay_peers(&self) -> Vec<RelayPeer> {
        let advertised = self.advertised();
        let preferred = self.addresses_for(self.own_zone(), &self.own.region);
        let mut peers: Vec<_> = self
            .others
            .values()
            .filter_map(|it| Some((&it.record, it.relay_address()?)))
            .map(|(record, address)| {
                let rank = NodeRank::new(record, self.own_zone(), &self.own.region);
                let own_name = self.own.node.as_str().as_bytes();
                let hash = stable_hash(&[own_name, record.node.as_str().as_bytes()]);
                let key = (rank.distance, !advertised.contains(&record.callers), hash);
                (key, self.relay_peer(record, address, &preferred))
            })
            .collect();
        peers.sort_by_key(|(key, _)| *key);
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the nodes to which this node may forward requests while it is cut from all upstreams:
    /// those to which callers of its availability zone are directed, then the other advertised ones,
    /// then the others, near ones first.
    pub fn helpers(&self) -> Vec<RelayPeer> {
        let advertised = self.advertised();
        let known = self.others.values().filter(|it| !it.record.is_cut);
        let reachable = known.filter_map(|it| Some((&it.record, it.relay_address()?)));
        let preferred = self.addresses_for(self.own_zone(), &self.own.region);
        let mut helpers: Vec<_> = reachable
            .map(|(record, address)| {
                let peer = self.relay_peer(record, address, &preferred);
                let rank = NodeRank::new(record, self.own_zone(), &self.own.region);
                let is_advertised = advertised.contains(&record.callers);
                ((!peer.is_preferred, !is_advertised, rank.distance, rank.hash), peer)
            })
            .collect();
        helpers.sort_by_key(|(key, _)| *key);
        helpers.into_iter().map(|(_, helper)| helper).collect()
    }

    fn relay_peer(
        &self,
        record: &NodeRecord,
        address: SocketAddr,
        preferred: &[SocketAddr],
    ) -> RelayPeer {
        RelayPeer {
            node: record.node.clone(),
            address,
            is_near: record.availability_zone == self.own.availability_zone,
            is_preferred: preferred.contains(&record.callers),
        }
    }

    /// Returns the number of announced nodes in this node's availability zone that rank before it.
    fn rank_in_zone(&self) -> usize {
        let own = NodeRank::new(&self.own, self.own_zone(), &self.own.region);
        let ranks = self.zone_peers().map(|it| NodeRank::new(it, self.own_zone(), &it.region));
        ranks.filter(|it| *it < own).count()
    }

    fn zone_peers(&self) -> impl Iterator<Item = &NodeRecord> {
        let records = self.others.values().map(|it| &it.record);
        records.filter(|it| it.availability_zone == self.own.availability_zone)
    }

    /// Returns the position of this node's hash among all hashes, from 0 to 1.
    fn hash_fraction(&self) -> f64 {
        let own = NodeRank::new(&self.own, self.own_zone(), &self.own.region);
        own.hash as f64 / u64::MAX as f64
    }

    fn own_zone(&self) -> &str {
        self.own.availability_zone.as_str()
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
    /// Nodes that are cut from all upstreams come last. The others are ranked by link class, then by
    /// the caller's zone, then by its region. Equal nodes are ranked by a hash of zone and node, so that all nodes return the same addresses. A second
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
    /// Whether the node is cut from all upstreams.
    is_cut: bool,
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
        let link = Reverse(record.link_class());
        Self { is_cut: record.is_cut, link, distance, hash, caller_address: record.callers }
    }

    fn is_same_tier(&self, other: &Self) -> bool {
        (self.is_cut, self.link, self.distance) == (other.is_cut, other.link, other.distance)
    }
}
