//! Division of bounds that hold over all nodes among these.

use mux_model::{AvailabilityZone, FastMap};

/// Weight of a node in the availability zone of the upstream; other nodes have the weight 1.
///
/// Callers are served by upstreams of their zone as long as these are not slower, so that nearby
/// nodes make most of the calls.
const SAME_ZONE_WEIGHT: f64 = 3.0;
/// Factor on the share of a node that the others may not count.
const UNCOUNTED_NODE_FACTOR: f64 = 0.25;

/// Whether the other nodes count this one among those that share limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeStanding {
    /// They divide limits by a number of nodes that includes this one.
    Counted,
    /// They may divide limits among themselves alone, because the store does not show this node.
    Hidden,
    /// They divide limits among themselves alone, because callers are not directed to this node.
    NotAdvertised,
}

/// The fractions of bounds that this node may use.
///
/// A bound that belongs to an upstream is divided by availability zone, as nearby nodes make most of
/// the calls.
///
/// Nodes do not exchange messages about their calls. Each derives its share from the list of nodes
/// that share limits, such that the shares of all nodes with the same list add up to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeShares {
    by_zone: FastMap<AvailabilityZone, f64>,
    elsewhere: f64,
    standing: NodeStanding,
}

impl NodeShares {
    /// Returns the shares of a node that does not share limits with others.
    pub fn sole_node() -> Self {
        let standing = NodeStanding::Counted;
        Self { by_zone: FastMap::default(), elsewhere: 1.0, standing }
    }

    /// Returns the shares of a node in `own_zone`; `nodes_by_zone` counts the nodes that share
    /// limits, including this one.
    pub fn new(
        own_zone: &AvailabilityZone,
        nodes_by_zone: &FastMap<AvailabilityZone, u32>,
        standing: NodeStanding,
    ) -> Self {
        let factor = match standing {
            NodeStanding::Counted => 1.0,
            NodeStanding::Hidden | NodeStanding::NotAdvertised => UNCOUNTED_NODE_FACTOR,
        };
        let total: u32 = nodes_by_zone.values().sum();
        let share = |zone: &AvailabilityZone, nodes: u32| {
            let own_weight = if zone == own_zone { SAME_ZONE_WEIGHT } else { 1.0 };
            let weights = f64::from(nodes) * SAME_ZONE_WEIGHT + f64::from(total - nodes);
            factor * own_weight / weights.max(1.0)
        };
        let by_zone =
            nodes_by_zone.iter().map(|(zone, nodes)| (zone.clone(), share(zone, *nodes))).collect();
        Self { by_zone, elsewhere: factor / f64::from(total.max(1)), standing }
    }

    /// Returns whether the other nodes count this one among those that share limits.
    pub fn standing(&self) -> NodeStanding {
        self.standing
    }

    /// Returns the fraction of a bound that does not belong to an upstream.
    pub fn uniform_share(&self) -> f64 {
        self.elsewhere
    }

    /// Returns the fraction of the limit of an upstream in `zone`.
    pub fn share(&self, zone: &AvailabilityZone) -> f64 {
        self.by_zone.get(zone).copied().unwrap_or(self.elsewhere)
    }
}
