//! The nodes that share limits which hold for all nodes together.

use std::time::Duration;

use mux_model::{AvailabilityZone, FastMap, NodeId, TimePoint};

/// The nodes that callers may use: those that are advertised, or were until recently.
///
/// Callers keep address answers for a while, so that a node that is no longer advertised still makes
/// calls, and its part of a limit must not be given to others yet.
#[derive(Debug, Clone, Default)]
pub struct SharingNodes {
    nodes: FastMap<NodeId, SharingNode>,
}

#[derive(Debug, Clone)]
struct SharingNode {
    availability_zone: AvailabilityZone,
    last_advertised_at: TimePoint,
}

impl SharingNodes {
    /// Records the nodes that are advertised at `now`, and removes those that have not been for
    /// `hold_time`.
    pub fn update<'a>(
        &mut self,
        now: TimePoint,
        advertised: impl Iterator<Item = (&'a NodeId, &'a AvailabilityZone)>,
        hold_time: Duration,
    ) {
        for (node, zone) in advertised {
            let sharing = SharingNode { availability_zone: zone.clone(), last_advertised_at: now };
            self.nodes.insert(node.clone(), sharing);
        }
        self.nodes.retain(|_, it| now.since(it.last_advertised_at) <= hold_time);
    }

    /// Returns the number of nodes that share limits.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the number of nodes by availability zone, including this node, `own` in `own_zone`.
    pub fn count_by_zone(
        &self,
        own: &NodeId,
        own_zone: &AvailabilityZone,
    ) -> FastMap<AvailabilityZone, u32> {
        let mut counts = FastMap::default();
        for node in self.nodes.values() {
            *counts.entry(node.availability_zone.clone()).or_default() += 1;
        }
        if !self.nodes.contains_key(own) {
            *counts.entry(own_zone.clone()).or_default() += 1;
        }
        counts
    }
}
